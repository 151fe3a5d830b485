// Package sequencer delivers the answers under one ordering key in the order of their sequence numbers, while the requests
// run in parallel.
package sequencer
