package admitter

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	maxWait       = time.Hour
)

// expectedDuration returns the mean and the high estimate of the time from grant to end. Corrections that stem from
// higher load are not applied to an idle service.
func (s *Scheduler) expectedDuration(now time.Time, t *Ticket) (mean, high time.Duration) {
	t.uncorrected = t.Request.Expected
	if t.uncorrected <= 0 {
		t.uncorrected = s.durationAtCostRate(t.cost)
	}
	if t.uncorrected <= 0 {
		return 0, 0
	}
	mean, high = s.estimator.correct(now, t.uncorrected)
	if s.inProgress == 0 {
		mean = min(mean, t.uncorrected)
	}
	if s.lightlyLoaded() {
		withoutQueue := s.durationWithoutQueue(t.cost)
		mean, high = min(mean, withoutQueue), min(high, withoutQueue)
	}
	return mean, high
}

// lightLoadShare is the fraction of the floor below which the requests in progress cause no queue.
const lightLoadShare = 0.5

// lightlyLoaded reports whether estimates from times of higher load do not apply. With them, a service would refuse all
// its requests and discover its idle targets only from one request at a time.
func (s *Scheduler) lightlyLoaded() bool {
	return s.limit.Baseline() > 0 && float64(s.inProgress) < lightLoadShare*s.limit.Min
}

// durationWithoutQueue returns the time that a cost takes if nothing queues at the targets.
func (s *Scheduler) durationWithoutQueue(cost float64) time.Duration {
	return time.Duration(cost * s.limit.Baseline() * float64(time.Second))
}

// durationAtCostRate returns the time that a cost takes at the rate of the last rounds, or 0 if there is none.
func (s *Scheduler) durationAtCostRate(cost float64) time.Duration {
	rate := s.limit.CostRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(cost / rate * float64(time.Second))
}

// checkDeadline refuses a request that could not meet its deadline even if it ran immediately.
func (s *Scheduler) checkDeadline(now time.Time, t *Ticket) *refuser.Refusal {
	deadline := t.Request.Deadline
	if deadline.IsZero() {
		return nil
	}
	if !now.Before(deadline) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed before admission")
	}
	mean, high := s.expectedDuration(now, t)
	if deadline.Add(-mean).Before(now) {
		return refuser.New(refuser.DeadlineTooShort, "%s are left and %s are expected", deadline.Sub(now), mean)
	}
	t.expected = high
	t.latestGrant = deadline.Add(-high)
	return nil
}

// wouldMissDeadline reports whether a request that waited would end after its deadline by the current estimates, which may
// have grown since it arrived.
func (s *Scheduler) wouldMissDeadline(now time.Time, t *Ticket) bool {
	if t.latestGrant.IsZero() {
		return false
	}
	_, t.expected = s.expectedDuration(now, t)
	return now.After(t.Request.Deadline.Add(-t.expected))
}

// checkWait refuses a request that the measured rate of the workspace cannot grant in time.
func (s *Scheduler) checkWait(now time.Time, t *Ticket) *refuser.Refusal {
	if t.latestGrant.IsZero() {
		return nil
	}
	wait := s.expectedWait(t.flow, t.flow.costAhead(t.rank))
	excess := now.Add(wait).Sub(t.latestGrant)
	if excess < 0 {
		return nil
	}
	return refuser.New(refuser.DeadlineTooShort, "the expected wait of %s leaves too little time", wait).
		WithRetryAfter(s.addJitter(excess))
}

// expectedWait returns the expected time until the cost ahead in the queue of f has been granted.
func (s *Scheduler) expectedWait(f *flow, ahead float64) time.Duration {
	perSlot := s.limit.CostRate()
	targetRate := s.throughput.costRate()
	if perSlot <= 0 && targetRate <= 0 {
		return 0
	}
	weights := s.busyWeight
	if !f.busy() {
		weights += f.weight
	}
	rate := s.totalCostRate(perSlot, targetRate) * f.weight / weights
	rate = max(rate, f.drainRate)
	if perSlot > 0 {
		rate = min(rate, perSlot*max(1, f.share.Concurrency))
	}
	return time.Duration(min(ahead/rate, maxWait.Seconds()) * float64(time.Second))
}

// totalCostRate returns the cost per second of all flows: the rate of the slots, limited to that of the targets.
func (s *Scheduler) totalCostRate(perSlot, targetRate float64) float64 {
	slotRate := perSlot * float64(s.limit.Value())
	switch {
	case slotRate <= 0:
		return targetRate
	case targetRate <= 0:
		return slotRate
	}
	return min(slotRate, targetRate)
}

// checkQueue refuses a request whose workspace has a full queue, unless it can displace a less urgent one.
func (s *Scheduler) checkQueue(t *Ticket) *refuser.Refusal {
	f := t.flow
	if f.queue.Len() >= s.settings.Queue {
		last := f.lastQueued()
		if last.Request.Priority >= t.Request.Priority || !ticketBefore(t, last) {
			return s.fullRefusal(f)
		}
		return nil
	}
	if s.waiting < s.settings.TotalQueue {
		return nil
	}
	if f.queue.Len() > 0 && s.backlog.top() == f {
		return s.fullRefusal(f)
	}
	return nil
}

func (s *Scheduler) fullRefusal(f *flow) *refuser.Refusal {
	after := s.addJitter(s.expectedWait(f, f.queuedCost))
	if !f.underConcurrency() {
		return refuser.New(refuser.ConcurrencyLimited, "%d requests are in progress and %d wait", f.inProgress, f.queue.Len()).
			WithRetryAfter(after)
	}
	return refuser.New(refuser.QueueFull, "%d requests of the workspace wait", f.queue.Len()).WithRetryAfter(after)
}

func (s *Scheduler) rateRefusal(wait time.Duration) *refuser.Refusal {
	return refuser.New(refuser.RateLimited, "the workspace is over its rate").WithRetryAfter(s.addJitter(wait))
}

// addJitter adds up to half to a retry-after time, so that refused callers do not retry simultaneously.
func (s *Scheduler) addJitter(d time.Duration) time.Duration {
	d = max(minRetryAfter, min(d, maxRetryAfter))
	return d + time.Duration(s.rand.Float64()*0.5*float64(d))
}

func (s *Scheduler) expiredRefusal(now time.Time, t *Ticket) *refuser.Refusal {
	if !now.Before(t.Request.Deadline) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed while waiting")
	}
	return refuser.New(refuser.DeadlineTooShort, "%s are left after waiting and %s are expected",
		t.Request.Deadline.Sub(now), t.expected).WithRetryAfter(s.addJitter(s.expectedWait(t.flow, t.flow.queuedCost)))
}
