// Package apply is the command 'service apply'.
package apply
