// Package diff implements the command 'service diff'.
package diff
