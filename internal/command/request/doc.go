// Package request is the command 'request'.
package request
