// Package request implements the command 'request'.
package request
