package leaser

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// Prefixes of the keys in the store.
const (
	Prefix        = "leases/"
	dutyPrefix    = Prefix + "duties/"
	sessionPrefix = Prefix + "sessions/"
)

// Timing sets how long leases last.
type Timing struct {
	// Duration is how long a lease is valid after the last renewal was sent, by the holder's clock.
	Duration time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Wait is how long another daemon sees a session unchanged, by its own clock, before it closes it.
	Wait time.Duration
	// Poll is the time between looks at a lease that another daemon holds.
	Poll time.Duration
}

// MaxDrift is the part by which the rates of two daemons' clocks may differ from real time.
const MaxDrift = 0.02

// waitMargin is over what (1+MaxDrift)/(1-MaxDrift) adds.
const waitMargin = 0.05

// NewTiming returns the timing for leases of a duration; the wait covers clocks that drift by MaxDrift against each other.
func NewTiming(duration time.Duration) Timing {
	return Timing{
		Duration: duration,
		Renew:    duration / 3,
		Wait:     duration + time.Duration(float64(duration)*waitMargin),
		Poll:     duration / 10,
	}
}

// operation is a call to the store that the machine wants; its result comes back by done.
type operation struct {
	number uint64
	// duty is the lease that the call is for; empty for the daemon's own session.
	duty string
	kind operationKind
	key  string
	// value and expected are for writes.
	value    []byte
	expected uint64
	sent     time.Time
	// renewal is the renewal that a write to the own session carries.
	renewal uint64
}

type operationKind int

const (
	readLease operationKind = iota
	readSession
	closeSession
	writeLease
	renewSession
)

// result is what a call to the store gave.
type result struct {
	object  storer.Object
	version uint64
	err     error
}

// duty is one lease that the daemon wants, holds or gives up.
type duty struct {
	wanted bool
	busy   bool
	// next is when to act again.
	next time.Time
	// stored is the lease as last read.
	version uint64
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
	taking    uint64
	unsettled bool
}

type observation struct {
	key     string
	version uint64
	since   time.Time
}

