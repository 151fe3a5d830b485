// Package history implements the command 'service history'.
package history
