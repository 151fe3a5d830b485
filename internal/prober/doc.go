// Package prober checks the health and load of the targets that rendezvous hashing assigns to this daemon.
package prober
