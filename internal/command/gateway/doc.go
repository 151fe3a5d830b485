// Package gateway groups the commands about gateways on the users' platform.
package gateway
