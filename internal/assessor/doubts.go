package assessor

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Doubt is a target that a daemon believes lost.
type Suspicion struct {
	Target      string
	Incarnation uint64
	// Since is when the target was last believed lost.
	Since time.Time
}

// faultsNow returns the share of faults, which fades.
func (b *belief) faultsNow(now time.Time) float64 {
	if b.faults == 0 {
		return 0
	}
	return b.faults * math.Exp(-now.Sub(b.faultsAt).Seconds()/faultTime.Seconds())
}

// refuse passes the target over for a while.
func (b *belief) refuse(now time.Time) {
	if now.Before(b.refusedUntil) {
		// The answers of requests that were under way say nothing new.
		return
	}
	b.refusedUntil = now.Add(min(RefusalBackoff<<min(b.refusals, 10), maxRefusalTime))
	b.refusals++
}

// Answer takes in whether a target that received a request first answered it soundly and in time.
func (a *Assessor) RecordAnswer(name string, sound bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok {
		return
	}
	now := a.Now()
	b.faults = b.faultsNow(now)
	b.faultsAt = now
	if sound {
		b.faults -= b.faults * soundGain
	} else {
		b.faults += (1 - b.faults) * faultGain
	}
}

// Lose takes in that an incarnation of a target does not answer since a time; it tells whether that is news.
func (a *Assessor) Suspect(name string, incarnation uint64, since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok || b.target.Incarnation != incarnation || !since.After(b.lostAt) || !since.After(b.clearedAt) {
		return false
	}
	news := b.lostAt.IsZero() || a.Now().Sub(b.lostAt) >= SuspicionTime
	b.lostAt = since
	return news
}

// Misplace takes in that a target does not hold what is listed: it is passed over until it is listed anew, or for a while.
func (a *Assessor) RecordStaleListing(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b, ok := a.beliefs[name]; ok {
		b.refusedUntil = a.Now().Add(misplacedTime)
	}
}

// Doubt takes in that a target did not answer once; it tells whether that was the second time in a row.
func (a *Assessor) RecordUnanswered(name string, incarnation uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok || b.target.Incarnation != incarnation {
		return false
	}
	now := a.Now()
	again := !b.doubtedAt.IsZero() && now.Sub(b.doubtedAt) < doubtTime
	b.doubtedAt = now
	b.refuse(now)
	return again
}

// Trust takes in that the targets of a path took a request.
func (a *Assessor) RecordAccepted(path []cataloger.Stage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range path {
		if b, ok := a.beliefs[s.Target]; ok {
			b.doubtedAt, b.refusals = time.Time{}, 0
		}
	}
}

// Clear takes in that a target was proven to work at a time, and tells whether it was believed lost.
func (a *Assessor) ClearSuspicion(name string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.beliefs[name]
	if !ok || b.lostAt.IsZero() || !at.After(b.lostAt) {
		return false
	}
	b.lostAt, b.doubtedAt, b.clearedAt = time.Time{}, time.Time{}, at
	return true
}

// Refuse takes in that a target wants no more work for a moment.
func (a *Assessor) RecordRefusal(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b, ok := a.beliefs[name]; ok {
		b.refuse(a.Now())
	}
}

// SetPace takes in how slow a target said it was at a time; 1 is its usual pace. What it says counts for paceTime.
func (a *Assessor) SetPace(name string, pace float64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b, ok := a.beliefs[name]; ok && pace > 0 && at.After(b.pacedAt) {
		b.pace, b.pacedAt = pace, at
	}
}

// paceNow returns the pace as long as what the target said counts.
func (b *belief) paceNow(now time.Time) float64 {
	if b.pacedAt.IsZero() || now.Sub(b.pacedAt) > paceTime {
		return 1
	}
	return b.pace
}

// Pace is how slow a target said it was at a time; 1 is its usual pace.
type Pace struct {
	Target string
	Pace   float64
	At     time.Time
}

// Paces returns the targets that said lately that they are slow.
func (a *Assessor) Paces() []Pace {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var out []Pace
	for name, b := range a.beliefs {
		if now.Sub(b.pacedAt) < freshPace && b.paceNow(now) > 1 {
			out = append(out, Pace{Target: name, Pace: b.pace, At: b.pacedAt})
		}
	}
	return out
}

// Doubts returns the targets that are believed lost.
func (a *Assessor) Suspicions() []Suspicion {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	var out []Suspicion
	for name, b := range a.beliefs {
		if !b.lostAt.IsZero() && now.Sub(b.lostAt) < SuspicionTime {
			out = append(out, Suspicion{Target: name, Incarnation: b.target.Incarnation, Since: b.lostAt})
		}
	}
	return out
}
