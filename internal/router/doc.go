// Package router puts the services of one daemon together.
package router
