// Package budgeter bounds retries to a share of the first attempts.
package budgeter
