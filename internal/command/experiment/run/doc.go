// Package run implements the command 'experiment run'.
package run
