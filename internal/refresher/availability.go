package refresher

import (
	"sync"
	"time"
)

const (
	// defaultGap is the longest gap that counts as no outage, where it is unknown how often objects are renewed.
	defaultGap = time.Second
	// lapseRenewals is how many renewals an outage takes at least in which an object lapses: its owner misses two of them.
	lapseRenewals = 1.9
	// defaultLapse is that time where it is unknown how often objects are renewed.
	defaultLapse = 2 * time.Second
)

// Availability tracks since when the store is known to have answered daemons without an outage in which objects lapse. It is safe for
// concurrent use.
type Availability struct {
	mu          sync.Mutex
	since, last time.Time
	// outageEnd is the end of the last outage in which objects may have lapsed.
	outageEnd time.Time
}

// Record records that the store answered a daemon at a time; MaxGap is the longest time without an answer that counts as no outage.
func (a *Availability) Record(at time.Time, b Bounds) {
	a.mu.Lock()
	defer a.mu.Unlock()
	gap := at.Sub(a.last)
	if gap <= 0 {
		return
	}
	if gap > b.MaxGap() {
		a.since = at
	}
	if !a.last.IsZero() && gap >= b.lapseTime() {
		a.outageEnd = at
	}
	a.last = at
}

// Last returns the time of the latest answer, or the zero time if none is known.
func (a *Availability) Last() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last
}

// Lasted reports whether the store was available from one time to another.
func (a *Availability) Lasted(from, to time.Time, b Bounds) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.since.After(from) && to.Sub(a.last) <= b.MaxGap()
}

// ReturnTime returns how long objects that lapsed in an outage may still reappear, if they do within window of its end. It is 0 if no
// outage of all daemons is known that took so long.
func (a *Availability) ReturnTime(now time.Time, window time.Duration, b Bounds) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.last.IsZero() && now.Sub(a.last) >= b.lapseTime() {
		return window
	}
	return max(a.outageEnd.Add(window).Sub(now), 0)
}

// lapseTime returns the least time of an outage in which an object lapses.
func (b Bounds) lapseTime() time.Duration {
	if b.Renewal > 0 {
		return time.Duration(lapseRenewals * float64(b.Renewal))
	}
	return defaultLapse
}

// MaxGap returns the longest time without an answer of the store in which no object lapses.
func (b Bounds) MaxGap() time.Duration {
	if b.Renewal > 0 {
		return time.Duration(renewals * float64(b.Renewal))
	}
	return defaultGap
}
