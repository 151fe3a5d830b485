// Package rationer shares a retry budget among daemons that each see only their own requests.
package rationer
