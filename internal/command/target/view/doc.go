// Package view implements the command 'target view'.
package view
