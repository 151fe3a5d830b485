package configurer

import (
	"time"
)

// bootState is what a starting daemon has learned so far.
type bootState struct {
	ready        bool
	listed       bool
	listedAt     time.Time
	listFailed   bool
	caughtUp     bool
	pendingPeers map[string]bool
	readyAnswers int
}

// checkBoot marks the daemon ready once it has the state of the store or, in an outage, the newest state of the
// peers that answer.
func (m *machine) checkBoot(now time.Time) []effect {
	b := &m.boot
	if b.ready || len(b.pendingPeers) > 0 {
		return nil
	}
	fromStore := b.listed && (b.caughtUp || now.Sub(b.listedAt) >= bookmarkTimeout)
	fromPeers := b.listFailed && b.readyAnswers > 0
	if !fromStore && !fromPeers {
		if !m.listing && !b.listed && !now.Before(m.listAt) {
			m.listing = true
			return []effect{effectList{}}
		}
		return nil
	}
	b.ready = true
	if m.watching && !m.isWatcher {
		m.watching = false
		return []effect{effectUnwatch{}}
	}
	return nil
}

// markComplete records that the set was complete as of t.
func (m *machine) markComplete(t time.Time) {
	if t.After(m.completeAt) {
		m.completeAt = t
	}
}
