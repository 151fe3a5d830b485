// Command overhead measures what one router adds to direct calls, with the router, the engines, the plain service,
// the platform and the callers in processes of their own on loopback.
//
//	go run ./scripts/overhead -o report.json
//
// It ends only what it started, at the latest when -limit is over.
package main
