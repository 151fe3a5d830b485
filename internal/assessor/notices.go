package assessor

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// MaxPause bounds the time for which a target may ask to be left alone.
	MaxPause = 10 * time.Minute
	// departedTime is how long the incarnation of a target that said it leaves is remembered: over any time for which a list may
	// still name it, or name it again after the store was away.
	departedTime = 10 * time.Minute
	// maxDeparted bounds the incarnations that are remembered; the oldest are forgotten first.
	maxDeparted = 8192
	// freshNotice is how long it is news for other daemons that a target said it leaves.
	freshNotice = 5 * time.Second
)

// Departure is an incarnation of a target that said of itself that it leaves.
type Departure struct {
	Target      string
	Incarnation uint64
	// Since is when it first said so.
	Since time.Time
}

// departed remembers the targets that said that they leave, by name. It outlasts what is believed of a target, as a list may
// drop one that leaves and name it as live again.
type departed map[string]Departure

// add remembers a departure and makes room for it.
func (d departed) add(n Departure, now time.Time) {
	if len(d) >= maxDeparted {
		oldest := n
		for name, known := range d {
			if now.Sub(known.Since) > departedTime {
				delete(d, name)
			} else if known.Since.Before(oldest.Since) {
				oldest = known
			}
		}
		if len(d) >= maxDeparted {
			delete(d, oldest.Target)
		}
	}
	d[n.Target] = n
}

// of returns the departure of an incarnation of a target; one that started before another that leaves has ended.
func (d departed) of(t cataloger.Target) (Departure, bool) {
	n, ok := d[t.Name]
	return n, ok && n.Incarnation >= t.Incarnation
}

// Leave takes in that an incarnation of a target said at a time that it leaves: it gets no new work from then on, whatever is
// listed. It tells whether that is news.
func (a *Assessor) RecordDeparture(name string, incarnation uint64, since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.departed[name]; ok && known.Incarnation >= incarnation {
		return false
	}
	if b, ok := a.beliefs[name]; ok && b.target.Incarnation > incarnation {
		return false
	}
	a.departed.add(Departure{Target: name, Incarnation: incarnation, Since: since}, a.Now())
	if b, ok := a.beliefs[name]; ok {
		b.depart(since)
		a.services = nil
	}
	return true
}

// depart marks the target as leaving since a time, or since it was listed so.
func (b *belief) depart(since time.Time) {
	b.target = b.target.WithState(cataloger.StateLeaving)
	if b.leavingAt.IsZero() || since.Before(b.leavingAt) {
		b.leavingAt = since
	}
}

// Departures returns the targets of which it is news that they said they leave.
func (a *Assessor) Departures() []Departure {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var out []Departure
	for _, d := range a.departed {
		if now.Sub(d.Since) < freshNotice {
			out = append(out, d)
		}
	}
	return out
}

// Pause takes in that an incarnation of a target wants nothing more from this daemon for a time, MaxPause at the most. It keeps
// to that through whatever is listed meanwhile.
func (a *Assessor) RecordPause(name string, incarnation uint64, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok || b.target.Incarnation != incarnation || d <= 0 {
		return
	}
	if until := a.Now().Add(min(d, MaxPause)); until.After(b.pausedUntil) {
		b.pausedUntil = until
	}
}

// Back returns how long it takes until the first of the targets of a service that asked for a pause is back, where all targets
// that would take work did; 0 where some are there, or none will be.
func (a *Assessor) PauseRemaining(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var back time.Duration
	for _, b := range a.listed(service) {
		v := a.view(b, now)
		if !v.Usable() {
			continue
		}
		if v.Paused == 0 {
			return 0
		}
		if back == 0 || v.Paused < back {
			back = v.Paused
		}
	}
	return back
}
