// Command overhead measures the latency and processor time that one router adds to direct calls. The router, the engines, the
// plain service, the platform and the callers are separate processes on loopback.
//
//	go run ./scripts/overhead -o report.json
//
// It ends only the processes that it started, at the latest after -limit.
package main
