// Package netfaker is an in-memory network for tests of complete daemons in virtual time, with latency, connection resets,
// partitions and dead hosts.
package netfaker
