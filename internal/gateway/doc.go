// Package gateway is the daemon that relays HTTP requests: it ties the services together that follow the configuration and
// the targets, know the other daemons, place layers and relay.
package gateway
