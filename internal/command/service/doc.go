// Package service is the command 'service'.
package service
