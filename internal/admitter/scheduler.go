package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	defaultQueue      = 256
	defaultTotalQueue = 8192
	defaultAgeing     = 2 * time.Second
	defaultReserve    = 0.02
	defaultBurst      = 2 * time.Second
)

// Settings configure the admission to one service.
type Settings struct {
	// Queue is the maximum number of waiting requests of each workspace, TotalQueue that of all workspaces.
	Queue, TotalQueue int
	// Ageing is the wait that compensates for one level of priority.
	Ageing time.Duration
	// Reserve is the fraction of the concurrency limit that only workspaces behind their share may use.
	Reserve float64
	// Burst is how long an unused share stays available.
	Burst time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Queue <= 0 {
		s.Queue = defaultQueue
	}
	if s.TotalQueue <= 0 {
		s.TotalQueue = max(defaultTotalQueue, s.Queue)
	}
	if s.Ageing <= 0 {
		s.Ageing = defaultAgeing
	}
	if s.Burst <= 0 {
		s.Burst = defaultBurst
	}
	if s.Reserve < 0 || s.Reserve >= 1 {
		s.Reserve = defaultReserve
	}
	return s
}

// Scheduler decides on the requests of one service at one entry, by start-time fair queueing over token cost.
//
// It does no I/O, receives the time with each call and is not safe for concurrent use. After each call, Decided returns
// the tickets that were waiting before and are decided now.
type Scheduler struct {
	settings Settings
	limit    *breaker.Limit
	rand     *rand.Rand
	floor    floor

	flows map[cataloger.Workspace]*flow
	// active holds the flows with a request that may be granted, the one with the lowest virtual start first.
	active indexedHeap[*flow]
	// backlog holds the flows with waiting requests, the one with the highest cost per weight first.
	backlog indexedHeap[*flow]
	expiry  indexedHeap[*Ticket]

	virtualTime float64
	// lagged is an earlier value of virtualTime, nextLagged the value that replaces it, and laggedAt when that was recorded.
	lagged, nextLagged float64
	laggedAt           time.Time

	waiting    int
	inProgress int
	busyWeight float64
	sequence   uint64
	estimator  estimator
	throughput throughput
	decided    []*Ticket
	usageAt    time.Time
}

// NewScheduler returns a scheduler without workspaces.
func NewScheduler(settings Settings, limit *breaker.Limit, random *rand.Rand) *Scheduler {
	return &Scheduler{
		settings: settings.withDefaults(),
		limit:    limit,
		rand:     random,
		flows:    map[cataloger.Workspace]*flow{},
		active: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.start < b.start },
			index: func(f *flow) *int { return &f.activeIndex },
		},
		backlog: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.queuedCost/a.weight > b.queuedCost/b.weight },
			index: func(f *flow) *int { return &f.backlogIndex },
		},
		expiry: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return a.latestGrant.Before(b.latestGrant) },
			index: func(t *Ticket) *int { return &t.expiryIndex },
		},
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.waiting }

// InProgress returns the number of granted requests that have not ended.
func (s *Scheduler) InProgress() int { return s.inProgress }

// Limit returns the maximum number of requests in progress.
func (s *Scheduler) Limit() int { return s.limit.Value() }

// Next returns when Advance is due, or the zero time if no request with a deadline waits.
func (s *Scheduler) Next() time.Time {
	if s.expiry.Len() == 0 {
		return time.Time{}
	}
	return s.expiry.top().latestGrant
}

// Decided returns the tickets decided since the last call; the slice is valid until the next one.
func (s *Scheduler) Decided() []*Ticket {
	d := s.decided
	s.decided = s.decided[:0]
	return d
}

// Offer submits a request and returns its ticket, which is granted, waiting or refused.
func (s *Scheduler) Offer(now time.Time, r Request) *Ticket {
	s.Advance(now)
	s.applyFloor(now)
	t := &Ticket{Request: r, cost: max(1, r.Cost), queueIndex: notInHeap, expiryIndex: notInHeap}
	f := s.flows[r.Workspace]
	if f == nil {
		return markRefused(t, refuser.New(refuser.UnknownWorkspace, "the service does not serve workspace %q", r.Workspace))
	}
	f.arrivals++
	t.flow = f
	t.rank = now.UnixNano() - int64(r.Priority)*int64(s.settings.Ageing)
	s.sequence++
	t.sequence = s.sequence
	if refusal := s.checkDeadline(now, t); refusal != nil {
		return markRefused(t, refusal)
	}
	if s.canGrantImmediately(f) {
		return s.offerImmediate(now, t)
	}
	return s.offerQueued(now, t)
}

func markRefused(t *Ticket, r *refuser.Refusal) *Ticket {
	t.State = TicketRefused
	t.Refusal = r
	return t
}

