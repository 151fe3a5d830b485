// Package queuer joins goroutines by bounded rings.
package queuer
