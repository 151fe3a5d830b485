// Package explain implements the command 'explain'.
package explain
