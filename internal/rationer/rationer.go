package rationer

import (
	"sync"
	"time"
)

const (
	// windowSlices is the number of slices of the window; a slice is dropped once all of it has left the window.
	windowSlices = 20
	// usableShare is the share of the budget that is used, since daemons differ slightly in their clocks and in the size of the
	// fleet that they see.
	usableShare = 0.75
	// optionalShare is the share of the budget that is used for retries of requests that are still served where they are.
	optionalShare = 0.4
)

// Budget bounds the retries of all daemons together in any window of time.
type Budget struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// Extra is the number of further retries that the full fleet may make in a window.
	Extra  float64
	Window time.Duration
	// ProcessStart is when this process started, if an earlier process of the daemon may have made retries just before; else zero.
	ProcessStart time.Time
}

type slice struct {
	number   int64
	requests float64
	retries  float64
}

// Rationer counts the requests and retries for one service on one daemon; it is safe for concurrent use.
type Rationer struct {
	mu     sync.Mutex
	budget Budget
	// origin is the start of slice 0. Times are measured from it, as the time of day may jump.
	origin time.Time
	ring   [windowSlices + 1]slice
}

// New returns a rationer that has counted nothing yet.
func New(b Budget) *Rationer { return &Rationer{budget: b} }

// RecordRequest counts a request of a client.
func (r *Rationer) RecordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sliceAt(now).requests++
}

// AllowRetry reports whether the budget allows a retry, and counts it if so. The argument daemons is the largest size of the fleet
// within the window, as daemons that were lost since then may have used their shares.
func (r *Rationer) AllowRetry(now time.Time, daemons int) bool {
	return r.allow(now, daemons, usableShare)
}

// AllowOptionalRetry is like AllowRetry for a request that is still served where it is, and leaves a part of the budget to those that
// are not.
func (r *Rationer) AllowOptionalRetry(now time.Time, daemons int) bool {
	return r.allow(now, daemons, optionalShare)
}

func (r *Rationer) allow(now time.Time, daemons int, share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.sliceAt(now)
	requests, retries := 0.0, 0.0
	for _, s := range r.ring {
		if current.number-s.number <= windowSlices {
			requests += s.requests
			retries += s.retries
		}
	}
	extra := r.budget.Extra / float64(max(daemons, 1)) * r.extraShare(now)
	if retries+1 > share*(r.budget.Ratio*requests+extra) {
		return false
	}
	current.retries++
	return true
}

// extraShare returns the share of this daemon's extra retries that an earlier process of it can't have used within the window.
func (r *Rationer) extraShare(now time.Time) float64 {
	if r.budget.ProcessStart.IsZero() {
		return 1
	}
	return min(max(now.Sub(r.budget.ProcessStart), 0).Seconds()/r.budget.Window.Seconds(), 1)
}

func (r *Rationer) sliceAt(now time.Time) *slice {
	if r.origin.IsZero() {
		r.origin = now
	}
	number := int64(max(now.Sub(r.origin), 0)) / max(int64(r.budget.Window)/windowSlices, 1)
	s := &r.ring[number%int64(len(r.ring))]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}
