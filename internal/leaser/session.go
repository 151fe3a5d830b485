package leaser

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// session is this daemon's session: all its leases are held under it and renewed with it.
type session struct {
	key     string
	open    bool
	busy    bool
	version storer.Point
	renewal uint64
	// sent holds the send times of the renewals that may have taken effect.
	sent map[uint64]time.Time
	// extended is when the newest renewal that took effect was sent.
	extended time.Time
	next     time.Time
	mustRead bool
}

func (m *machine) tickSession(now time.Time) (operation, bool) {
	s := &m.session
	if s.busy || now.Before(s.next) {
		return operation{}, false
	}
	if !m.sessionNeeded() {
		// A session without leases is not renewed; others close it, and the next one has another key.
		if s.key != "" {
			m.endSession()
		}
		return operation{}, false
	}
	if s.key == "" {
		m.sessions++
		*s = session{key: fmt.Sprintf("%s.%d", m.id, m.sessions), sent: map[uint64]time.Time{}}
	}
	s.busy = true
	if s.mustRead {
		return m.issue(now, "", operation{kind: readSession, key: s.key}), true
	}
	s.renewal++
	s.sent[s.renewal] = now
	value := encode(&peerv1.LeaseSession{
		Holder:     m.holder,
		Renewal:    s.renewal,
		DurationMs: uint64(m.timing.Duration.Milliseconds()),
	})
	return m.issue(now, "", operation{kind: renewSession, key: s.key, value: value, expected: s.version, renewal: s.renewal}), true
}

// sessionNeeded reports whether a lease is wanted, or may be held under the session.
func (m *machine) sessionNeeded() bool {
	for _, d := range m.duties {
		if d.wanted || d.mayHold || d.heldSession != "" {
			return true
		}
	}
	return false
}

// handleSessionResult handles the result of renewing or reading this daemon's session.
func (m *machine) handleSessionResult(now time.Time, op operation, r result) {
	s := &m.session
	if op.key != s.key {
		return
	}
	s.busy = false
	s.next = now.Add(m.timing.RenewInterval / 10)
	if op.kind == renewSession {
		if r.err != nil {
			s.mustRead = true
			return
		}
		m.extend(op.renewal, r.version)
		s.next = op.sent.Add(m.timing.RenewInterval)
		m.expire(now)
		return
	}
	stored, err := decodeSession(r)
	switch {
	case errors.Is(err, storer.ErrNotFound) && s.version == 0:
		s.mustRead = false
	case err != nil:
	case stored.Closed:
		m.endSession()
	case r.object.Version >= s.version:
		s.mustRead = false
		m.extend(stored.Renewal, r.object.Version)
		s.next = now
		m.expire(now)
	}
}

// extend records that a renewal took effect; the session's time counts from when that renewal was sent.
func (m *machine) extend(renewal uint64, version storer.Point) {
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
