package tracker

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// returnAfterFactor is how many times the absence that removes a target has to pass before a list can bring it back.
const returnAfterFactor = 2

// witnessFor is how long an own probe that was answered outweighs what others say of the target; probes are at most 2.5 s apart.
const witnessFor = 3 * time.Second

// TargetReport is what probing found out about a target.
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

// ReportTarget takes the result of a probe.
func (m *Machine) ReportTarget(now time.Duration, name string, r TargetReport) []Message {
	m.advance(now)
	e := m.targets[name]
	if e == nil || e.Removed {
		return nil
	}
	e.answered = neverHeard
	if r.State == cataloger.StateLive {
		e.answered = m.now
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
	m.changeTarget(e, next)
	m.flushNews()
	return m.take()
}

// changeTarget publishes another form of a target under the next version, if it differs.
func (m *Machine) changeTarget(e *targetEntry, next *peerv1.TargetEntry) {
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
	m.noteTargetChange(e)
}

func (m *Machine) insertTarget(p *peerv1.TargetEntry) {
	e := &targetEntry{TargetEntry: p, hash: hashOf("target/" + p.Name), settled: m.now, answered: neverHeard}
	m.targets[p.Name] = e
	m.digest ^= e.digest()
	m.noteTargetChange(e)
}

// learnTarget takes a received form if it is newer; what leaves stays so under its address.
func (m *Machine) learnTarget(p *peerv1.TargetEntry) bool {
	known := m.targets[p.Name]
	if known == nil {
		m.insertTarget(p)
		return true
	}
	if !supersedesTarget(p, known.TargetEntry) {
		return false
	}
	lostMark := known.Leaving && !known.Removed && !p.Leaving && p.Address == known.Address
	if p.Removed != known.Removed {
		known.settled = m.now
	}
	before, refuted := known.TargetEntry, m.refutes(known, p)
	m.replaceTarget(known, p)
	if !refuted && !lostMark {
		return true
	}
	better := p
	if refuted {
		better = before
	}
	next := proto.Clone(better).(*peerv1.TargetEntry)
	next.Leaving = p.Leaving || lostMark
	m.changeTarget(known, next)
	return true
}

// refutes tells whether this daemon knows better than a received form that calls a target bad.
//
// A daemon that was cut off finds every target dead and tells so when it is back; the probers that reached them
// throughout answer for the targets.
func (m *Machine) refutes(known *targetEntry, p *peerv1.TargetEntry) bool {
	worse := p.Health == peerv1.TargetHealth_TARGET_HEALTH_SUSPECT || p.Health == peerv1.TargetHealth_TARGET_HEALTH_DOWN
	same := !p.Removed && !known.Removed && p.Address == known.Address
	return worse && same && m.now-known.answered <= witnessFor
}

// listTarget takes a target from the list of VMs.
func (m *Machine) listTarget(vm cataloger.VM, t cataloger.Target) {
	e := m.targets[t.Name]
	if e == nil {
		m.insertTarget(listedTarget(vm, t, m.self.name))
		m.targetNews[t.Name] = struct{}{}
		return
	}
	e.missing = 0
	if e.Removed {
		if m.now-e.settled < returnAfterFactor*m.options.TargetAbsence {
			return
		}
		e.settled = m.now
		m.changeTarget(e, listedTarget(vm, t, m.self.name))
		return
	}
	if e.Address != t.Address && e.Health != peerv1.TargetHealth_TARGET_HEALTH_UP {
		// A target that answers at its address is newer than a list that names another one.
		m.changeTarget(e, listedTarget(vm, t, m.self.name))
		return
	}
	if vm.Leaving && !e.Leaving && e.Address == t.Address {
		next := proto.Clone(e.TargetEntry).(*peerv1.TargetEntry)
		next.Leaving = true
		m.changeTarget(e, next)
	}
}

func listedTarget(vm cataloger.VM, t cataloger.Target, reporter string) *peerv1.TargetEntry {
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

// missTargets removes the targets that the list has not named for long enough, and forgets those removed long ago.
func (m *Machine) missTargets(seen map[string]struct{}) {
	for _, name := range sortedKeys(m.targets) {
		e := m.targets[name]
		if e.Removed && m.now-e.settled >= m.options.TombstoneRetention {
			delete(m.targets, name)
			continue
		}
		if _, ok := seen[name]; ok || e.Removed {
			continue
		}
		if e.missing == 0 {
			e.missing = m.now
			continue
		}
		if m.now-e.missing < m.options.TargetAbsence {
			continue
		}
		next := proto.Clone(e.TargetEntry).(*peerv1.TargetEntry)
		next.Removed = true
		e.settled = m.now
		m.changeTarget(e, next)
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