// canGrantImmediately reports whether a slot is free that no waiting request may take.
func (s *Scheduler) canGrantImmediately(f *flow) bool {
	return f.queue.Len() == 0 && f.underConcurrency() && s.hasSlotFor(f) && !s.canGrantWaiting()
}

// canGrantWaiting reports whether a waiting request may be granted; after each exported call there is none.
func (s *Scheduler) canGrantWaiting() bool {
	return s.active.Len() > 0 && s.hasSlotFor(s.active.top())
}

func (s *Scheduler) offerImmediate(now time.Time, t *Ticket) *Ticket {
	if wait, ok := t.flow.takeToken(now); !ok {
		t.limitedByShare = t.flow.limitedByRateShare()
		return markRefused(t, s.rateRefusal(wait))
	}
	wasBusy := t.flow.busy()
	t.flow.start = s.nextStart(t.flow)
	s.grant(now, t)
	s.updateBusyWeight(t.flow, wasBusy)
	return t
}

func (s *Scheduler) offerQueued(now time.Time, t *Ticket) *Ticket {
	f := t.flow
	if refusal := s.checkWait(now, t); refusal != nil {
		s.recordShed(now)
		return markRefused(t, refusal)
	}
	if refusal := s.checkQueue(t); refusal != nil {
		return markRefused(t, refusal)
	}
	if wait, ok := f.takeToken(now); !ok {
		t.limitedByShare = f.limitedByRateShare()
		return markRefused(t, s.rateRefusal(wait))
	}
	t.limitedByShare = f.limitedByConcurrencyShare()
	s.evictIfFull(t)
	s.enqueue(now, t)
	s.dispatch(now)
	s.removeDecided(t)
	return t
}

// removeDecided removes a ticket from the decided ones, as its own call already returns the decision.
func (s *Scheduler) removeDecided(t *Ticket) {
	if t.State == TicketWaiting {
		return
	}
	for i, d := range s.decided {
		if d == t {
			s.decided = append(s.decided[:i], s.decided[i+1:]...)
			return
		}
	}
}

// evictIfFull refuses a waiting request if the queue has no capacity for t.
func (s *Scheduler) evictIfFull(t *Ticket) {
	f := t.flow
	switch {
	case f.queue.Len() >= s.settings.Queue:
	case s.waiting >= s.settings.TotalQueue:
		f = s.backlog.top()
	default:
		return
	}
	s.refuse(f.lastQueued(), s.fullRefusal(f))
}

// Finish ends a granted request with its result.
func (s *Scheduler) Finish(now time.Time, t *Ticket, r Result) {
	if t.State != TicketGranted {
		return
	}
	t.State = TicketDone
	elapsed := now.Sub(t.granted)
	cost := t.cost
	if r.Tokens > 0 {
		cost = r.Tokens
	}
	late := !r.OK && t.endedAtDeadline(now)
	if r.OK || r.Overloaded || late {
		s.limit.Observe(now, elapsed, cost, s.inProgress, r.Overloaded || late)
	}
	if r.OK {
		s.throughput.recordFinished(now, cost)
	}
	if r.OK || late {
		// A request cut at its deadline took at least this long; without it only fast requests would count.
		s.estimator.observe(now, t.uncorrected, elapsed)
	}
	s.release(now, t, cost)
}

// Return ends a grant that was not used, without a charge.
func (s *Scheduler) Return(now time.Time, t *Ticket) {
	if t.State != TicketGranted {
		return
	}
	t.State = TicketDone
	s.release(now, t, 0)
}

func (s *Scheduler) release(now time.Time, t *Ticket, cost float64) {
	f := t.flow
	s.inProgress--
	f.inProgress--
	s.chargeDifference(f, cost-t.cost)
	s.updateBusyWeight(f, true)
	s.updateHeaps(f)
	s.Advance(now)
}

// chargeDifference charges a flow the difference between the actual and the estimated cost of a request.
func (s *Scheduler) chargeDifference(f *flow, extraCost float64) {
	if extraCost == 0 {
		return
	}
	f.finish += extraCost / f.weight
	if f.queue.Len() > 0 {
		f.start += extraCost / f.weight
	}
}

// Cancel removes a waiting request whose caller stopped waiting.
func (s *Scheduler) Cancel(now time.Time, t *Ticket) {
	if t.State == TicketWaiting {
		s.refuse(t, refuser.New(refuser.Canceled, "the caller gave up while waiting").WithFact(refuser.FactNotRun))
		s.removeDecided(t)
	}
	s.Advance(now)
}

