// Package router is the command 'router'.
package router
