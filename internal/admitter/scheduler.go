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

// Settings govern the admission to one service.
type Settings struct {
	// Queue bounds the waiting requests of each workspace, TotalQueue those of all.
	Queue, TotalQueue int
	// Ageing is the wait that makes up for one priority.
	Ageing time.Duration
	// Reserve is the part of the concurrency limit that only workspaces behind their share may use.
	Reserve float64
	// Burst is how long a share that was not used stays available.
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
// It does no I/O, takes the time with each call and is not safe for concurrent use. After each call, Decided returns
// the tickets on which a call before had not decided.
type Scheduler struct {
	settings Settings
	limit    *breaker.Limit
	rand     *rand.Rand
	floor    floor

	flows map[cataloger.Workspace]*flow
	// active holds the flows with a request that may be granted, the one furthest behind first.
	active indexed[*flow]
	// backlog holds the flows with waiting requests, the one with the most cost for its weight first.
	backlog indexed[*flow]
	expiry  indexed[*Ticket]

	virtual float64
	// lagged is virtual time a while ago; lagNext will be next, noted is when it was taken.
	lagged, lagNext float64
	noted           time.Time

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
		active: indexed[*flow]{
			less:  func(a, b *flow) bool { return a.start < b.start },
			place: func(f *flow) *int { return &f.activePlace },
		},
		backlog: indexed[*flow]{
			less:  func(a, b *flow) bool { return a.queued/a.weight > b.queued/b.weight },
			place: func(f *flow) *int { return &f.backlogPlace },
		},
		expiry: indexed[*Ticket]{
			less:  func(a, b *Ticket) bool { return a.latest.Before(b.latest) },
			place: func(t *Ticket) *int { return &t.expiryPlace },
		},
	}
}

// Waiting returns how many requests wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// InProgress returns how many granted requests have not ended.
func (s *Scheduler) InProgress() int { return s.inProgress }

// Limit returns how many requests may be in progress.
func (s *Scheduler) Limit() int { return s.limit.Value() }

// Next returns when Advance is due, and zero where no request waits with a deadline.
func (s *Scheduler) Next() time.Time {
	if s.expiry.Len() == 0 {
		return time.Time{}
	}
	return s.expiry.top().latest
}

// Decided returns the tickets decided since the last call; the slice is valid until the next one.
func (s *Scheduler) Decided() []*Ticket {
	d := s.decided
	s.decided = s.decided[:0]
	return d
}

// Offer takes a request; the ticket is granted, waiting or refused.
func (s *Scheduler) Offer(now time.Time, r Request) *Ticket {
	s.Advance(now)
	s.followFloor(now)
	t := &Ticket{Request: r, cost: max(1, r.Cost), queuePlace: notInHeap, expiryPlace: notInHeap}
	f := s.flows[r.Workspace]
	if f == nil {
		return refused(t, refuser.New(refuser.UnknownWorkspace, "the service does not serve workspace %q", r.Workspace))
	}
	f.arrivals++
	t.flow = f
	t.rank = now.UnixNano() - int64(r.Priority)*int64(s.settings.Ageing)
	s.sequence++
	t.sequence = s.sequence
	if refusal := s.checkDeadline(now, t); refusal != nil {
		return refused(t, refusal)
	}
	if s.mayGrantAtOnce(f) {
		return s.offerAtOnce(now, t)
	}
	return s.offerQueued(now, t)
}

func refused(t *Ticket, r *refuser.Refusal) *Ticket {
	t.State = TicketRefused
	t.Refusal = r
	return t
}

// mayGrantAtOnce tells whether a slot is free that no waiting request may take.
func (s *Scheduler) mayGrantAtOnce(f *flow) bool {
	return f.queue.Len() == 0 && f.underConcurrency() && s.slotFor(f) && !s.pending()
}

// pending tells whether a waiting request may be granted; after each call there is none.
func (s *Scheduler) pending() bool {
	return s.active.Len() > 0 && s.slotFor(s.active.top())
}

func (s *Scheduler) offerAtOnce(now time.Time, t *Ticket) *Ticket {
	if wait, ok := t.flow.takeRate(now); !ok {
		t.starved = t.flow.starvedOfRate()
		return refused(t, s.rateRefusal(wait))
	}
	wasBusy := t.flow.busy()
	t.flow.start = s.nextStart(t.flow)
	s.grant(now, t)
	s.noteBusy(t.flow, wasBusy)
	return t
}

func (s *Scheduler) offerQueued(now time.Time, t *Ticket) *Ticket {
	f := t.flow
	if refusal := s.checkWait(now, t); refusal != nil {
		s.shed(now)
		return refused(t, refusal)
	}
	if refusal := s.checkQueue(t); refusal != nil {
		return refused(t, refusal)
	}
	if wait, ok := f.takeRate(now); !ok {
		t.starved = f.starvedOfRate()
		return refused(t, s.rateRefusal(wait))
	}
	t.starved = f.starvedOfConcurrency()
	s.makeRoom(t)
	s.enqueue(now, t)
	s.dispatch(now)
	s.forget(t)
	return t
}

// forget takes a ticket that its own Offer decided out of the list of later decisions.
func (s *Scheduler) forget(t *Ticket) {
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

// makeRoom refuses a waiting request where t would be one too many.
func (s *Scheduler) makeRoom(t *Ticket) {
	f := t.flow
	switch {
	case f.queue.Len() >= s.settings.Queue:
	case s.waiting >= s.settings.TotalQueue:
		f = s.backlog.top()
	default:
		return
	}
	s.refuse(f.worst(), s.fullRefusal(f))
}

// Finish takes the end of a granted request.
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
	late := !r.OK && t.cutAt(now)
	if r.OK || r.Overloaded || late {
		s.limit.Observe(now, elapsed, cost, s.inProgress, r.Overloaded || late)
	}
	if r.OK {
		s.throughput.finished(now, cost)
	}
	if r.OK || late {
		// Of a request that was cut at its deadline at least this much is known; without it only the fast ones would count.
		s.estimator.observe(now, t.uncorrected, elapsed)
	}
	s.end(now, t, cost)
}

