// Package get is the command 'request get'.
package get
