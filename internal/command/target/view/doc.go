// Package view is the command 'target view'.
package view
