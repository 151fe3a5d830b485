package leaser

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// session is the daemon's own session.
type session struct {
	key     string
	open    bool
	busy    bool
	version storer.Point
	renewal uint64
	// sent holds the times at which renewals were sent that may have taken effect.
	sent map[uint64]time.Time
	// extended is when the newest renewal that took effect was sent.
	extended time.Time
	next     time.Time
	reread   bool
}

func (m *machine) tickSession(now time.Time) (operation, bool) {
	s := &m.session
	if s.busy || now.Before(s.next) {
		return operation{}, false
	}
	if !m.anyUsed() {
		// A session that no lease stands under is not renewed; others close it, and the next one has another key.
		if s.key != "" {
			m.lose()
		}
		return operation{}, false
	}
	if s.key == "" {
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

// anyUsed tells whether a lease is wanted, or may stand under the session.
func (m *machine) anyUsed() bool {
	for _, d := range m.duties {
		if d.wanted || d.mayHold || d.held != "" {
			return true
		}
	}
	return false
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
