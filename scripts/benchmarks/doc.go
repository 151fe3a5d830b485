// Command benchmarks runs the benchmarks whose slopes docs/CAPACITY.md is worked out from, one package at a time, and
// writes their figures as JSON with the commit they were taken at.
//
//	go run ./scripts/benchmarks -d docs/measurements/benchmarks [name...]
package main
