package auditor

import (
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// grace is how long a watch may take to bring a change.
	grace = 300 * time.Millisecond
	// maxSeen bounds the revisions that are kept.
	maxSeen = 4096
)

// Auditor compares the revisions that writes return with those that watches bring. The store counts every change in one
// number, so a revision between two writes that nobody saw is a change that was missed, or one of a kind that is not followed.
type Auditor struct {
	Clock timer.Clock
	// Missed is called where changes were missed.
	OnMissed func()

	mu sync.Mutex
	// accounted is the revision up to which all changes are known or were asked for.
	accounted storer.Point
	seen      map[storer.Point]bool
}

// New returns an auditor that has seen nothing.
func New(clock timer.Clock, missed func()) *Auditor {
	return &Auditor{Clock: clock, OnMissed: missed, seen: map[storer.Point]bool{}}
}

// See takes the revision of a change that a watch or a list brought.
func (a *Auditor) RecordChange(revision storer.Point) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.accounted && len(a.seen) < maxSeen {
		a.seen[revision] = true
	}
}

// Wrote takes the revision of a write of this daemon and checks soon whether all changes before it were seen.
func (a *Auditor) RecordWrite(revision storer.Point) {
	a.RecordChange(revision)
	a.Clock.AfterFunc(grace, func() {
		if a.check(revision) {
			a.OnMissed()
		}
	})
}

// check accounts for the changes up to a revision and tells whether some were missed.
func (a *Auditor) check(revision storer.Point) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.accounted {
		return false
	}
	first := a.accounted == 0
	known := storer.Point(0)
	for r := range a.seen {
		if r > a.accounted && r <= revision {
			known++
		}
		if r <= revision {
			delete(a.seen, r)
		}
	}
	missed := !first && known < revision-a.accounted
	a.accounted = revision
	return missed
}
