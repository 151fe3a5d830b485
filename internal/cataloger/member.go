package cataloger

import "time"

// Member is one daemon.
type Member struct {
	Name string
	// Incarnation orders the news about the member; it grows with each start and where the member refutes news of its death.
	Incarnation uint64
	// Epoch identifies the process of the daemon and grows with each start.
	Epoch uint64
	// Address is the caller API's host:port.
	Address string
	// PeerAddress is the host:port for other daemons.
	PeerAddress string
	DataCentre  DataCentre
	Region      string
	State       State
	// Traits are bits that the member says of itself; what they mean is up to those who use membership.
	Traits uint32
	// Load is the work in progress as a share of what the daemon takes; it is known within a data centre only.
	Load         float64
	LastReceived time.Time
}

// Fleet is a view of members, targets and links at one moment; readers must not change it.
type Fleet struct {
	Members []Member
	Targets []Target
	Links   []Link
}
