package gateway

import (
	"sync"
	"time"
)

const (
	// departureSlack is how far apart two daemons may notice the same departure: a few heartbeats.
	departureSlack = 300 * time.Millisecond
	// restartTime is how long a process takes from its end until it serves again.
	restartTime = 600 * time.Millisecond
)

// departure records when an instance of a daemon was first seen leaving.
type departure struct {
	epoch uint64
	at    time.Time
}

// departures holds the departures of daemons that have not returned since; the zero value is ready to use.
type departures struct {
	mu   sync.Mutex
	seen map[string]departure
}

// Record records whether an instance of a daemon is leaving.
func (d *departures) Record(name string, epoch uint64, leaving bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recorded, ok := d.seen[name]
	switch {
	case !leaving && recorded.epoch < epoch:
		delete(d.seen, name)
	case leaving && (!ok || recorded.epoch < epoch):
		if d.seen == nil {
			d.seen = map[string]departure{}
		}
		d.seen[name] = departure{epoch: epoch, at: now}
	}
}

// NextReturn returns when the first of the departed daemons is expected back, each returnTime after it left. Overdue
// daemons are ignored; if none is expected, it returns now.
func (d *departures) NextReturn(now time.Time, returnTime time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	back := now
	for _, recorded := range d.seen {
		if at := recorded.at.Add(returnTime); at.After(now) && (back.Equal(now) || at.Before(back)) {
			back = at
		}
	}
	return back
}

// LeftLater reports whether daemon a began to leave later than daemon b. Of two that left within departureSlack, the one
// with the greater name counts as later.
func (d *departures) LeftLater(a, b string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	difference := d.seen[a].at.Sub(d.seen[b].at)
	if difference.Abs() <= departureSlack {
		return a > b
	}
	return difference > 0
}

// LastToLeave returns the one of the named daemons that began to leave last, or "" if names is empty.
func (d *departures) LastToLeave(names []string) string {
	last := ""
	for _, name := range names {
		if last == "" || d.LeftLater(name, last) {
			last = name
		}
	}
	return last
}
