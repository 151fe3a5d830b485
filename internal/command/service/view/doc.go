// Package view implements the command 'service view'.
package view
