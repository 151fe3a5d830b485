package gateway

import (
	"sync"
	"time"
)

const (
	// departureSlack is how far apart two daemons may see the same departure: some heartbeats.
	departureSlack = 300 * time.Millisecond
	// restartTime is how long a process takes from its end to serving again.
	restartTime = 600 * time.Millisecond
)

// departure is when an instance of a daemon was first seen to leave.
type departure struct {
	epoch uint64
	at    time.Time
}

// departures are those of the daemons that have not come back since; the zero value is ready to use.
type departures struct {
	mu   sync.Mutex
	seen map[string]departure
}

// See takes in whether an instance of a daemon leaves.
func (d *departures) See(name string, epoch uint64, leaving bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.seen[name]
	switch {
	case !leaving && known.epoch < epoch:
		delete(d.seen, name)
	case leaving && (!ok || known.epoch < epoch):
		if d.seen == nil {
			d.seen = map[string]departure{}
		}
		d.seen[name] = departure{epoch: epoch, at: now}
	}
}

// Back returns when the first of the daemons that left is back, as each takes so long; those that should be back by now are
// not expected any more. It is now where none is expected.
func (d *departures) Back(now time.Time, takes time.Duration) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	back := now
	for _, known := range d.seen {
		if at := known.at.Add(takes); at.After(now) && (back.Equal(now) || at.Before(back)) {
			back = at
		}
	}
	return back
}

// Later tells whether the first of two daemons began to leave later than the second: of two that left together, the one with
// the greater name.
func (d *departures) Later(a, b string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	apart := d.seen[a].at.Sub(d.seen[b].at)
	if apart.Abs() <= departureSlack {
		return a > b
	}
	return apart > 0
}

// Last returns the daemon of some that began to leave last; empty where there is none.
func (d *departures) Last(names []string) string {
	last := ""
	for _, name := range names {
		if last == "" || d.Later(name, last) {
			last = name
		}
	}
	return last
}
