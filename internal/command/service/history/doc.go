// Package history is the command 'service history'.
package history
