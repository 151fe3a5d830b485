// Package list is the command 'model list'.
package list
