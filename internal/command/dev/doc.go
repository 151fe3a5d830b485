// Package dev implements the command 'dev'.
package dev
