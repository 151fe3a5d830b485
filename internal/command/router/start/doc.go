// Package start implements the command 'router start'.
package start
