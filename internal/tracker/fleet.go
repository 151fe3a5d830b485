package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// Fleet returns a snapshot of the table; toClockTime converts the machine's time to wall-clock time.
func (m *Machine) Fleet(toClockTime func(time.Duration) time.Time) cataloger.Fleet {
	var f cataloger.Fleet
	for _, e := range m.sorted {
		if e.present() {
			f.Members = append(f.Members, m.member(e, toClockTime))
		}
	}
	f.Targets = m.targetList()
	return f
}

// targetList returns the targets by name; the slice is shared until a target changes.
func (m *Machine) targetList() []cataloger.Target {
	if m.cachedTargetsAt == m.targetChanges {
		return m.cachedTargets
	}
	m.cachedTargetsAt = m.targetChanges
	m.cachedTargets = make([]cataloger.Target, 0, len(m.targets))
	for _, name := range sortedKeys(m.targets) {
		if e := m.targets[name]; !e.Removed {
			m.cachedTargets = append(m.cachedTargets, e.target())
		}
	}
	return m.cachedTargets
}

func (m *Machine) member(e *memberEntry, toClockTime func(time.Duration) time.Time) cataloger.Member {
	state := cataloger.StateLive
	switch {
	case e == m.self && m.superseded, e.status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING:
		state = cataloger.StateLeaving
	case e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT, e.unreachable:
		state = cataloger.StateSuspect
	}
	lastMessageAt := e.lastMessageAt
	if e == m.self {
		lastMessageAt = m.now
	}
	lastHeard := time.Time{}
	if lastMessageAt != never {
		lastHeard = toClockTime(lastMessageAt)
	}
	return cataloger.Member{
		Name:         e.name,
		Incarnation:  e.incarnation,
		Epoch:        e.epoch,
		Address:      e.address,
		PeerAddress:  e.peerAddress,
		DataCentre:   e.dataCentre,
		Region:       e.region,
		State:        state,
		Traits:       e.traits,
		Load:         e.load,
		LastReceived: lastHeard,
	}
}

func (e *targetEntry) target() cataloger.Target {
	return cataloger.Target{
		Name:          e.Name,
		VM:            e.Vm,
		DataCentre:    cataloger.DataCentre(e.DataCentre),
		Address:       e.Address,
		Type:          cataloger.TargetType(e.Type),
		Kind:          e.Kind,
		Service:       e.Service,
		ChecksFencing: e.ChecksFencing,
		PrefillRate:   e.PrefillRate,
		DecodeRate:    e.DecodeRate,
		MemoryBytes:   e.MemoryBytes,
		Role:          e.Role,
		Holdings:      holdingsFromProto(e.Holdings),
		State:         stateOf(e.TargetEntry),
	}
}
