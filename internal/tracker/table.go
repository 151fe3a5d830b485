package tracker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// never stands for the time of an event that has not happened.
const never = -24 * time.Hour

// memberEntry is the machine's record of one daemon.
type memberEntry struct {
	name        string
	nameHash    uint64
	incarnation uint64
	epoch       uint64
	status      peerv1.MemberStatus
	address     string
	peerAddress string
	dataCentre  cataloger.DataCentre
	region      string
	traits      uint32
	// changeNumber is the machine's change number of the last change of the entry.
	changeNumber uint64
	// statusSince is when the entry took its status.
	statusSince time.Duration
	// learnedAt is when this daemon first learned of the member.
	learnedAt time.Duration
	// lastMessageAt is when the last message of the member was received.
	lastMessageAt time.Duration
	// unreachable is set where this daemon does not reach the member and nobody has confirmed its silence.
	unreachable bool
	// relayed is set once this daemon has relayed this version of the entry in its data centre.
	relayed bool
	// load is the load that the member last reported.
	load float64
}

func memberFromProto(p *peerv1.MemberEntry, now time.Duration) memberEntry {
	return memberEntry{
		name:          p.Name,
		nameHash:      xxhash.Sum64String(p.Name),
		incarnation:   p.Incarnation,
		epoch:         p.Epoch,
		status:        p.Status,
		address:       p.Address,
		peerAddress:   p.PeerAddress,
		dataCentre:    cataloger.DataCentre(p.DataCentre),
		region:        p.Region,
		traits:        p.Traits,
		statusSince:   now - time.Duration(p.DeadSeconds)*time.Second,
		learnedAt:     now,
		lastMessageAt: never,
	}
}

func (e *memberEntry) proto(now time.Duration) *peerv1.MemberEntry {
	p := &peerv1.MemberEntry{
		Name:        e.name,
		Incarnation: e.incarnation,
		Epoch:       e.epoch,
		Status:      e.status,
		Address:     e.address,
		PeerAddress: e.peerAddress,
		DataCentre:  string(e.dataCentre),
		Region:      e.region,
		Traits:      e.traits,
	}
	if e.status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		p.DeadSeconds = uint32((now - e.statusSince) / time.Second)
	}
	return p
}

// present reports whether the daemon may still be running.
func (e *memberEntry) present() bool { return e.status != peerv1.MemberStatus_MEMBER_STATUS_DEAD }

// working reports whether the daemon is live or suspect, and so neither leaving nor dead.
func (e *memberEntry) working() bool {
	return e.status == peerv1.MemberStatus_MEMBER_STATUS_LIVE || e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT
}

// supersedes reports whether the received version of an entry is newer than the current one.
// Two processes with the same incarnation are not ordered: the later one has to raise its own.
func supersedes(received *peerv1.MemberEntry, current *memberEntry) bool {
	if received.Incarnation != current.incarnation {
		return received.Incarnation > current.incarnation
	}
	return received.Status > current.status
}

// sameVersion reports whether the received version of an entry is the current one.
func sameVersion(received *peerv1.MemberEntry, current *memberEntry) bool {
	return received.Incarnation == current.incarnation && received.Epoch == current.epoch && received.Status == current.status
}

// canWatch reports whether a daemon may watch others; leaving daemons do where few others are left.
func (m *Machine) canWatch(e *memberEntry) bool {
	return e.working() || m.leaversWatch && e.present()
}

// digest returns the entry's part of the table's digest; it is 0 for dead members, so that removing them does not change it.
func (e *memberEntry) digest() uint64 {
	if !e.present() {
		return 0
	}
	return pairScore(e.nameHash, pairScore(e.incarnation, e.epoch)+uint64(e.status))
}

// targetEntry is the machine's record of one target.
type targetEntry struct {
	*peerv1.TargetEntry
	nameHash     uint64
	changeNumber uint64
	// missingSince is when a list of VMs first left the target out; 0 where the last list named it.
	missingSince time.Duration
	// presenceChangedAt is when the target was last inserted, removed or restored.
	presenceChangedAt time.Duration
	// foundUpAt is when this daemon's own last probe found the target up; never where the probe found anything else.
	foundUpAt time.Duration
}

func (e *targetEntry) digest() uint64 {
	if e.Removed {
		return 0
	}
	return pairScore(e.nameHash, pairScore(e.Version, xxhash.Sum64String(e.Reporter)))
}

// supersedesTarget reports whether the received version of a target is newer than the current one.
func supersedesTarget(received, current *peerv1.TargetEntry) bool {
	if received.Version != current.Version {
		return received.Version > current.Version
	}
	return received.Reporter > current.Reporter
}
