// Package target implements the command 'target'.
package target
