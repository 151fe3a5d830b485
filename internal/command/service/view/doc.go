// Package view is the command 'service view'.
package view
