package auditor

import (
	"maps"
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
	// OnMissed is called when changes were missed, and OnComplete with the time of a write before which all changes were seen.
	OnMissed   func()
	OnComplete func(sent time.Time)

	mu sync.Mutex
	// checkedUpTo is the revision up to which all changes were seen or reported as missed.
	checkedUpTo storer.Point
	seen        map[storer.Point]bool
}

// New returns an auditor without recorded revisions that calls onMissed when changes were missed.
func New(clock timer.Clock, onMissed func()) *Auditor {
	return &Auditor{Clock: clock, OnMissed: onMissed, OnComplete: func(time.Time) {}, seen: map[storer.Point]bool{}}
}

// RecordChange records the revision of a change that a watch or a list delivered.
func (a *Auditor) RecordChange(revision storer.Point) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision > a.checkedUpTo && len(a.seen) < maxSeenRevisions {
		a.seen[revision] = true
	}
}

// RecordWrite records the revision of a write that this daemon sent at a time, and checks at once and after watchGrace whether all
// changes before it were seen.
func (a *Auditor) RecordWrite(revision storer.Point, sent time.Time) {
	a.RecordChange(revision)
	complete := a.isComplete(revision)
	if complete {
		a.OnComplete(sent)
	}
	a.Clock.AfterFunc(watchGrace, func() {
		completeNow := !complete && a.isComplete(revision)
		switch {
		case a.check(revision):
			a.OnMissed()
		case completeNow:
			a.OnComplete(sent)
		}
	})
}

// isComplete reports whether all changes up to a revision were seen, as far as that can be told from the writes before.
func (a *Auditor) isComplete(revision storer.Point) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.checkedUpTo == 0 || revision <= a.checkedUpTo {
		return false
	}
	return a.seenUpTo(revision) == revision-a.checkedUpTo
}

// seenUpTo returns how many changes that are not checked yet were seen up to a revision; the caller holds mu.
func (a *Auditor) seenUpTo(revision storer.Point) storer.Point {
	n := storer.Point(0)
	for r := range a.seen {
		if r > a.checkedUpTo && r <= revision {
			n++
		}
	}
	return n
}

// check marks the changes up to a revision as checked and reports whether some were missed.
func (a *Auditor) check(revision storer.Point) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if revision <= a.checkedUpTo {
		return false
	}
	missed := a.checkedUpTo != 0 && a.seenUpTo(revision) < revision-a.checkedUpTo
	maps.DeleteFunc(a.seen, func(r storer.Point, _ bool) bool { return r <= revision })
	a.checkedUpTo = revision
	return missed
}
