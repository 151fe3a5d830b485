// Package remove is the command 'service delete'.
package remove
