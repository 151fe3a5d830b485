// Package model implements the command 'model'.
package model
