package tracker

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// returnAfterFactor times Options.TargetAbsence has to pass after the removal of a target before a list can restore it.
const returnAfterFactor = 2

// ownProbePrecedence is how long this daemon's own successful probe of a target overrides what others report; probes are at
// most 2.5 s apart.
const ownProbePrecedence = 3 * time.Second

// TargetReport is the result of probing a target.
type TargetReport struct {
	State   cataloger.State
	Leaving bool
	// Described is true where the fields below were reported by the target.
	Described   bool
	Kind        string
	Role        string
	MemoryBytes uint64
	// PrefillRate and DecodeRate are in layer-tokens a second.
	PrefillRate   float64
	DecodeRate    float64
	Holdings      []cataloger.Holding
	ChecksFencing bool
}

// ReportTarget applies the result of a probe, and returns the messages to send; a target that is not in the table is ignored.
func (m *Machine) ReportTarget(now time.Duration, name string, r TargetReport) []Message {
	m.advance(now)
	e := m.targets[name]
	if e == nil || e.Removed {
		return nil
	}
	e.foundUpAt = never
	if r.State == cataloger.StateLive {
		e.foundUpAt = m.now
	}
	next := proto.Clone(e.TargetEntry).(*peerv1.TargetEntry)
	next.Health = healthOf(r.State)
	next.Leaving = e.Leaving || r.Leaving
	if r.Described {
		next.Kind = r.Kind
		next.Role = r.Role
		next.MemoryBytes = r.MemoryBytes
		next.PrefillRate = r.PrefillRate
		next.DecodeRate = r.DecodeRate
		next.ChecksFencing = r.ChecksFencing
		next.Holdings = holdingsToProto(r.Holdings)
	}
	m.updateTarget(e, next)
	m.flushNews()
	return m.takeOutbox()
}

// updateTarget stores and publishes a changed target under its next version; it does nothing if next has no change.
func (m *Machine) updateTarget(e *targetEntry, next *peerv1.TargetEntry) {
	next.Version = e.Version
	next.Reporter = e.Reporter
	if proto.Equal(next, e.TargetEntry) {
		return
	}
	next.Version++
	next.Reporter = m.self.name
	m.replaceTarget(e, next)
	m.targetNews[next.Name] = struct{}{}
}

func (m *Machine) replaceTarget(e *targetEntry, next *peerv1.TargetEntry) {
	m.digest ^= e.digest()
	e.TargetEntry = next
	m.digest ^= e.digest()
	m.recordTargetChange(e)
}

func (m *Machine) insertTarget(p *peerv1.TargetEntry) {
	e := &targetEntry{TargetEntry: p, nameHash: hashOf("target/" + p.Name), presenceChangedAt: m.now, foundUpAt: never}
	m.targets[p.Name] = e
	m.digest ^= e.digest()
	m.recordTargetChange(e)
}

// applyTarget applies a received version of a target if it is newer, and returns whether it was; a target that leaves stays
// leaving as long as its address is the same.
func (m *Machine) applyTarget(p *peerv1.TargetEntry) bool {
	current := m.targets[p.Name]
	if current == nil {
		m.insertTarget(p)
		return true
	}
	if !supersedesTarget(p, current.TargetEntry) {
		return false
	}
	leaveMarkLost := current.Leaving && !current.Removed && !p.Leaving && p.Address == current.Address
	if p.Removed != current.Removed {
		current.presenceChangedAt = m.now
	}
	previous, refuted := current.TargetEntry, m.refutes(current, p)
	m.replaceTarget(current, p)
	if !refuted && !leaveMarkLost {
		return true
	}
	base := p
	if refuted {
		base = previous
	}
	next := proto.Clone(base).(*peerv1.TargetEntry)
	next.Leaving = p.Leaving || leaveMarkLost
	m.updateTarget(current, next)
	return true
}

// refutes reports whether this daemon's own recent probe contradicts a received version that has a target suspect or down.
//
// A daemon that was cut off finds every target dead and announces that when it returns; the daemons that still reached the
// targets refute it.
func (m *Machine) refutes(current *targetEntry, p *peerv1.TargetEntry) bool {
	worse := p.Health == peerv1.TargetHealth_TARGET_HEALTH_SUSPECT || p.Health == peerv1.TargetHealth_TARGET_HEALTH_DOWN
	same := !p.Removed && !current.Removed && p.Address == current.Address
	return worse && same && m.now-current.foundUpAt <= ownProbePrecedence
}

