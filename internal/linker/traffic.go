package linker

import "sync/atomic"

// traffic counts what passes over the connections of a peer.
type traffic struct {
	dials    atomic.Uint64
	failures atomic.Uint64
	refused  atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

// Traffic is what a peer has dialled, accepted and carried since its start.
type Traffic struct {
	// Dials counts the connections that this peer tried to open, and DialFailures those that did not open.
	Dials        uint64
	DialFailures uint64
	// Refused counts the connections of others that did not pass the handshake.
	Refused uint64
	// BytesSent and BytesReceived count what the connections carried, without TLS records and lower headers.
	BytesSent     uint64
	BytesReceived uint64
}

// Traffic returns the counts.
func (p *Peer) Traffic() Traffic {
	return Traffic{
		Dials:         p.traffic.dials.Load(),
		DialFailures:  p.traffic.failures.Load(),
		Refused:       p.traffic.refused.Load(),
		BytesSent:     p.traffic.sent.Load(),
		BytesReceived: p.traffic.received.Load(),
	}
}
