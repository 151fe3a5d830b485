// Package start is the command 'router start'.
package start
