// Package diff is the command 'service diff'.
package diff
