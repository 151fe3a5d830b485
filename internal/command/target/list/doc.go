// Package list is the command 'target list'.
package list
