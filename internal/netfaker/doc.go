// Package netfaker is a small network in memory, for tests of whole daemons in virtual time: connections, latency, cuts, partitions and dead hosts.
package netfaker
