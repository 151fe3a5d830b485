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

// duty is one lease that the daemon wants, holds or gives up.
type duty struct {
	wanted bool
	busy   bool
	// next is when to act again.
	next time.Time
	// stored is the lease as last read.
	version storer.Point
	holder  string
	// watched is the other daemon's session as seen unchanged since a time.
	watched observation
	// fencing is the fencing number of the lease, where held is the session it is held under.
	fencing uint64
	held    string
	// mayHold is true where a write of ours may have taken effect.
	mayHold bool
	// taking is the newest version of the lease that is known: the one that the last write to take it got,
	// or expected where its outcome is unsettled. An older one comes from a stale read.
	taking    storer.Point
	unsettled bool
}

// machine decides how one daemon holds leases; it does no I/O and takes time as an argument.
type machine struct {
	holder string
	timing Timing
	// id begins the keys of the daemon's sessions.
	id       string
	sessions int
	session  session
	// given holds own sessions that are over by this daemon's clock, which it may close without waiting.
	given  map[string]bool
	duties map[string]*duty
	number uint64
	// era is the store's latest that is known, and takeAfter the time before which no lease is taken in it: by then every lease
	// of an earlier era is over, also where its holder does not know of the new one.
	era       uint64
	eraKnown  bool
	takeAfter time.Time
}

// newMachine returns a machine without leases; run tells this run of the daemon from every other one.
func newMachine(holder, run string, t Timing) *machine {
	return &machine{
		holder: holder,
		timing: t,
		id:     sessionPrefix + holder + "/" + run,
		given:  map[string]bool{},
		duties: map[string]*duty{},
	}
}

// want asks for a lease.
func (m *machine) want(name string) {
	d, ok := m.duties[name]
	if !ok {
		d = &duty{}
		m.duties[name] = d
	}
	d.wanted = true
}

// drop gives a lease up; it is not valid from now on.
func (m *machine) drop(name string) {
	if d, ok := m.duties[name]; ok {
		d.mayHold = d.mayHold || d.held != ""
		d.wanted, d.held = false, ""
		d.next = time.Time{}
	}
}

// elapsed is the time from one reading of the clock to another, by the clock that shows more:
// the monotonic clock of a VM that was suspended may have stood still.
func elapsed(from, now time.Time) time.Duration {
	return max(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

// remaining is how long the own session is valid; it is not positive where it is over.
func (m *machine) remaining(now time.Time) time.Duration {
	if !m.session.open {
		return 0
	}
	return m.timing.Duration - elapsed(m.session.extended, now)
}

// holds returns the fencing number of a lease that is valid.
func (m *machine) holds(now time.Time, name string) (uint64, bool) {
	d, ok := m.duties[name]
	if !ok || d.held == "" || d.held != m.session.key || m.remaining(now) <= 0 {
		return 0, false
	}
	return d.fencing, true
}

// tick starts the calls that are due.
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
		if d.wanted && (d.held != "" || m.remaining(now) <= 0) {
			continue
		}
		out = append(out, m.operate(now, name, operation{kind: readLease, key: dutyPrefix + name}))
	}
	return out
}

// expire ends a session whose time is over, and with it every lease under it.
func (m *machine) expire(now time.Time) {
	if m.session.open && m.remaining(now) <= 0 {
		m.lose()
	}
}

func (m *machine) lose() {
	m.given[m.session.key] = true
	m.session = session{}
	for _, d := range m.duties {
		d.held = ""
		d.next = time.Time{}
	}
}

// eraRose takes in the era of an answer. In a later one than before, the store may have forgotten this daemon's leases and may give
// them to others.
func (m *machine) eraRose(now time.Time, era uint64) {
	if m.eraKnown && era > m.era {
		m.takeAfter = now.Add(m.timing.Wait)
		if m.session.key != "" {
			m.lose()
		}
	}
	if !m.eraKnown || era > m.era {
		m.era, m.eraKnown = era, true
	}
}

func (m *machine) operate(now time.Time, name string, op operation) operation {
	m.number++
	op.number, op.duty, op.sent = m.number, name, now
	if d, ok := m.duties[name]; ok {
		d.busy = true
	}
	return op
}

// done takes in the result of a call and returns the calls that follow.
func (m *machine) done(now time.Time, op operation, r result) []operation {
	m.expire(now)
	if era, ok := r.era(); ok {
		m.eraRose(now, era)
	}
	if op.duty == "" {
		m.doneSession(now, op, r)
		return nil
	}
	d, ok := m.duties[op.duty]
	if !ok {
		return nil
	}
	d.busy = false
	switch op.kind {
	case readLease:
		return m.leaseRead(now, op.duty, d, r)
	case readSession:
		return m.otherSessionRead(now, op.duty, d, op.key, r)
	case closeSession:
		if r.err == nil {
			return m.take(now, op.duty, d)
		}
	case writeLease:
		m.leaseWritten(now, d, op, r)
		return nil
	}
	d.next = now.Add(m.timing.Poll)
	return nil
}
