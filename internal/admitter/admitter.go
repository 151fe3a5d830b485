package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	defaultConcurrency = 256
	retryAfter         = time.Second
)

// Admitter admits requests to the services in force.
type Admitter struct {
	Clock timer.Clock

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	document *documenter.Document
	slots    chan struct{}
}

// New returns an admitter without services.
func New(clock timer.Clock) *Admitter {
	return &Admitter{Clock: clock, services: map[string]*service{}}
}

// Configure brings the admitter in line with the documents in force.
func (a *Admitter) Configure(documents []*documenter.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := map[string]*service{}
	for _, d := range documents {
		s := a.services[d.Name]
		if s == nil {
			s = &service{slots: make(chan struct{}, defaultConcurrency)}
		}
		s.document = d
		next[d.Name] = s
	}
	a.services = next
}

// Grant is the permission to run one request.
type Grant struct {
	once sync.Once
	free func(Result)
}

// Done ends the grant; calls after the first have no effect.
func (g *Grant) Done(r Result) { g.once.Do(func() { g.free(r) }) }

// Admit waits until the request may run, or returns a *refuser.Refusal with the fact not-run at once.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Grant, error) {
	a.mu.Lock()
	s := a.services[r.Service]
	a.mu.Unlock()
	if s == nil {
		return nil, refuser.New(refuser.UnknownService, "no service %q", r.Service)
	}
	if _, ok := s.document.Workspace(string(r.Workspace)); !ok {
		return nil, refuser.New(refuser.UnknownWorkspace, "service %q does not serve workspace %q", r.Service, r.Workspace)
	}
	if !r.Deadline.IsZero() && a.Clock.Now().Add(r.Expected).After(r.Deadline) {
		return nil, refuser.New(refuser.DeadlineTooShort, "the deadline leaves less than the expected %s", r.Expected)
	}
	select {
	case s.slots <- struct{}{}:
		return &Grant{free: func(Result) { <-s.slots }}, nil
	case <-ctx.Done():
		return nil, refuser.New(refuser.Canceled, "the caller gave up").WithFact(refuser.FactNotRun)
	default:
		return nil, refuser.New(refuser.QueueFull, "the entry is at its limit").WithRetryAfter(retryAfter)
	}
}

// Run serves until ctx is done.
func (a *Admitter) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
