package router

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/drainer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	drainStep       = 20 * time.Millisecond
	handOverTimeout = 5 * time.Second
	notReadyRetry   = 500 * time.Millisecond
	leaveTimeout    = 2 * time.Second
)

// shutdown drives the drain state of a daemon and counts what is in progress.
type shutdown struct {
	router *Router

	mu       sync.Mutex
	state    drainer.State
	asked    bool
	forced   bool
	handed   bool
	finish   time.Duration
	progress int
}

func newShutdown(r *Router) *shutdown {
	return &shutdown{router: r, state: drainer.NewState(r.Clock.Now()), finish: r.Settings.DrainTimeout}
}

// begin takes a request in, or refuses it as not run.
func (s *shutdown) begin() (func(), error) {
	if !s.router.config.Ready() {
		return nil, refuser.New(refuser.NotReady, "the configuration has not been read yet").WithRetryAfter(notReadyRetry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Accepts() {
		return nil, refuser.New(refuser.Draining, "this entry is shutting down")
	}
	s.progress++
	return sync.OnceFunc(s.end), nil
}

func (s *shutdown) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress--
}

func (s *shutdown) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

func (s *shutdown) phase() drainer.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Phase
}

func (s *shutdown) drain(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = true
	if timeout > 0 {
		s.finish = timeout
	}
}

func (s *shutdown) force() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = true
	s.forced = true
}

// run moves the state on until the shutdown is done or serving has ended.
func (s *shutdown) run(ctx, serving context.Context) {
	for {
		if ctx.Err() != nil {
			s.drain(0)
		}
		before, after := s.step()
		if before != after {
			s.entered(serving, after)
		}
		if after == drainer.Done {
			return
		}
		if s.router.Clock.Sleep(serving, drainStep) != nil {
			return
		}
	}
}

func (s *shutdown) step() (before, after drainer.Phase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.state.Phase
	event := drainer.Event{Drain: s.asked, HandedOver: s.handed, InProgress: s.progress, Force: s.forced}
	limits := drainer.Limits{Announce: s.router.Settings.ResolveTTL, HandOver: handOverTimeout, Finish: s.finish}
	s.state = s.state.Next(s.router.Clock.Now(), event, limits)
	return before, s.state.Phase
}

func (s *shutdown) entered(ctx context.Context, phase drainer.Phase) {
	s.router.Log.Info().Str("phase", string(phase)).Int("in-progress", s.inProgress()).Msg("shutdown")
	switch phase {
	case drainer.Announced:
		ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		s.router.tracker.Leave(ctx)
	case drainer.Refusing:
		go s.handOver(ctx)
	}
}

// handOver gives up what other daemons wait for.
func (s *shutdown) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	s.router.release(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handed = true
}
