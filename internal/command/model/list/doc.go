// Package list implements the command 'model list'.
package list
