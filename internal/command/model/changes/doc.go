// Package changes is the command 'model changes'.
package changes
