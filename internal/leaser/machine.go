package leaser

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

// Prefixes of the keys in the store.
const (
	Prefix        = "leases/"
	dutyPrefix    = Prefix + "duties/"
	sessionPrefix = Prefix + "sessions/"
)

// duty is one lease that the daemon wants, holds or releases.
type duty struct {
	wanted bool
	busy   bool
	// next is when to act again.
	next time.Time
	// version and holderSession are the lease as last read.
	version       storer.Point
	holderSession string
	// observed is the other daemon's session, and since when it has been unchanged.
	observed observation
	// fencing is the fencing number of the lease, and heldSession the session it is held under; empty if it is not held.
	fencing     uint64
	heldSession string
	// mayHold is true if a write of ours may have taken effect.
	mayHold bool
	// latestVersion is the newest version of the lease that this daemon has learned of: the one that its last acquiring write
	// returned, or the one that write expected while its outcome is unsettled. An older one comes from a stale read.
	latestVersion storer.Point
	unsettled     bool
}

// machine is the state machine by which one daemon holds leases; it does no I/O and takes the time as an argument.
type machine struct {
	holder string
	timing Timing
	// id is the prefix of the keys of the daemon's sessions.
	id       string
	sessions int
	session  session
	// expired holds this daemon's sessions that are over by its clock, which it may close without waiting.
	expired map[string]bool
	duties  map[string]*duty
	number  uint64
	// era is the latest era of the store that this daemon has learned of, and acquireAfter the time before which it acquires no
	// lease in it: by then every lease of an earlier era is over, even if its holder has not learned of the new era.
	era          uint64
	eraKnown     bool
	acquireAfter time.Time
}

// newMachine returns a machine without leases; runID distinguishes this run of the daemon from every other one.
func newMachine(holder, runID string, t Timing) *machine {
	return &machine{
		holder:  holder,
		timing:  t,
		id:      sessionPrefix + holder + "/" + runID,
		expired: map[string]bool{},
		duties:  map[string]*duty{},
	}
}

// want requests a lease.
func (m *machine) want(name string) {
	d, ok := m.duties[name]
	if !ok {
		d = &duty{}
		m.duties[name] = d
	}
	d.wanted = true
}

// drop stops wanting a lease; it is no longer valid from now on.
func (m *machine) drop(name string) {
	if d, ok := m.duties[name]; ok {
		d.mayHold = d.mayHold || d.heldSession != ""
		d.wanted, d.heldSession = false, ""
		d.next = time.Time{}
	}
}

// elapsed returns the time between two clock readings, by the monotonic or the wall clock, whichever shows more:
// the monotonic clock of a suspended VM may have stood still.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// remaining returns how long this daemon's session is still valid; it is not positive if the session is over.
func (m *machine) remaining(now time.Time) time.Duration {
	if !m.session.open {
		return 0
	}
	return m.timing.Duration - elapsed(m.session.extended, now)
}

// holds returns the fencing number of a lease, and whether this daemon holds it now.
func (m *machine) holds(now time.Time, name string) (uint64, bool) {
	d, ok := m.duties[name]
	if !ok || d.heldSession == "" || d.heldSession != m.session.key || m.remaining(now) <= 0 {
		return 0, false
	}
	return d.fencing, true
}

// tick returns the calls that are due.
func (m *machine) tick(now time.Time) []operation {
	m.expire(now)
	var out []operation
	if op, ok := m.tickSession(now); ok {
		out = append(out, op)
	}
	names := make([]string, 0, len(m.duties))
	for name := range m.duties {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d := m.duties[name]
		if d.busy || now.Before(d.next) {
			continue
		}
		if !d.wanted && !d.mayHold {
			delete(m.duties, name)
			continue
		}
		if d.wanted && (d.heldSession != "" || m.remaining(now) <= 0) {
			continue
		}
		out = append(out, m.issue(now, name, operation{kind: readLease, key: dutyPrefix + name}))
	}
	return out
}

// expire ends the session, and every lease under it, if its time is over.
func (m *machine) expire(now time.Time) {
	if m.session.open && m.remaining(now) <= 0 {
		m.endSession()
	}
}

func (m *machine) endSession() {
	m.expired[m.session.key] = true
	m.session = session{}
	for _, d := range m.duties {
		d.heldSession = ""
		d.next = time.Time{}
	}
}

// advanceEra handles the era of an answer. In a later one than before, the store may have lost this daemon's leases and may grant
// them to others.
func (m *machine) advanceEra(now time.Time, era uint64) {
	if m.eraKnown && era > m.era {
		m.acquireAfter = now.Add(m.timing.TakeOverDelay)
		if m.session.key != "" {
			m.endSession()
		}
	}
	if !m.eraKnown || era > m.era {
		m.era, m.eraKnown = era, true
	}
}

func (m *machine) issue(now time.Time, name string, op operation) operation {
	m.number++
	op.number, op.duty, op.sent = m.number, name, now
	if d, ok := m.duties[name]; ok {
		d.busy = true
	}
	return op
}

// handleResult handles the result of a call and returns the calls that follow.
func (m *machine) handleResult(now time.Time, op operation, r result) []operation {
	m.expire(now)
	if era, ok := r.era(); ok {
		m.advanceEra(now, era)
	}
	if op.duty == "" {
		m.handleSessionResult(now, op, r)
		return nil
	}
	d, ok := m.duties[op.duty]
	if !ok {
		return nil
	}
	d.busy = false
	switch op.kind {
	case readLease:
		return m.handleLeaseRead(now, op.duty, d, r)
	case readSession:
		return m.handleOtherSessionRead(now, op.duty, d, op.key, r)
	case closeSession:
		if r.err == nil {
			return m.acquire(now, op.duty, d)
		}
	case writeLease:
		m.handleLeaseWritten(now, d, op, r)
		return nil
	}
	d.next = now.Add(m.timing.PollInterval)
	return nil
}
