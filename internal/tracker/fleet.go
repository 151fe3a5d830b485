package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// Fleet returns the view of the table; heardAt turns the machine's time into the clock's.
func (m *Machine) Fleet(heardAt func(time.Duration) time.Time) cataloger.Fleet {
	var f cataloger.Fleet
	for _, e := range m.order {
		if e.present() {
			f.Members = append(f.Members, m.member(e, heardAt))
		}
	}
	f.Targets = m.targetList()
	return f
}

// targetList returns the targets by name; the slice is shared until a target changes.
func (m *Machine) targetList() []cataloger.Target {
	if m.listedAt == m.targetChanges {
		return m.targetViews
	}
	m.listedAt = m.targetChanges
	m.targetViews = make([]cataloger.Target, 0, len(m.targets))
	for _, name := range sortedKeys(m.targets) {
		if e := m.targets[name]; !e.Removed {
			m.targetViews = append(m.targetViews, e.target())
		}
	}
	return m.targetViews
}

func (m *Machine) member(e *memberEntry, heardAt func(time.Duration) time.Time) cataloger.Member {
	state := cataloger.StateLive
	switch {
	case e == m.self && m.superseded, e.status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING:
		state = cataloger.StateLeaving
	case e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT, e.unreachable:
		state = cataloger.StateSuspect
	}
	heard := e.heard
	if e == m.self {
		heard = m.now
	}
	lastHeard := time.Time{}
	if heard != neverHeard {
		lastHeard = heardAt(heard)
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
