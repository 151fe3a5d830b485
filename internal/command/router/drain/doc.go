// Package drain is the command 'router drain'.
package drain
