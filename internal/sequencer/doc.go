// Package sequencer lets answers under one ordering key out in the order of their sequence numbers while requests run in parallel.
package sequencer
