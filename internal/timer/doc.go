// Package timer provides clocks behind an interface, so that tests can control the time.
package timer
