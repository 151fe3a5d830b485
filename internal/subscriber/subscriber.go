package subscriber

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// DefaultStreams is the default maximum number of engines that a daemon subscribes to.
	DefaultStreams = 64
	// selectInterval is the time between two selections of engines.
	selectInterval = time.Second
	// recentlyBusyFor is how long an engine counts as busy after the last stream of a request from this daemon.
	recentlyBusyFor = 30 * time.Second

	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// stableAfter is how long a stream must last to reset the backoff.
	stableAfter = 10 * time.Second
)

// Subscriber streams the cache events of engines; set the exported fields before Run.
type Subscriber struct {
	// Self is the member name of this daemon; it makes daemons select different engines.
	Self string
	// MaxStreams is the maximum number of engines to subscribe to.
	MaxStreams int
	// Engines returns the engines to select from.
	Engines func() []cataloger.Target
	// Busy reports whether an engine has a request stream from this daemon.
	Busy func(target string) bool
	// Open opens the event stream of an engine.
	Open func(ctx context.Context, address string) (*engineer.Events, error)
	// Observe is called for each event.
	Observe func(target string, prefix uint64, removed bool)
	// ObserveGap is called for an engine of which events may have been missed.
	ObserveGap func(target string)
	Clock      timer.Clock
	Random     *rand.Rand
	Log        zerolog.Logger
	Metrics    metrics.Registry

	randomMu      sync.Mutex
	counts        counters
	subscriptions map[string]*subscription
	busyUntil     map[string]time.Time
	running       sync.WaitGroup
}

// Run subscribes to engines until ctx is done, and returns the error of ctx.
func (s *Subscriber) Run(ctx context.Context) error {
	s.counts = newCounters(s.Metrics)
	s.subscriptions = map[string]*subscription{}
	s.busyUntil = map[string]time.Time{}
	defer s.running.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		s.updateSubscriptions(ctx)
		if err := s.Clock.Sleep(ctx, selectInterval); err != nil {
			return err
		}
	}
}

// updateSubscriptions subscribes to the engines selected now, and ends the subscriptions to others.
func (s *Subscriber) updateSubscriptions(ctx context.Context) {
	engines := s.Engines()
	s.updateBusy(engines)
	wanted := map[string]cataloger.Target{}
	for _, t := range selectEngines(s.Self, engines, s.recentlyBusy, s.MaxStreams) {
		wanted[t.Name] = t
	}
	for name, sub := range s.subscriptions {
		if t, ok := wanted[name]; !ok || t.Address != sub.address {
			sub.stop()
			delete(s.subscriptions, name)
		}
	}
	for name, t := range wanted {
		if s.subscriptions[name] == nil {
			s.subscriptions[name] = s.subscribe(ctx, t)
		}
	}
	s.counts.streams.Update(int64(len(s.subscriptions)))
}

func (s *Subscriber) updateBusy(engines []cataloger.Target) {
	now := s.Clock.Now()
	for name, until := range s.busyUntil {
		if now.After(until) {
			delete(s.busyUntil, name)
		}
	}
	for _, t := range engines {
		if s.Busy(t.Name) {
			s.busyUntil[t.Name] = now.Add(recentlyBusyFor)
		}
	}
}

func (s *Subscriber) recentlyBusy(target string) bool {
	_, ok := s.busyUntil[target]
	return ok
}

// backoff returns a random time between half and all of a limit, which doubles with each retry up to maxBackoff.
func (s *Subscriber) backoff(retries int) time.Duration {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	limit := min(firstBackoff<<min(retries, 10), maxBackoff)
	return time.Duration((0.5 + 0.5*s.Random.Float64()) * float64(limit))
}
