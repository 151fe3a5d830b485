// Package gateway implements the daemon that relays HTTP requests. It ties together the services that follow the
// configuration and the targets, track the other daemons, place layers and relay requests.
package gateway
