// Package dev is the command 'dev'.
package dev
