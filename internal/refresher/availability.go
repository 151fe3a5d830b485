package refresher

import (
	"sync"
	"time"
)

// defaultGap is the longest gap in which no object lapses, where it is unknown how often objects are renewed.
const defaultGap = time.Second

// Availability tracks since when the store is known to have answered daemons without an outage in which objects lapse. It is safe for
// concurrent use.
type Availability struct {
	mu          sync.Mutex
	since, last time.Time
}

// Record records that the store answered a daemon at a time; MaxGap is the longest time without an answer that counts as no outage.
func (a *Availability) Record(at time.Time, b Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.Sub(a.last) > b.MaxGap() {
		a.since = at
	}
	if at.After(a.last) {
		a.last = at
	}
}

// Lasted reports whether the store was available from one time to another.
func (a *Availability) Lasted(from, to time.Time, b Bounds) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since.Sub(from) <= b.MaxGap() && to.Sub(a.last) <= b.MaxGap()
}

// MaxGap returns the longest time without an answer of the store in which no object lapses.
func (b Bounds) MaxGap() time.Duration {
	if b.Renewal > 0 {
		return time.Duration(renewals * float64(b.Renewal))
	}
	return defaultGap
}
