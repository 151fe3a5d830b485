// Package list implements the command 'service list'.
package list
