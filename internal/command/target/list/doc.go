// Package list implements the command 'target list'.
package list
