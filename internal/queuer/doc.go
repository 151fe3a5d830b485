// Package queuer provides bounded queues between goroutines.
package queuer
