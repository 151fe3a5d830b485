package assessor

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// MaxPause is the maximum duration of a pause that a target can ask for.
	MaxPause = 10 * time.Minute
	// departureRetention is how long the incarnation of a target that announced its departure is kept: longer than a list may still
	// name it, or name it again after a store outage.
	departureRetention = 10 * time.Minute
	// maxDepartures bounds the departures that are kept; the oldest are dropped first.
	maxDepartures = 8192
	// departureNewsTime is how long a departure is sent to other daemons.
	departureNewsTime = 5 * time.Second
)

// Departure is an incarnation of a target that announced that it leaves.
type Departure struct {
	Target      string
	Incarnation uint64
	// Since is when the target first announced it.
	Since time.Time
}

// departureLog holds the announced departures by the name of the target. It outlasts the record of a target, as a list may drop
// one that leaves and name it as live again.
type departureLog map[string]Departure

// add stores a departure and drops old ones if the log is full.
func (d departureLog) add(n Departure, now time.Time) {
	if len(d) >= maxDepartures {
		oldest := n
		for name, old := range d {
			if now.Sub(old.Since) > departureRetention {
				delete(d, name)
			} else if old.Since.Before(oldest.Since) {
				oldest = old
			}
		}
		if len(d) >= maxDepartures {
			delete(d, oldest.Target)
		}
	}
	d[n.Target] = n
}

// forTarget returns the departure of an incarnation of a target. An incarnation earlier than one that leaves has ended, so it counts
// as leaving too.
func (d departureLog) forTarget(t cataloger.Target) (Departure, bool) {
	n, ok := d[t.Name]
	return n, ok && n.Incarnation >= t.Incarnation
}

// RecordDeparture records that an incarnation of a target announced at a time that it leaves, and reports whether this is news. The
// incarnation gets no new work from then on, whatever the list says.
func (a *Assessor) RecordDeparture(name string, incarnation uint64, since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old, ok := a.departures[name]; ok && old.Incarnation >= incarnation {
		return false
	}
	if r, ok := a.records[name]; ok && r.target.Incarnation > incarnation {
		return false
	}
	a.departures.add(Departure{Target: name, Incarnation: incarnation, Since: since}, a.Now())
	if r, ok := a.records[name]; ok {
		r.markLeaving(since)
		a.services = nil
	}
	return true
}

// markLeaving marks the target as leaving since a time, or since it was listed as leaving if that was earlier.
func (r *targetRecord) markLeaving(since time.Time) {
	r.target = r.target.WithState(cataloger.StateLeaving)
	if r.leavingAt.IsZero() || since.Before(r.leavingAt) {
		r.leavingAt = since
	}
}

// Departures returns the recent departures, to be sent to other daemons.
func (a *Assessor) Departures() []Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var out []Departure
	for _, d := range a.departures {
		if now.Sub(d.Since) < departureNewsTime {
			out = append(out, d)
		}
	}
	return out
}

// RecordPause records that an incarnation of a target asked this daemon for a pause of d, which is cut to MaxPause. The pause holds
// whatever is listed in the meantime.
func (a *Assessor) RecordPause(name string, incarnation uint64, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok || r.target.Incarnation != incarnation || d <= 0 {
		return
	}
	if until := a.Now().Add(min(d, MaxPause)); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// PauseRemaining returns the time until the first pause ends if all usable targets of a service are paused. It returns 0 if some
// are not paused, or if none is usable.
func (a *Assessor) PauseRemaining(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var shortest time.Duration
	for _, r := range a.listed(service).all {
		v := a.view(r, now)
		if !v.Usable() {
			continue
		}
		if v.Paused == 0 {
			return 0
		}
		if shortest == 0 || v.Paused < shortest {
			shortest = v.Paused
		}
	}
	return shortest
}
