// Package drain implements the command 'router drain'.
package drain