// applyListedTarget adds, restores, moves or marks as leaving a target as the list of VMs has it.
func (m *Machine) applyListedTarget(vm cataloger.VM, t cataloger.Target) {
	e := m.targets[t.Name]
	if e == nil {
		m.insertTarget(newListedEntry(vm, t, m.self.name))
		m.targetNews[t.Name] = struct{}{}
		return
	}
	e.missingSince = 0
	if e.Removed {
		if m.now-e.presenceChangedAt < returnAfterFactor*m.options.TargetAbsence {
			return
		}
		e.presenceChangedAt = m.now
		m.updateTarget(e, newListedEntry(vm, t, m.self.name))
		return
	}
	if e.Address != t.Address && e.Health != peerv1.TargetHealth_TARGET_HEALTH_UP {
		// Only a target that is not up is moved: while it answers at its address, a list that names another one is outdated.
		m.updateTarget(e, newListedEntry(vm, t, m.self.name))
		return
	}
	if vm.Leaving && !e.Leaving && e.Address == t.Address {
		next := proto.Clone(e.TargetEntry).(*peerv1.TargetEntry)
		next.Leaving = true
		m.updateTarget(e, next)
	}
}

func newListedEntry(vm cataloger.VM, t cataloger.Target, reporter string) *peerv1.TargetEntry {
	return &peerv1.TargetEntry{
		Name:          t.Name,
		Version:       1,
		Reporter:      reporter,
		Vm:            vm.Name,
		DataCentre:    string(vm.DataCentre),
		Address:       t.Address,
		Type:          string(t.Type),
		Kind:          t.Kind,
		Service:       t.Service,
		ChecksFencing: t.ChecksFencing,
		Leaving:       vm.Leaving,
	}
}

// removeMissingTargets marks targets that have long been missing from the list as removed, and deletes the records of those
// removed TombstoneRetention ago.
func (m *Machine) removeMissingTargets(seen map[string]struct{}) {
	for _, name := range sortedKeys(m.targets) {
		e := m.targets[name]
		if e.Removed && m.now-e.presenceChangedAt >= m.options.TombstoneRetention {
			delete(m.targets, name)
			continue
		}
		if _, ok := seen[name]; ok || e.Removed {
			continue
		}
		if e.missingSince == 0 {
			e.missingSince = m.now
			continue
		}
		if m.now-e.missingSince < m.options.TargetAbsence {
			continue
		}
		next := proto.Clone(e.TargetEntry).(*peerv1.TargetEntry)
		next.Removed = true
		e.presenceChangedAt = m.now
		m.updateTarget(e, next)
	}
}

func healthOf(s cataloger.State) peerv1.TargetHealth {
	switch s {
	case cataloger.StateLive, cataloger.StateLeaving:
		return peerv1.TargetHealth_TARGET_HEALTH_UP
	case cataloger.StateSuspect:
		return peerv1.TargetHealth_TARGET_HEALTH_SUSPECT
	case cataloger.StateDead:
		return peerv1.TargetHealth_TARGET_HEALTH_DOWN
	}
	return peerv1.TargetHealth_TARGET_HEALTH_UNKNOWN
}

func stateOf(e *peerv1.TargetEntry) cataloger.State {
	if e.Leaving && e.Health != peerv1.TargetHealth_TARGET_HEALTH_DOWN {
		return cataloger.StateLeaving
	}
	switch e.Health {
	case peerv1.TargetHealth_TARGET_HEALTH_UP:
		return cataloger.StateLive
	case peerv1.TargetHealth_TARGET_HEALTH_SUSPECT:
		return cataloger.StateSuspect
	case peerv1.TargetHealth_TARGET_HEALTH_DOWN:
		return cataloger.StateDead
	}
	return cataloger.StateJoining
}

func holdingsToProto(holdings []cataloger.Holding) []*peerv1.TargetHolding {
	var out []*peerv1.TargetHolding
	for _, h := range holdings {
		out = append(out, &peerv1.TargetHolding{
			Model:      h.Model,
			Version:    h.Version,
			FirstLayer: h.FirstLayer,
			EndLayer:   h.EndLayer,
			Adapters:   h.Adapters,
			Ready:      h.Ready,
		})
	}
	return out
}

func holdingsFromProto(holdings []*peerv1.TargetHolding) []cataloger.Holding {
	var out []cataloger.Holding
	for _, h := range holdings {
		out = append(out, cataloger.Holding{
			Model:      h.Model,
			Version:    h.Version,
			FirstLayer: h.FirstLayer,
			EndLayer:   h.EndLayer,
			Adapters:   h.Adapters,
			Ready:      h.Ready,
		})
	}
	return out
}
