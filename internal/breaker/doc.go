// Package breaker guards targets: a circuit breaker with slow start, an adaptive concurrency limit and a retry budget.
package breaker
