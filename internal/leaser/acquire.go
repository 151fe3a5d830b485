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

func (m *machine) close(now time.Time, name, key string, version storer.Point) operation {
	value := encode(&peerv1.LeaseSession{Closed: true, Holder: m.holder})
	return m.operate(now, name, operation{kind: closeSession, key: key, value: value, expected: version})
}

// take writes the lease under the own session.
func (m *machine) take(now time.Time, name string, d *duty) []operation {
	if !d.wanted || m.remaining(now) <= 0 {
		d.next = now
		return nil
	}
	if now.Before(m.takeAfter) {
		d.next = m.takeAfter
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
		d.fencing, d.held = uint64(r.version), lease.Session
		d.taking, d.unsettled = r.version, false
	}
}
