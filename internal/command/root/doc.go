// Package root implements the command 'rattantray'.
package root
