// Command benchmarks runs the benchmarks from whose slopes docs/CAPACITY.md is computed, one package at a time, and
// writes their figures as JSON with the commit that was measured.
//
//	go run ./scripts/benchmarks -d docs/measurements/benchmarks [name...]
package main
