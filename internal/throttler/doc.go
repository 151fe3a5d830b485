// Package throttler keeps the requests that all daemons together send to a target within the rate that the target accepts.
package throttler
