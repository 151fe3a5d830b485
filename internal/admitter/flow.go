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

	// tokens is the balance of the token bucket, in requests.
	tokens     float64
	refilledAt time.Time

	queue      indexedHeap[*Ticket]
	queuedCost float64 // cost of the waiting requests
	inProgress int

	// start is the virtual start time of the next request, finish the virtual end time of the last granted one.
	start, finish float64

	activeIndex, backlogIndex int

	drainStart  time.Time
	drainedCost float64
	drainRate   float64

	limits   limits
	arrivals int
}

func newFlow(workspace cataloger.Workspace) *flow {
	f := &flow{workspace: workspace, weight: defaultWeight, activeIndex: notInHeap, backlogIndex: notInHeap}
	f.share = limiter.Share{Rate: limiter.Unlimited, Concurrency: limiter.Unlimited}
	f.queue = indexedHeap[*Ticket]{less: ticketBefore, index: ticketQueueIndex}
	return f
}

func ticketBefore(a, b *Ticket) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

func ticketQueueIndex(t *Ticket) *int { return &t.queueIndex }

func (f *flow) busy() bool { return f.inProgress > 0 || f.queue.Len() > 0 }

func (f *flow) underConcurrency() bool { return float64(f.inProgress) < f.share.Concurrency }

func (f *flow) eligible() bool { return f.queue.Len() > 0 && f.underConcurrency() }

// limitedByRateShare reports whether the rate limit is larger than the entry's share of it.
func (f *flow) limitedByRateShare() bool { return f.share.Rate < f.limits.rate }

// limitedByConcurrencyShare reports whether the concurrency share is used up although the limit is larger.
func (f *flow) limitedByConcurrencyShare() bool {
	return !f.underConcurrency() && f.share.Concurrency < float64(f.limits.concurrency)
}

func (f *flow) setShare(now time.Time, s limiter.Share) {
	f.refill(now)
	f.share = s
	f.tokens = min(f.tokens, f.burst())
}

// burst returns the size of the token bucket, at least one request so that a small rate still admits single requests.
func (f *flow) burst() float64 {
	if f.share.Rate <= 0 {
		return 0
	}
	return max(minBurst, f.share.Rate*burstTime.Seconds())
}

func (f *flow) refill(now time.Time) {
	if f.refilledAt.IsZero() {
		f.refilledAt = now
		f.tokens = min(f.burst(), math.MaxFloat32)
		return
	}
	elapsed := now.Sub(f.refilledAt).Seconds()
	if elapsed <= 0 || math.IsInf(f.share.Rate, 1) {
		f.refilledAt = now
		return
	}
	f.refilledAt = now
	f.tokens = min(f.burst(), f.tokens+f.share.Rate*elapsed)
}

// takeToken takes one request from the token bucket, or returns the time until one is available.
func (f *flow) takeToken(now time.Time) (time.Duration, bool) {
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

// costAhead returns the cost of the waiting requests up to and including rank.
func (f *flow) costAhead(rank int64) float64 {
	sum := 0.0
	for _, t := range f.queue.items {
		if t.rank <= rank {
			sum += t.cost
		}
	}
	return sum
}

// lastQueued returns the waiting request that would be granted last.
func (f *flow) lastQueued() *Ticket {
	var last *Ticket
	for _, t := range f.queue.items {
		if last == nil || ticketBefore(last, t) {
			last = t
		}
	}
	return last
}

// recordDrained records the cost of a request granted from the queue, to measure the rate at which the backlog drains.
func (f *flow) recordDrained(now time.Time, cost float64) {
	f.drainedCost += cost
	elapsed := now.Sub(f.drainStart)
	if elapsed < drainWindow {
		return
	}
	f.drainRate = f.drainedCost / elapsed.Seconds()
	f.drainStart = now
	f.drainedCost = 0
}
