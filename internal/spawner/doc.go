// Package spawner starts goroutines that a service waits for when it stops.
package spawner
