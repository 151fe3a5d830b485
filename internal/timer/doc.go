// Package timer passes time in as an interface.
package timer
