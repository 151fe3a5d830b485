// Package service implements the command 'service'.
package service
