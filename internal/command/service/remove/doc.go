// Package remove implements the command 'service delete'.
package remove
