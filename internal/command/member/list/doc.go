// Package list implements the command 'member list'.
package list
