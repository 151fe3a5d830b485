// Package member implements the command 'member'.
package member
