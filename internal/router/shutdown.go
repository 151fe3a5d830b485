package router

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/drainer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	handOverTimeout = 5 * time.Second
	notReadyRetry   = 500 * time.Millisecond
	leaveTimeout    = 2 * time.Second
	// forceSignals is how many signals cut the requests in progress.
	forceSignals = 3
)

// shutdown counts what is in progress and drains the daemon.
type shutdown struct {
	router  *Router
	drainer *drainer.Drainer

	mu       sync.Mutex
	progress int
}

func newShutdown(r *Router) *shutdown {
	s := &shutdown{router: r}
	s.drainer = &drainer.Drainer{
		Limits: drainer.Limits{
			Announce: drainer.AnnounceFor(r.Settings.ResolveTTL),
			HandOver: handOverTimeout,
			Finish:   r.Settings.DrainTimeout,
		},
		Announce:   s.announce,
		HandOvers:  []drainer.HandOver{{Name: ServicePlacement, Run: r.release}},
		InProgress: func() []drainer.Count { return []drainer.Count{{Kind: "requests", Requests: s.inProgress()}} },
		Clock:      r.Clock,
		Log:        r.Log,
	}
	return s
}

func (s *shutdown) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.router.tracker.Leave(ctx)
	return nil
}

// begin takes a request in, or refuses it as not run.
func (s *shutdown) begin() (func(), error) {
	if !s.router.config.Ready() {
		return nil, refuser.New(refuser.NotReady, "the configuration has not been read yet").WithRetryAfter(notReadyRetry)
	}
	// The request is counted before the phase is looked at, so that no shutdown ends between the two.
	s.add(1)
	if !s.drainer.Accepts() {
		s.add(-1)
		return nil, refuser.New(refuser.Draining, "this entry is shutting down")
	}
	return sync.OnceFunc(func() { s.add(-1) }), nil
}

func (s *shutdown) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress += n
}

func (s *shutdown) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

func (s *shutdown) phase() drainer.Phase { return s.drainer.Phase() }

// force cuts what is in progress.
func (s *shutdown) force() {
	for range forceSignals {
		s.drainer.Signal()
	}
}

// run drains once ctx is done or a drain is asked for, and returns when that has ended or serving is done.
func (s *shutdown) run(ctx, serving context.Context) {
	stop := context.AfterFunc(ctx, func() { s.drainer.Drain(0) })
	defer stop()
	state, err := s.drainer.Run(serving)
	if err == nil && state.Cut > 0 {
		s.router.Log.Warn().Int("requests", state.Cut).Msg("requests in progress were cut")
	}
}
