package configurer

import (
	"time"
)

// bootState is what a starting daemon has learned so far.
type bootState struct {
	ready      bool
	listed     bool
	listedAt   time.Time
	listFailed bool
	caughtUp   bool
	asked      map[string]bool
	answered   int
}

// checkBoot becomes ready once the state is from the store or, in an outage, the newest that reachable peers have.
func (m *machine) checkBoot(now time.Time) []effect {
	b := &m.boot
	if b.ready || len(b.asked) > 0 {
		return nil
	}
	fromStore := b.listed && (b.caughtUp || now.Sub(b.listedAt) >= bootWait)
	fromPeers := b.listFailed && b.answered > 0
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

// complete notes that the set held everything as of t.
func (m *machine) complete(t time.Time) {
	if t.After(m.completeAt) {
		m.completeAt = t
	}
}
