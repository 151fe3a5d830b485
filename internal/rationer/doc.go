// Package rationer shares a budget of repeated attempts among daemons that each see only their own.
package rationer
