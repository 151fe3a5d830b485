// Package changes implements the command 'model changes'.
package changes
