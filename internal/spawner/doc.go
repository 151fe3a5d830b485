// Package spawner starts the goroutines of a service, which waits for them when it stops.
package spawner
