package rationer

import (
	"sync"
	"time"
)

const (
	// slices divide the window; a slice is forgotten as a whole once it has left the window.
	slices = 20
	// margin is the part of the budget that is used: daemons count by clocks and fleets that differ a little.
	margin = 0.75
)

// Budget bounds the repeats in any window of time, over all daemons.
type Budget struct {
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Extra is how many more repeats the whole fleet may make in a window.
	Extra  float64
	Window time.Duration
	// Since is when this process started, where an earlier one of the daemon may have made repeats just before; zero where none did.
	ProcessStart time.Time
}

type slice struct {
	number   int64
	requests float64
	repeats  float64
}

// Rationer counts the requests and repeats for one service on one daemon; it is safe for concurrent use.
type Rationer struct {
	mu     sync.Mutex
	budget Budget
	// zero is the time at which slice 0 begins: times are measured from it, as the time of day may jump.
	zero time.Time
	ring [slices + 1]slice
}

// New returns a rationer without a past.
func New(b Budget) *Rationer { return &Rationer{budget: b} }

// Earn counts a request of a client.
func (r *Rationer) RecordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(now).requests++
}

// Spend counts a repeat and allows it, or returns false; daemons is the largest size of the fleet within the window, as those that
// were lost meanwhile may have used their parts. So may the earlier process of this one.
func (r *Rationer) AllowRetry(now time.Time, daemons int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.at(now)
	requests, repeats := 0.0, 0.0
	for _, s := range r.ring {
		if current.number-s.number <= slices {
			requests += s.requests
			repeats += s.repeats
		}
	}
	extra := r.budget.Extra / float64(max(daemons, 1)) * r.ownPart(now)
	if repeats+1 > margin*(r.budget.Ratio*requests+extra) {
		return false
	}
	current.repeats++
	return true
}

// ownPart returns the part of this daemon's extra repeats that an earlier process of it can't have used within the window.
func (r *Rationer) ownPart(now time.Time) float64 {
	if r.budget.ProcessStart.IsZero() {
		return 1
	}
	return min(max(now.Sub(r.budget.ProcessStart), 0).Seconds()/r.budget.Window.Seconds(), 1)
}

func (r *Rationer) at(now time.Time) *slice {
	if r.zero.IsZero() {
		r.zero = now
	}
	number := int64(max(now.Sub(r.zero), 0)) / max(int64(r.budget.Window)/slices, 1)
	s := &r.ring[number%int64(len(r.ring))]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}
