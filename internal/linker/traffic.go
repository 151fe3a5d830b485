package linker

import "sync/atomic"

// traffic counts the connections of a peer and their bytes.
type traffic struct {
	dials    atomic.Uint64
	failures atomic.Uint64
	refused  atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

// Traffic holds the counts of a peer's connections and bytes since its start.
type Traffic struct {
	// Dials counts the connections that this peer tried to open, and DialFailures the attempts that failed.
	Dials        uint64
	DialFailures uint64
	// Refused counts the incoming connections whose handshake failed.
	Refused uint64
	// BytesSent and BytesReceived count the bytes on the connections, without the overhead of TLS and lower layers.
	BytesSent     uint64
	BytesReceived uint64
}

// Traffic returns the current counts.
func (p *Peer) Traffic() Traffic {
	return Traffic{
		Dials:         p.traffic.dials.Load(),
		DialFailures:  p.traffic.failures.Load(),
		Refused:       p.traffic.refused.Load(),
		BytesSent:     p.traffic.sent.Load(),
		BytesReceived: p.traffic.received.Load(),
	}
}
