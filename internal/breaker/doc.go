// Package breaker guards targets: a circuit breaker with slow start, and an adaptive concurrency limit.
package breaker
