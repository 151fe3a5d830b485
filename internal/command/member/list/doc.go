// Package list is the command 'member list'.
package list
