// Package keyer loads the keys that protect connections, watches them for rotation, and authenticates daemons to each other.
package keyer
