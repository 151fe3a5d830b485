// Package get implements the command 'request get'.
package get
