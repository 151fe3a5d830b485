// Package relayer relays HTTP requests of clients to targets and their answers back, whole or as streams of events.
package relayer
