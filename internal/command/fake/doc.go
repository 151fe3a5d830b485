// Package fake is the command 'fake'.
package fake
