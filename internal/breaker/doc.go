// Package breaker protects targets with a circuit breaker with slow start and an adaptive concurrency limit.
package breaker