// Advance refuses the waiting requests that can no longer meet their deadlines and grants those that may run.
func (s *Scheduler) Advance(now time.Time) {
	for s.expiry.Len() > 0 && !s.expiry.top().latestGrant.After(now) {
		t := s.expiry.top()
		s.recordShed(now)
		s.refuse(t, s.expiredRefusal(now, t))
	}
	s.dispatch(now)
}

// Close refuses every waiting request.
func (s *Scheduler) Close(r *refuser.Refusal) {
	for s.backlog.Len() > 0 {
		s.refuse(s.backlog.top().queue.top(), r)
	}
}

func (s *Scheduler) enqueue(now time.Time, t *Ticket) {
	f := t.flow
	wasBusy := f.busy()
	if f.queue.Len() == 0 {
		f.start = s.nextStart(f)
		f.drainStart, f.drainedCost = now, 0
	}
	f.queue.pushOrFix(t)
	f.queuedCost += t.cost
	s.waiting++
	if !t.latestGrant.IsZero() {
		s.expiry.pushOrFix(t)
	}
	s.updateBusyWeight(f, wasBusy)
	s.updateHeaps(f)
}

func (s *Scheduler) dequeue(t *Ticket) {
	f := t.flow
	wasBusy := f.busy()
	f.queue.remove(t)
	f.queuedCost -= t.cost
	if f.queue.Len() == 0 {
		f.queuedCost = 0
		f.drainRate = 0
	}
	s.waiting--
	s.expiry.remove(t)
	s.updateBusyWeight(f, wasBusy)
	s.updateHeaps(f)
}

func (s *Scheduler) refuse(t *Ticket, r *refuser.Refusal) {
	s.dequeue(t)
	markRefused(t, r)
	s.decided = append(s.decided, t)
}

// updateHeaps adds a flow to the heaps that match its state and removes it from the others.
func (s *Scheduler) updateHeaps(f *flow) {
	if f.queue.Len() == 0 {
		s.backlog.remove(f)
	} else {
		s.backlog.pushOrFix(f)
	}
	if !f.eligible() {
		s.active.remove(f)
		return
	}
	if !s.active.contains(f) {
		// A flow gains no more credit while its own limit holds it back.
		f.start = max(f.start, s.lagged)
	}
	s.active.pushOrFix(f)
}

func (s *Scheduler) updateBusyWeight(f *flow, wasBusy bool) {
	switch isBusy := f.busy(); {
	case isBusy && !wasBusy:
		s.busyWeight += f.weight
	case wasBusy && !isBusy:
		s.busyWeight -= f.weight
	}
	if s.inProgress == 0 && s.waiting == 0 {
		s.busyWeight = 0
	}
}

// hasSlotFor reports whether f may take a slot; the last slots are reserved for flows that are behind their share.
func (s *Scheduler) hasSlotFor(f *flow) bool {
	limit := s.limit.Value()
	free := limit - s.inProgress
	if free <= 0 {
		return false
	}
	return float64(free) > s.settings.Reserve*float64(limit) || s.nextStart(f) < s.virtualTime
}

// nextStart returns the virtual start time of the next request of f. A flow that used less than its share during the last
// burst time starts that much earlier, so that its bursts do not wait behind a flow that is always over its share.
func (s *Scheduler) nextStart(f *flow) float64 {
	if f.queue.Len() > 0 {
		return f.start
	}
	return max(s.lagged, f.finish)
}

// updateLagged records virtualTime, so that lagged is its value between one and two burst times ago.
func (s *Scheduler) updateLagged(now time.Time) {
	if now.Sub(s.laggedAt) < s.settings.Burst {
		return
	}
	if now.Sub(s.laggedAt) < 2*s.settings.Burst {
		s.lagged = s.nextLagged
	} else {
		s.lagged = s.virtualTime
	}
	s.nextLagged = s.virtualTime
	s.laggedAt = now
}

// dispatch grants the requests that may run. If the flow furthest behind may not take a slot, no other flow may.
func (s *Scheduler) dispatch(now time.Time) {
	s.updateLagged(now)
	for s.canGrantWaiting() {
		s.grantNext(now, s.active.top())
	}
}

func (s *Scheduler) grantNext(now time.Time, f *flow) {
	t := f.queue.top()
	if s.wouldMissDeadline(now, t) {
		s.refuse(t, s.expiredRefusal(now, t))
		return
	}
	f.recordDrained(now, t.cost)
	s.grant(now, t)
	s.dequeue(t)
	s.decided = append(s.decided, t)
}

// grant grants a ticket, charges its flow and advances virtualTime.
func (s *Scheduler) grant(now time.Time, t *Ticket) {
	f := t.flow
	s.virtualTime = max(s.virtualTime, f.start)
	f.finish = f.start + t.cost/f.weight
	f.start = f.finish
	f.inProgress++
	s.inProgress++
	t.granted = now
	t.State = TicketGranted
}
