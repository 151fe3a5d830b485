// Package relayer relays HTTP requests of clients to targets and returns their answers, complete or as event streams.
package relayer
