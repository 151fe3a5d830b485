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

// expect returns the mean and the high time from grant to end; an idle service is not held to a correction from
// busier times.
func (s *Scheduler) expect(now time.Time, t *Ticket) (mean, high time.Duration) {
	t.uncorrected = t.Request.Expected
	if t.uncorrected <= 0 {
		t.uncorrected = s.fromRate(t.cost)
	}
	if t.uncorrected <= 0 {
		return 0, 0
	}
	mean, high = s.estimator.correct(now, t.uncorrected)
	if s.inProgress == 0 {
		mean = min(mean, t.uncorrected)
	}
	if s.calm() {
		unqueued := s.unqueued(t.cost)
		mean, high = min(mean, unqueued), min(high, unqueued)
	}
	return mean, high
}

// calmShare is the part of the floor up to which what is in progress makes no queue.
const calmShare = 0.5

// calm tells whether estimates from busier times are void: held to them, a service would refuse all that it gets and
// learn of its idle targets from one request at a time.
func (s *Scheduler) calm() bool {
	return s.limit.Baseline() > 0 && float64(s.inProgress) < calmShare*s.limit.Min
}

// unqueued is the time that a cost takes where nothing queues at the targets.
func (s *Scheduler) unqueued(cost float64) time.Duration {
	return time.Duration(cost * s.limit.Baseline() * float64(time.Second))
}

// fromRate returns the time that a cost takes at the rate of the last rounds; 0 where none is known.
func (s *Scheduler) fromRate(cost float64) time.Duration {
	rate := s.limit.CostRate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(cost / rate * float64(time.Second))
}

// checkDeadline refuses what could not meet its deadline if it ran at once.
func (s *Scheduler) checkDeadline(now time.Time, t *Ticket) *refuser.Refusal {
	deadline := t.Request.Deadline
	if deadline.IsZero() {
		return nil
	}
	if !now.Before(deadline) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed before admission")
	}
	mean, high := s.expect(now, t)
	if deadline.Add(-mean).Before(now) {
		return refuser.New(refuser.DeadlineTooShort, "%s are left and %s are expected", deadline.Sub(now), mean)
	}
	t.expected = high
	t.latest = deadline.Add(-high)
	return nil
}

// tooLate tells whether a request that waited would end after its deadline by what is known now; the estimates may have
// grown since it came.
func (s *Scheduler) tooLate(now time.Time, t *Ticket) bool {
	if t.latest.IsZero() {
		return false
	}
	_, t.expected = s.expect(now, t)
	return now.After(t.Request.Deadline.Add(-t.expected))
}

// checkWait refuses what the measured rate of the workspace cannot grant in time.
func (s *Scheduler) checkWait(now time.Time, t *Ticket) *refuser.Refusal {
	if t.latest.IsZero() {
		return nil
	}
	wait := s.wait(t.flow, t.flow.ahead(t.rank))
	over := now.Add(wait).Sub(t.latest)
	if over < 0 {
		return nil
	}
	return refuser.New(refuser.DeadlineTooShort, "the expected wait of %s leaves too little time", wait).
		WithRetryAfter(s.spread(over))
}

// wait is the expected time until the cost ahead in the queue of f has been granted.
func (s *Scheduler) wait(f *flow, ahead float64) time.Duration {
	perSlot := s.limit.CostRate()
	most := s.throughput.most()
	if perSlot <= 0 && most <= 0 {
		return 0
	}
	weights := s.busyWeight
	if !f.busy() {
		weights += f.weight
	}
	rate := s.rate(perSlot, most) * f.weight / weights
	rate = max(rate, f.drainRate)
	if perSlot > 0 {
		rate = min(rate, perSlot*max(1, f.share.Concurrency))
	}
	return time.Duration(min(ahead/rate, maxWait.Seconds()) * float64(time.Second))
}

// rate returns the cost a second of all flows: what the slots finish, and no more than the targets can.
func (s *Scheduler) rate(perSlot, most float64) float64 {
	slots := perSlot * float64(s.limit.Value())
	switch {
	case slots <= 0:
		return most
	case most <= 0:
		return slots
	}
	return min(slots, most)
}

// checkQueue refuses a request whose workspace has a full queue, unless a less urgent one gives way to it.
func (s *Scheduler) checkQueue(t *Ticket) *refuser.Refusal {
	f := t.flow
	if f.queue.Len() >= s.settings.Queue {
		worst := f.worst()
		if worst.Request.Priority >= t.Request.Priority || !ticketBefore(t, worst) {
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
	after := s.spread(s.wait(f, f.queued))
	if !f.underConcurrency() {
		return refuser.New(refuser.ConcurrencyLimited, "%d requests are in progress and %d wait", f.inProgress, f.queue.Len()).
			WithRetryAfter(after)
	}
	return refuser.New(refuser.QueueFull, "%d requests of the workspace wait", f.queue.Len()).WithRetryAfter(after)
}

func (s *Scheduler) rateRefusal(wait time.Duration) *refuser.Refusal {
	return refuser.New(refuser.RateLimited, "the workspace is over its rate").WithRetryAfter(s.spread(wait))
}

// spread adds up to half to a time for a retry, so that refused callers do not come back together.
func (s *Scheduler) spread(d time.Duration) time.Duration {
	d = max(minRetryAfter, min(d, maxRetryAfter))
	return d + time.Duration(s.rand.Float64()*0.5*float64(d))
}

func (s *Scheduler) expiredRefusal(now time.Time, t *Ticket) *refuser.Refusal {
	if !now.Before(t.Request.Deadline) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed while waiting")
	}
	return refuser.New(refuser.DeadlineTooShort, "%s are left after waiting and %s are expected",
		t.Request.Deadline.Sub(now), t.expected).WithRetryAfter(s.spread(s.wait(t.flow, t.flow.queued)))
}
