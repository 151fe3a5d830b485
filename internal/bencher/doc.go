// Package bencher loads routers in an open loop, measures the answers and checks them against the ledgers of the targets.
package bencher
