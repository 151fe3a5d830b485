// Package gossiper tells daemons of each other by heartbeats in datagrams.
package gossiper
