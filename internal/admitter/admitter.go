package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const defaultInitialLimit = 64

// Admitter admits requests to the configured services; it is safe for concurrent use.
type Admitter struct {
	Clock timer.Clock
	// Rand draws the jitter of retry-after times; nil uses a random seed.
	Rand *rand.Rand
	// InitialLimit is the initial value of the adaptive concurrency limit of each service.
	InitialLimit int
	// Reserve is the fraction of the limit that only workspaces under their share may use.
	Reserve float64
	// InitialShare returns this entry's share of new limits; nil grants the full limits.
	InitialShare func(service string, w documenter.Workspace) limiter.Share
	// OnShareLimited is called when this entry's share of a larger limit refuses or delays a request; it must not block and may
	// be nil.
	OnShareLimited func()
	// Observe, if not nil, is called with each decision.
	Observe func(Decision)

	mu       sync.RWMutex
	services map[string]*service
	closed   bool
}

// Decision is the result of a call of Admit.
type Decision struct {
	Request Request
	// Wait is the time from the call to the decision.
	Wait time.Duration
	// Code is refuser.OK if the request was granted.
	Code refuser.Code
}

// Status is the concurrency limit and the load of one service at this entry.
type Status struct {
	Limit, InProgress, Waiting int
}

// service wraps the scheduler of one service with a lock and a timer for Scheduler.Next.
type service struct {
	mu        sync.Mutex
	scheduler *Scheduler
	clock     timer.Clock
	armedFor  time.Time
	stopTimer func() bool
}

// New returns an admitter without services.
func New(clock timer.Clock) *Admitter {
	return &Admitter{
		Clock:        clock,
		InitialLimit: defaultInitialLimit,
		Reserve:      defaultReserve,
		services:     map[string]*service{},
	}
}

// Configure applies the service documents in force; requests that wait for a removed service are refused.
func (a *Admitter) Configure(documents []*documenter.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[string]*service, len(documents))
	for _, d := range documents {
		s := a.services[d.Name]
		if s == nil {
			s = a.newService()
		}
		next[d.Name] = s
		a.configure(s, d)
	}
	for name, s := range a.services {
		if next[name] == nil {
			s.close(refuser.New(refuser.UnknownService, "service %q was deleted", name))
		}
	}
	a.services = next
}

