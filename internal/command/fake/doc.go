// Package fake implements the command 'fake'.
package fake
