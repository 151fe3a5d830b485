// Package send implements the command 'request send'.
package send