func (a *Admitter) newService() *service {
	random := a.Rand
	if random == nil {
		random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	settings := Settings{Reserve: a.Reserve}
	return &service{
		scheduler: NewScheduler(settings, breaker.NewLimit(a.InitialLimit), rand.New(rand.NewPCG(random.Uint64(), 0))),
		clock:     a.Clock,
	}
}

func (a *Admitter) configure(s *service, d *documenter.Document) {
	settings := Settings{
		Queue:   d.Limits.Queue,
		Ageing:  time.Duration(d.Priorities.Ageing),
		Reserve: a.Reserve,
	}
	share := func(w documenter.Workspace) limiter.Share {
		if a.InitialShare == nil {
			return fullShare(w)
		}
		return a.InitialShare(d.Name, w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Configure(a.Clock.Now(), settings, d.Workspaces, share)
	s.deliverDecisions()
}

func (a *Admitter) service(name string) *service {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.services[name]
}

// Admit waits until the request may run, or returns a *refuser.Refusal with the fact not-run as soon as the request
// cannot run.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Grant, error) {
	started := a.Clock.Now()
	grant, refusal := a.admit(ctx, r)
	if a.Observe != nil {
		d := Decision{Request: r, Wait: a.Clock.Now().Sub(started)}
		if refusal != nil {
			d.Code = refusal.Code
		}
		a.Observe(d)
	}
	if refusal != nil {
		return nil, refusal
	}
	return grant, nil
}

func (a *Admitter) admit(ctx context.Context, r Request) (*Grant, *refuser.Refusal) {
	a.mu.RLock()
	s, closed := a.services[r.Service], a.closed
	a.mu.RUnlock()
	if closed {
		return nil, refuser.New(refuser.Draining, "the entry is shutting down")
	}
	if s == nil {
		return nil, refuser.New(refuser.UnknownService, "no service %q", r.Service)
	}
	t := s.offer(r)
	if t.limitedByShare && a.OnShareLimited != nil {
		a.OnShareLimited()
	}
	if t.ready != nil {
		select {
		case <-t.ready:
		case <-ctx.Done():
			return nil, s.abandon(ctx, t)
		}
	}
	if t.State == TicketRefused {
		return nil, t.Refusal
	}
	return &Grant{service: s, ticket: t}, nil
}

// SetShares sets this entry's shares of the limits of workspaces.
func (a *Admitter) SetShares(shares map[limiter.Key]limiter.Share) {
	for key, share := range shares {
		s := a.service(key.Service)
		if s == nil {
			continue
		}
		s.mu.Lock()
		s.scheduler.SetShare(a.Clock.Now(), key.Workspace, share)
		s.deliverDecisions()
		s.mu.Unlock()
	}
}

// Capacity is the capacity of the targets of a service.
type Capacity struct {
	// Requests is the maximum number of requests in progress at this entry; 0 leaves it unchanged.
	Requests int
	// CostRate is this entry's part of the cost per second that the targets can finish; 0 if unknown.
	CostRate float64
}

// SetCapacity sets the maximum of the adaptive limit of a service and the cost rate used to compute expected waits.
func (a *Admitter) SetCapacity(name string, c Capacity) {
	s := a.service(name)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Requests > 0 {
		s.scheduler.limit.Max = float64(c.Requests)
	}
	s.scheduler.throughput.estimated = c.CostRate
	s.scheduler.Advance(a.Clock.Now())
	s.deliverDecisions()
}

// SetFloor sets the minimum of the adaptive limit of a service, in requests: normal keeps its targets busy, and shedding,
// which is lower, applies while requests are refused for lack of time. Where targets share their rate among requests,
// durations grow long before anything queues.
func (a *Admitter) SetFloor(name string, normal, shedding int) {
	s := a.service(name)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.floor.normal = float64(max(1, normal))
	s.scheduler.floor.shedding = float64(max(1, min(normal, shedding)))
	s.scheduler.applyFloor(a.Clock.Now())
	s.scheduler.Advance(a.Clock.Now())
	s.deliverDecisions()
}

// Usage returns the demand of workspaces with limits since the last call.
func (a *Admitter) Usage() []limiter.Demand {
	a.mu.RLock()
	defer a.mu.RUnlock()
	var demands []limiter.Demand
	for name, s := range a.services {
		s.mu.Lock()
		s.scheduler.Usage(a.Clock.Now(), func(w cataloger.Workspace, rate, wanted float64) {
			key := limiter.Key{Service: name, Workspace: w}
			demands = append(demands, limiter.Demand{Key: key, Rate: rate, Wanted: wanted})
		})
		s.mu.Unlock()
	}
	return demands
}

// Status returns the status of a service and whether the service is configured.
func (a *Admitter) Status(name string) (Status, bool) {
	s := a.service(name)
	if s == nil {
		return Status{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Limit: s.scheduler.Limit(), InProgress: s.scheduler.InProgress(), Waiting: s.scheduler.Waiting()}, true
}

// Run waits until ctx is done, then refuses all waiting and later requests.
func (a *Admitter) Run(ctx context.Context) error {
	<-ctx.Done()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, s := range a.services {
		s.close(refuser.New(refuser.Draining, "the entry is shutting down"))
	}
	return nil
}

func (s *service) offer(r Request) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.scheduler.Offer(s.clock.Now(), r)
	if t.State == TicketWaiting {
		t.ready = make(chan struct{})
	}
	s.deliverDecisions()
	return t
}

// abandon ends a ticket whose caller stopped waiting; a grant made in the meantime is returned unused.
func (s *service) abandon(ctx context.Context, t *Ticket) *refuser.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	switch t.State {
	case TicketGranted:
		s.scheduler.Return(now, t)
	case TicketWaiting:
		s.scheduler.Cancel(now, t)
	case TicketRefused:
		return t.Refusal
	}
	s.deliverDecisions()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed while waiting")
	}
	return refuser.New(refuser.Canceled, "the caller gave up while waiting").WithFact(refuser.FactNotRun)
}

// deliverDecisions wakes the callers of decided tickets and arms the timer for the next ticket that expires.
func (s *service) deliverDecisions() {
	for _, t := range s.scheduler.Decided() {
		if t.ready != nil {
			close(t.ready)
		}
	}
	next := s.scheduler.Next()
	if next.Equal(s.armedFor) {
		return
	}
	s.disarm()
	if next.IsZero() {
		return
	}
	s.armedFor = next
	s.stopTimer = s.clock.AfterFunc(next.Sub(s.clock.Now()), s.advance)
}

func (s *service) disarm() {
	if s.stopTimer != nil {
		s.stopTimer()
	}
	s.stopTimer = nil
	s.armedFor = time.Time{}
}

func (s *service) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armedFor = time.Time{}
	s.scheduler.Advance(s.clock.Now())
	s.deliverDecisions()
}

func (s *service) close(r *refuser.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Close(r)
	s.deliverDecisions()
}

// Grant permits one request to run.
type Grant struct {
	service *service
	ticket  *Ticket
	once    sync.Once
}

// Done ends the grant with the result of the request; calls after the first have no effect.
func (g *Grant) Done(r Result) {
	g.once.Do(func() {
		g.service.mu.Lock()
		defer g.service.mu.Unlock()
		g.service.scheduler.Finish(g.service.clock.Now(), g.ticket, r)
		g.service.deliverDecisions()
	})
}
