// Package target is the command 'target'.
package target
