// Package gateway groups the commands for gateways on the users' platform.
package gateway
