package auditor

import (
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// watchGrace is how long a watch may take to deliver a change.
	watchGrace = 300 * time.Millisecond
	// maxSeenRevisions bounds the number of recorded revisions.
	maxSeenRevisions = 4096
)

// Auditor compares the revisions that writes return with those that watches deliver. The store numbers all changes in one
// sequence, so an unseen revision between two writes is a missed change, or one of a kind that is not followed.
type Auditor struct {
	Clock timer.Clock
	// OnMissed is called when changes were missed.
	OnMissed func()

	mu sync.Mutex
	// checkedUpTo is the revision up to which all changes were seen or reported as missed.
	checkedUpTo storer.Point
	seen        map[storer.Point]bool
}

// New returns an auditor without recorded revisions that calls onMissed when changes were missed.
func New(clock timer.Clock, onMissed func()) *Auditor {
	return &Auditor{Clock: clock, OnMissed: onMissed, seen: map[storer.Point]bool{}}
}

// RecordChange records the revision of a change that a watch or a list delivered.
func (a *Auditor) RecordChange(revision storer.Point) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.checkedUpTo && len(a.seen) < maxSeenRevisions {
		a.seen[revision] = true
	}
}

// RecordWrite records the revision of a write of this daemon and checks after watchGrace whether all changes before it were
// seen.
func (a *Auditor) RecordWrite(revision storer.Point) {
	a.RecordChange(revision)
	a.Clock.AfterFunc(watchGrace, func() {
		if a.check(revision) {
			a.OnMissed()
		}
	})
}

// check marks the changes up to a revision as checked and reports whether some were missed.
func (a *Auditor) check(revision storer.Point) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.checkedUpTo {
		return false
	}
	first := a.checkedUpTo == 0
	seenCount := storer.Point(0)
	for r := range a.seen {
		if r > a.checkedUpTo && r <= revision {
			seenCount++
		}
		if r <= revision {
			delete(a.seen, r)
		}
	}
	missed := !first && seenCount < revision-a.checkedUpTo
	a.checkedUpTo = revision
	return missed
}
