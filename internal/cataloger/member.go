package cataloger

import "time"

// Member is one daemon of the fleet.
type Member struct {
	Name string
	// Incarnation orders the updates about the member. It grows with each start, and when the member refutes a report of its death.
	Incarnation uint64
	// Epoch identifies the process of the daemon and grows with each start.
	Epoch uint64
	// Address is the host:port of the caller API.
	Address string
	// PeerAddress is the host:port for other daemons.
	PeerAddress string
	DataCentre  DataCentre
	Region      string
	State       State
	// Traits are bits that the member announces about itself; the users of the membership define their meaning.
	Traits uint32
	// Load is the work in progress as a share of the daemon's capacity; it is tracked within a data centre only.
	Load         float64
	LastReceived time.Time
}

// Fleet is a snapshot of members, targets and links; readers must not change it.
type Fleet struct {
	Members []Member
	Targets []Target
	Links   []Link
}
