// Package peerv1 holds the generated messages that daemons exchange.
package peerv1
