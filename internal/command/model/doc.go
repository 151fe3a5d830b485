// Package model is the command 'model'.
package model
