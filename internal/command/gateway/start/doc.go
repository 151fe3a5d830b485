// Package start implements the command 'gateway start'.
package start
