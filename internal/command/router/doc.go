// Package router implements the command 'router'.
package router
