// Package member is the command 'member'.
package member
