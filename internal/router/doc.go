// Package router implements the router daemon: it creates and connects the services that make it up.
package router
