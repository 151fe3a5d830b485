// Package list is the command 'service list'.
package list
