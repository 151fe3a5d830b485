package router

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/drainer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	handOverTimeout    = 5 * time.Second
	notReadyRetryAfter = 500 * time.Millisecond
	leaveTimeout       = 2 * time.Second
	// forceSignals is the number of signals after which the requests in progress are cut.
	forceSignals = 3
)

// shutdown counts the requests in progress and drains the daemon.
type shutdown struct {
	router  *Router
	drainer *drainer.Drainer

	mu       sync.Mutex
	requests int
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
		HandOvers:  []drainer.HandOver{{Name: ServicePlacement, Run: r.releasePlacement}},
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

// beginRequest counts a request as in progress until the returned function is called, or refuses it as not run.
func (s *shutdown) beginRequest() (func(), error) {
	if !s.router.config.Ready() {
		return nil, refuser.New(refuser.NotReady, "the configuration has not been read yet").WithRetryAfter(notReadyRetryAfter)
	}
	// The request is counted before the phase is checked, so that no shutdown ends between the two.
	s.addRequests(1)
	if !s.drainer.Accepts() {
		s.addRequests(-1)
		return nil, refuser.New(refuser.Draining, "this entry is shutting down")
	}
	return sync.OnceFunc(func() { s.addRequests(-1) }), nil
}

func (s *shutdown) addRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests += n
}

func (s *shutdown) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *shutdown) phase() drainer.Phase { return s.drainer.Phase() }

// force cuts the requests in progress.
func (s *shutdown) force() {
	for range forceSignals {
		s.drainer.HandleSignal()
	}
}

// run drains the daemon once ctx is done or a drain is requested. It returns when the drain has ended or servingCtx is
// done.
func (s *shutdown) run(ctx, servingCtx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.drainer.Drain(0) })
	defer stop()
	state, err := s.drainer.Run(servingCtx)
	if err == nil && state.Cut > 0 {
		s.router.Log.Warn().Int("requests", state.Cut).Msg("requests in progress cut")
	}
}
