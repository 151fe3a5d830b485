package admitter

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/limiter"
)

const (
	minBurst      = 1.0
	burstTime     = time.Second
	drainWindow   = time.Second
	defaultWeight = 1.0
)

// flow is the queue of one workspace.
type flow struct {
	workspace cataloger.Workspace
	weight    float64
	share     limiter.Share

	// tokens is the balance of the token bucket of requests.
	tokens   float64
	refilled time.Time

	queue      indexed[*Ticket]
	queued     float64 // cost waiting
	inProgress int

	// start is the virtual start of the next request, finish the virtual end of the last one granted.
	start, finish float64

	activePlace, backlogPlace int

	drainStart time.Time
	drained    float64
	drainRate  float64

	limits   limits
	arrivals int
}

func newFlow(workspace cataloger.Workspace) *flow {
	f := &flow{workspace: workspace, weight: defaultWeight, activePlace: notInHeap, backlogPlace: notInHeap}
	f.share = limiter.Share{Rate: limiter.Unlimited, Concurrency: limiter.Unlimited}
	f.queue = indexed[*Ticket]{less: ticketBefore, place: ticketQueuePlace}
	return f
}

func ticketBefore(a, b *Ticket) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

func ticketQueuePlace(t *Ticket) *int { return &t.queuePlace }

func (f *flow) busy() bool { return f.inProgress > 0 || f.queue.Len() > 0 }

func (f *flow) underConcurrency() bool { return float64(f.inProgress) < f.share.Concurrency }

func (f *flow) eligible() bool { return f.queue.Len() > 0 && f.underConcurrency() }

// starvedOfRate tells whether the whole rate is larger than the entry's share.
func (f *flow) starvedOfRate() bool { return f.share.Rate < f.limits.rate }

// starvedOfConcurrency tells whether the share is used up and the whole limit is larger.
func (f *flow) starvedOfConcurrency() bool {
	return !f.underConcurrency() && f.share.Concurrency < float64(f.limits.concurrency)
}

func (f *flow) setShare(now time.Time, s limiter.Share) {
	f.refill(now)
	f.share = s
	f.tokens = min(f.tokens, f.burst())
}

// burst is at least one request, so that a small rate still lets single requests through.
func (f *flow) burst() float64 {
	if f.share.Rate <= 0 {
		return 0
	}
	return max(minBurst, f.share.Rate*burstTime.Seconds())
}

func (f *flow) refill(now time.Time) {
	if f.refilled.IsZero() {
		f.refilled = now
		f.tokens = min(f.burst(), math.MaxFloat32)
		return
	}
	elapsed := now.Sub(f.refilled).Seconds()
	if elapsed <= 0 || math.IsInf(f.share.Rate, 1) {
		f.refilled = now
		return
	}
	f.refilled = now
	f.tokens = min(f.burst(), f.tokens+f.share.Rate*elapsed)
}

// takeRate takes one request from the token bucket, or returns the time until there is one.
func (f *flow) takeRate(now time.Time) (time.Duration, bool) {
	if math.IsInf(f.share.Rate, 1) {
		return 0, true
	}
	f.refill(now)
	if f.tokens >= 1 {
		f.tokens--
		return 0, true
	}
	if f.share.Rate <= 0 {
		return maxRetryAfter, false
	}
	wait := (1 - f.tokens) / f.share.Rate
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second)), false
}

// ahead is the cost of the waiting requests that come before rank.
func (f *flow) ahead(rank int64) float64 {
	sum := 0.0
	for _, t := range f.queue.items {
		if t.rank <= rank {
			sum += t.cost
		}
	}
	return sum
}

// worst is the waiting request that comes last.
func (f *flow) worst() *Ticket {
	var w *Ticket
	for _, t := range f.queue.items {
		if w == nil || ticketBefore(w, t) {
			w = t
		}
	}
	return w
}

// drain counts a request that left the queue, to measure how fast a backlog goes.
func (f *flow) drain(now time.Time, cost float64) {
	f.drained += cost
	elapsed := now.Sub(f.drainStart)
	if elapsed < drainWindow {
		return
	}
	f.drainRate = f.drained / elapsed.Seconds()
	f.drainStart = now
	f.drained = 0
}