// Return takes back a grant that was not used.
func (s *Scheduler) Return(now time.Time, t *Ticket) {
	if t.State != TicketGranted {
		return
	}
	t.State = TicketDone
	s.end(now, t, 0)
}

func (s *Scheduler) end(now time.Time, t *Ticket, cost float64) {
	f := t.flow
	s.inProgress--
	f.inProgress--
	s.correct(f, cost-t.cost)
	s.noteBusy(f, true)
	s.place(f)
	s.Advance(now)
}

// correct charges a flow what a request really cost.
func (s *Scheduler) correct(f *flow, more float64) {
	if more == 0 {
		return
	}
	f.finish += more / f.weight
	if f.queue.Len() > 0 {
		f.start += more / f.weight
	}
}

// Cancel takes out a waiting request whose caller gave up.
func (s *Scheduler) Cancel(now time.Time, t *Ticket) {
	if t.State == TicketWaiting {
		s.refuse(t, refuser.New(refuser.Canceled, "the caller gave up while waiting").WithFact(refuser.FactNotRun))
		s.forget(t)
	}
	s.Advance(now)
}

// Advance refuses the waiting requests that can no longer meet their deadlines, and grants what may run.
func (s *Scheduler) Advance(now time.Time) {
	for s.expiry.Len() > 0 && !s.expiry.top().latest.After(now) {
		t := s.expiry.top()
		s.shed(now)
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
		f.drainStart, f.drained = now, 0
	}
	f.queue.set(t)
	f.queued += t.cost
	s.waiting++
	if !t.latest.IsZero() {
		s.expiry.set(t)
	}
	s.noteBusy(f, wasBusy)
	s.place(f)
}

func (s *Scheduler) dequeue(t *Ticket) {
	f := t.flow
	wasBusy := f.busy()
	f.queue.remove(t)
	f.queued -= t.cost
	if f.queue.Len() == 0 {
		f.queued = 0
		f.drainRate = 0
	}
	s.waiting--
	s.expiry.remove(t)
	s.noteBusy(f, wasBusy)
	s.place(f)
}

func (s *Scheduler) refuse(t *Ticket, r *refuser.Refusal) {
	s.dequeue(t)
	refused(t, r)
	s.decided = append(s.decided, t)
}

// place puts a flow into the heaps that its state belongs in.
func (s *Scheduler) place(f *flow) {
	if f.queue.Len() == 0 {
		s.backlog.remove(f)
	} else {
		s.backlog.set(f)
	}
	if !f.eligible() {
		s.active.remove(f)
		return
	}
	if !s.active.contains(f) {
		// A flow gains no more credit while its own limit holds it back.
		f.start = max(f.start, s.lagged)
	}
	s.active.set(f)
}

func (s *Scheduler) noteBusy(f *flow, was bool) {
	switch is := f.busy(); {
	case is && !was:
		s.busyWeight += f.weight
	case was && !is:
		s.busyWeight -= f.weight
	}
	if s.inProgress == 0 && s.waiting == 0 {
		s.busyWeight = 0
	}
}

// slotFor tells whether f may take a slot: the last ones are kept for flows that are behind their share.
func (s *Scheduler) slotFor(f *flow) bool {
	limit := s.limit.Value()
	free := limit - s.inProgress
	if free <= 0 {
		return false
	}
	return float64(free) > s.settings.Reserve*float64(limit) || s.nextStart(f) < s.virtual
}

// nextStart is the virtual start of the next request of f. A flow that used less than its share of the last burst time
// starts as far behind as that, so that its bursts do not wait behind a flow that is always over its share.
func (s *Scheduler) nextStart(f *flow) float64 {
	if f.queue.Len() > 0 {
		return f.start
	}
	return max(s.lagged, f.finish)
}

// lag notes virtual time, so that lagged is what it was between one and two burst times ago.
func (s *Scheduler) lag(now time.Time) {
	if now.Sub(s.noted) < s.settings.Burst {
		return
	}
	if now.Sub(s.noted) < 2*s.settings.Burst {
		s.lagged = s.lagNext
	} else {
		s.lagged = s.virtual
	}
	s.lagNext = s.virtual
	s.noted = now
}

// dispatch grants what may run; where the flow furthest behind may not take a slot, no other may.
func (s *Scheduler) dispatch(now time.Time) {
	s.lag(now)
	for s.pending() {
		s.grantTop(now, s.active.top())
	}
}

func (s *Scheduler) grantTop(now time.Time, f *flow) {
	t := f.queue.top()
	if s.tooLate(now, t) {
		s.refuse(t, s.expiredRefusal(now, t))
		return
	}
	f.drain(now, t.cost)
	s.grant(now, t)
	s.dequeue(t)
	s.decided = append(s.decided, t)
}

// grant charges the flow and moves virtual time on.
func (s *Scheduler) grant(now time.Time, t *Ticket) {
	f := t.flow
	s.virtual = max(s.virtual, f.start)
	f.finish = f.start + t.cost/f.weight
	f.start = f.finish
	f.inProgress++
	s.inProgress++
	t.granted = now
	t.State = TicketGranted
}
