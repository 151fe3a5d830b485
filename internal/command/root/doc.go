// Package root is the command 'rattantray'.
package root
