// Package bencher sends open-loop load to routers, measures the answers and audits them against the ledgers of the targets.
package bencher
