package assessor

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Suspicion is an incarnation of a target that a daemon suspects to be lost.
type Suspicion struct {
	Target      string
	Incarnation uint64
	// Since is when the target was last suspected.
	Since time.Time
}

// currentFaults returns the share of faults, which decays with time.
func (r *targetRecord) currentFaults(now time.Time) float64 {
	if r.faults == 0 {
		return 0
	}
	return r.faults * math.Exp(-now.Sub(r.faultsAt).Seconds()/faultDecayTime.Seconds())
}

// backOff skips the target for a while.
func (r *targetRecord) backOff(now time.Time) {
	if now.Before(r.refusedUntil) {
		// Refusals of requests that were already in progress do not extend the backoff.
		return
	}
	r.refusedUntil = now.Add(min(RefusalBackoff<<min(r.refusals, 10), maxRefusalBackoff))
	r.refusals++
}

// RecordAnswer records whether a target answered a request, sent to it as the first stage, validly and in time.
func (a *Assessor) RecordAnswer(name string, healthy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok {
		return
	}
	now := a.Now()
	r.faults = r.currentFaults(now)
	r.faultsAt = now
	if healthy {
		r.answeredAt = now
		r.faults -= r.faults * successGain
	} else {
		r.faults += (1 - r.faults) * faultGain
	}
}

// Suspect records that an incarnation of a target has not answered since a time, and reports whether this is news. A time that is
// later than the known one by up to suspicionTolerance is that of the same suspicion, on its way between daemons.
func (a *Assessor) Suspect(name string, incarnation uint64, since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok || r.target.Incarnation != incarnation || !since.After(r.clearedAt) {
		return false
	}
	now := a.Now()
	if now.Sub(since) >= SuspicionTime || !r.suspectedAt.IsZero() && since.Sub(r.suspectedAt) <= suspicionTolerance {
		return false
	}
	isNew := r.suspectedAt.IsZero() || now.Sub(r.suspectedAt) >= SuspicionTime
	r.suspectedAt = since
	a.lastSuspicion = latest(a.lastSuspicion, since)
	return isNew
}

// RecordStaleListing records that a target does not hold the listed layers: it is skipped for a while, or until it is listed again.
func (a *Assessor) RecordStaleListing(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.records[name]; ok {
		r.refusedUntil = a.Now().Add(staleListingBackoff)
	}
}

// RecordUnanswered records that a target left a request unanswered, and reports whether it is the second one in a row within a short
// time.
func (a *Assessor) RecordUnanswered(name string, incarnation uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok || r.target.Incarnation != incarnation {
		return false
	}
	now := a.Now()
	repeated := !r.unansweredAt.IsZero() && now.Sub(r.unansweredAt) < unansweredWindow
	r.unansweredAt = now
	r.backOff(now)
	return repeated
}

// RecordAccepted records that the targets of a path accepted a request, which resets their series of refusals and unanswered
// requests.
func (a *Assessor) RecordAccepted(path []cataloger.Stage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range path {
		if r, ok := a.records[s.Target]; ok {
			r.unansweredAt, r.refusals = time.Time{}, 0
		}
	}
}

// ClearSuspicion records proof that a target worked at a time, and reports whether this ended a suspicion.
func (a *Assessor) ClearSuspicion(name string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[name]
	if !ok || r.suspectedAt.IsZero() || !at.After(r.suspectedAt) {
		return false
	}
	r.suspectedAt, r.unansweredAt, r.clearedAt = time.Time{}, time.Time{}, at
	return true
}

// RecordRefusal records that a target refused a request, so that it is skipped for a while.
func (a *Assessor) RecordRefusal(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.records[name]; ok {
		r.backOff(a.Now())
	}
}

// SetPace records the pace that a target reported at a time; 1 is its usual pace and a larger value is slower. It counts for
// paceRetention.
func (a *Assessor) SetPace(name string, pace float64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.records[name]; ok && pace > 0 && at.After(r.pacedAt) {
		r.pace, r.pacedAt = pace, at
		if pace > 1 {
			a.lastPace = latest(a.lastPace, at)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// currentPace returns the reported pace, or 1 once it has expired.
func (r *targetRecord) currentPace(now time.Time) float64 {
	if r.pacedAt.IsZero() || now.Sub(r.pacedAt) > paceRetention {
		return 1
	}
	return r.pace
}

// Pace is the pace that a target reported at a time; 1 is its usual pace and a larger value is slower.
type Pace struct {
	Target string
	Pace   float64
	At     time.Time
}

// Paces returns the recent reports of targets that are slower than usual.
func (a *Assessor) Paces() []Pace {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	if now.Sub(a.lastPace) >= paceNewsTime {
		return nil
	}
	var out []Pace
	for name, r := range a.records {
		if now.Sub(r.pacedAt) < paceNewsTime && r.currentPace(now) > 1 {
			out = append(out, Pace{Target: name, Pace: r.pace, At: r.pacedAt})
		}
	}
	return out
}

// Suspicions returns the targets that are suspected.
func (a *Assessor) Suspicions() []Suspicion {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	if now.Sub(a.lastSuspicion) >= SuspicionTime {
		return nil
	}
	var out []Suspicion
	for name, r := range a.records {
		if !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) < SuspicionTime {
			out = append(out, Suspicion{Target: name, Incarnation: r.target.Incarnation, Since: r.suspectedAt})
		}
	}
	return out
}
