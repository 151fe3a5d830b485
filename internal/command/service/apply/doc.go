// Package apply implements the command 'service apply'.
package apply
