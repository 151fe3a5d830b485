package leaser

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

type observation struct {
	key     string
	version storer.Point
	since   time.Time
}

// handleLeaseRead decides the next call by the lease as read from the store.
func (m *machine) handleLeaseRead(now time.Time, name string, d *duty, r result) []operation {
	lease := &peerv1.Lease{}
	switch {
	case errors.Is(r.err, storer.ErrNotFound):
		d.version = 0
	case r.err != nil || proto.Unmarshal(r.object.Value, lease) != nil:
		d.next = now.Add(m.timing.PollInterval)
		return nil
	default:
		d.version = r.object.Version
	}
	d.holderSession = lease.Session
	ours := d.holderSession != "" && strings.HasPrefix(d.holderSession, m.id+".")
	switch {
	case !d.wanted:
		return m.release(now, name, d, ours)
	case d.holderSession == "" || ours && d.holderSession == m.session.key:
		// A lease under this daemon's session comes from a write whose answer was lost, or from a stale read. Only a
		// successful write makes it held, and defeats earlier writes that are still in flight.
		return m.acquire(now, name, d)
	default:
		return []operation{m.issue(now, name, operation{kind: readSession, key: d.holderSession})}
	}
}

// release frees a lease in the store that is no longer wanted and is ours, or may become ours by a write in flight.
func (m *machine) release(now time.Time, name string, d *duty, ours bool) []operation {
	switch {
	case d.version < d.latestVersion:
		d.next = now.Add(m.timing.PollInterval)
		return nil
	case ours, d.unsettled && d.version == d.latestVersion:
		value := encode(&peerv1.Lease{})
		return []operation{m.issue(now, name, operation{kind: writeLease, key: dutyPrefix + name, value: value, expected: d.version})}
	default:
		d.mayHold = false
		return nil
	}
}

// handleOtherSessionRead closes another daemon's session once it has been unchanged for long enough.
func (m *machine) handleOtherSessionRead(now time.Time, name string, d *duty, key string, r result) []operation {
	version := r.object.Version
	if errors.Is(r.err, storer.ErrNotFound) {
		// The session was closed and deleted; creating it as closed proves that this is no stale read.
		return []operation{m.close(now, name, key, 0)}
	}
	stored, err := decodeSession(r)
	if err != nil {
		d.next = now.Add(m.timing.PollInterval)
		return nil
	}
	if stored.Closed {
		return m.acquire(now, name, d)
	}
	if d.observed.key != key || d.observed.version != version {
		d.observed = observation{key: key, version: version, since: now}
	}
	// The holder may use another lease duration than this daemon.
	wait := max(m.timing.TakeOverDelay, NewTiming(time.Duration(stored.DurationMs)*time.Millisecond).TakeOverDelay)
	waited := now.Sub(d.observed.since)
	if m.expired[key] || waited >= wait {
		return []operation{m.close(now, name, key, version)}
	}
	d.next = now.Add(min(m.timing.PollInterval, wait-waited))
	return nil
}

func (m *machine) close(now time.Time, name, key string, version storer.Point) operation {
	value := encode(&peerv1.LeaseSession{Closed: true, Holder: m.holder})
	return m.issue(now, name, operation{kind: closeSession, key: key, value: value, expected: version})
}

// acquire writes the lease under this daemon's session.
func (m *machine) acquire(now time.Time, name string, d *duty) []operation {
	if !d.wanted || m.remaining(now) <= 0 {
		d.next = now
		return nil
	}
	if now.Before(m.acquireAfter) {
		d.next = m.acquireAfter
		return nil
	}
	d.mayHold, d.unsettled, d.latestVersion = true, true, d.version
	value := encode(&peerv1.Lease{Session: m.session.key, Holder: m.holder})
	return []operation{m.issue(now, name, operation{kind: writeLease, key: dutyPrefix + name, value: value, expected: d.version})}
}

func (m *machine) handleLeaseWritten(now time.Time, d *duty, op operation, r result) {
	lease := &peerv1.Lease{}
	_ = proto.Unmarshal(op.value, lease)
	switch {
	case r.err != nil:
		d.next = now.Add(m.timing.PollInterval)
	case lease.Session == "":
		d.mayHold, d.unsettled = false, false
	case d.wanted && lease.Session == m.session.key:
		d.fencing, d.heldSession = uint64(r.version), lease.Session
		d.latestVersion, d.unsettled = r.version, false
	}
}