// session is the daemon's own session.
type session struct {
	key     string
	open    bool
	busy    bool
	version uint64
	renewal uint64
	// sent holds the times at which renewals were sent that may have taken effect.
	sent map[uint64]time.Time
	// extended is when the newest renewal that took effect was sent.
	extended time.Time
	next     time.Time
	reread   bool
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

func (m *machine) tickSession(now time.Time) (operation, bool) {
	s := &m.session
	if s.busy || now.Before(s.next) {
		return operation{}, false
	}
	if s.key == "" {
		if !m.anyWanted() {
			return operation{}, false
		}
		m.sessions++
		*s = session{key: fmt.Sprintf("%s.%d", m.id, m.sessions), sent: map[uint64]time.Time{}}
	}
	s.busy = true
	if s.reread {
		return m.operate(now, "", operation{kind: readSession, key: s.key}), true
	}
	s.renewal++
	s.sent[s.renewal] = now
	value := encode(&peerv1.LeaseSession{
		Holder:     m.holder,
		Renewal:    s.renewal,
		DurationMs: uint64(m.timing.Duration.Milliseconds()),
	})
	return m.operate(now, "", operation{kind: renewSession, key: s.key, value: value, expected: s.version, renewal: s.renewal}), true
}

func (m *machine) anyWanted() bool {
	for _, d := range m.duties {
		if d.wanted {
			return true
		}
	}
	return false
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

// doneSession takes in a renewal or a reading of the own session.
func (m *machine) doneSession(now time.Time, op operation, r result) {
	s := &m.session
	if op.key != s.key {
		return
	}
	s.busy = false
	s.next = now.Add(m.timing.Renew / 10)
	if op.kind == renewSession {
		if r.err != nil {
			s.reread = true
			return
		}
		m.extend(op.renewal, r.version)
		s.next = op.sent.Add(m.timing.Renew)
		m.expire(now)
		return
	}
	stored, err := decodeSession(r)
	switch {
	case errors.Is(err, storer.ErrNotFound) && s.version == 0:
		s.reread = false
	case err != nil:
	case stored.Closed:
		m.lose()
	case r.object.Version >= s.version:
		s.reread = false
		m.extend(stored.Renewal, r.object.Version)
		s.next = now
		m.expire(now)
	}
}

// extend counts the session's time from before the renewal that took effect was sent.
func (m *machine) extend(renewal, version uint64) {
	s := &m.session
	sent, ok := s.sent[renewal]
	if !ok {
		return
	}
	s.version, s.open = version, true
	if sent.After(s.extended) {
		s.extended = sent
	}
	for r := range s.sent {
		if r < renewal {
			delete(s.sent, r)
		}
	}
}

// leaseRead decides by the lease as it stands in the store.
func (m *machine) leaseRead(now time.Time, name string, d *duty, r result) []operation {
	lease := &peerv1.Lease{}
	switch {
	case errors.Is(r.err, storer.ErrNotFound):
		d.version = 0
	case r.err != nil || proto.Unmarshal(r.object.Value, lease) != nil:
		d.next = now.Add(m.timing.Poll)
		return nil
	default:
		d.version = r.object.Version
	}
	d.holder = lease.Session
	ours := d.holder != "" && strings.HasPrefix(d.holder, m.id+".")
	switch {
	case !d.wanted:
		return m.release(now, name, d, ours)
	case d.holder == "" || ours && d.holder == m.session.key:
		// A lease that shows this daemon's session comes from a write whose answer was lost, or from a stale read;
		// only a write that succeeds makes it held, and puts an end to earlier writes that are still under way.
		return m.take(now, name, d)
	default:
		return []operation{m.operate(now, name, operation{kind: readSession, key: d.holder})}
	}
}

// release frees a lease that is not wanted any more and is ours, or may become ours by a write that is under way.
func (m *machine) release(now time.Time, name string, d *duty, ours bool) []operation {
	switch {
	case d.version < d.taking:
		d.next = now.Add(m.timing.Poll)
		return nil
	case ours, d.unsettled && d.version == d.taking:
		value := encode(&peerv1.Lease{})
		return []operation{m.operate(now, name, operation{kind: writeLease, key: dutyPrefix + name, value: value, expected: d.version})}
	default:
		d.mayHold = false
		return nil
	}
}

// otherSessionRead waits until a session was unchanged for long enough, and closes it.
func (m *machine) otherSessionRead(now time.Time, name string, d *duty, key string, r result) []operation {
	version := r.object.Version
	if errors.Is(r.err, storer.ErrNotFound) {
		// The session was closed and cleared away; creating it as closed shows that this is no stale read.
		return []operation{m.close(now, name, key, 0)}
	}
	stored, err := decodeSession(r)
	if err != nil {
		d.next = now.Add(m.timing.Poll)
		return nil
	}
	if stored.Closed {
		return m.take(now, name, d)
	}
	if d.watched.key != key || d.watched.version != version {
		d.watched = observation{key: key, version: version, since: now}
	}
	// The holder may run with another duration than this daemon.
	wait := max(m.timing.Wait, NewTiming(time.Duration(stored.DurationMs)*time.Millisecond).Wait)
	waited := now.Sub(d.watched.since)
	if m.given[key] || waited >= wait {
		return []operation{m.close(now, name, key, version)}
	}
	d.next = now.Add(min(m.timing.Poll, wait-waited))
	return nil
}

func (m *machine) close(now time.Time, name, key string, version uint64) operation {
	value := encode(&peerv1.LeaseSession{Closed: true, Holder: m.holder})
	return m.operate(now, name, operation{kind: closeSession, key: key, value: value, expected: version})
}

// take writes the lease under the own session.
func (m *machine) take(now time.Time, name string, d *duty) []operation {
	if !d.wanted || m.remaining(now) <= 0 {
		d.next = now
		return nil
	}
	d.mayHold, d.unsettled, d.taking = true, true, d.version
	value := encode(&peerv1.Lease{Session: m.session.key, Holder: m.holder})
	return []operation{m.operate(now, name, operation{kind: writeLease, key: dutyPrefix + name, value: value, expected: d.version})}
}

func (m *machine) leaseWritten(now time.Time, d *duty, op operation, r result) {
	lease := &peerv1.Lease{}
	_ = proto.Unmarshal(op.value, lease)
	switch {
	case r.err != nil:
		d.next = now.Add(m.timing.Poll)
	case lease.Session == "":
		d.mayHold, d.unsettled = false, false
	case d.wanted && lease.Session == m.session.key:
		d.fencing, d.held = r.version, lease.Session
		d.taking, d.unsettled = r.version, false
	}
}

func decodeSession(r result) (*peerv1.LeaseSession, error) {
	if r.err != nil {
		return nil, r.err
	}
	s := &peerv1.LeaseSession{}
	return s, proto.Unmarshal(r.object.Value, s)
}

func encode(p proto.Message) []byte {
	b, err := proto.Marshal(p)
	if err != nil {
		panic(err)
	}
	return b
}
