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
	// DefaultStreams is how many engines a daemon follows.
	DefaultStreams = 64
	// chooseInterval is the time between two choices of engines.
	chooseInterval = time.Second
	// busyFor is how long an engine counts as busy after it had a stream from here.
	busyFor = 30 * time.Second

	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
	// steadyFor is how long a stream must last to start the backoff over.
	steadyFor = 10 * time.Second
)

// Subscriber follows engines; set the exported fields before Run.
type Subscriber struct {
	// Self is the member name of this daemon, by which daemons choose different engines.
	Self string
	// Streams bounds the engines followed.
	Streams int
	// Engines returns the engines that may be followed.
	Engines func() []cataloger.Target
	// Busy tells whether an engine has a stream from here.
	Busy func(target string) bool
	// Open opens the stream of events of an engine.
	Open func(ctx context.Context, address string) (*engineer.Events, error)
	// Observe takes in an event.
	Observe func(target string, prefix uint64, removed bool)
	// Doubt is told of an engine of which events may have been missed.
	Doubt   func(target string)
	Clock   timer.Clock
	Random  *rand.Rand
	Log     zerolog.Logger
	Metrics metrics.Registry

	random    sync.Mutex
	counts    counters
	followed  map[string]*follower
	busyUntil map[string]time.Time
	wait      sync.WaitGroup
}

// Run follows engines until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	s.counts = newCounters(s.Metrics)
	s.followed = map[string]*follower{}
	s.busyUntil = map[string]time.Time{}
	defer s.wait.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		s.choose(ctx)
		if err := s.Clock.Sleep(ctx, chooseInterval); err != nil {
			return err
		}
	}
}

// choose begins to follow the engines that are worth it now, and lets go of the others.
func (s *Subscriber) choose(ctx context.Context) {
	engines := s.Engines()
	s.noteBusy(engines)
	wanted := map[string]cataloger.Target{}
	for _, t := range choice(s.Self, engines, s.busy, s.Streams) {
		wanted[t.Name] = t
	}
	for name, f := range s.followed {
		if t, ok := wanted[name]; !ok || t.Address != f.address {
			f.stop()
			delete(s.followed, name)
		}
	}
	for name, t := range wanted {
		if s.followed[name] == nil {
			s.followed[name] = s.follow(ctx, t)
		}
	}
	s.counts.streams.Update(int64(len(s.followed)))
}

func (s *Subscriber) noteBusy(engines []cataloger.Target) {
	now := s.Clock.Now()
	for name, until := range s.busyUntil {
		if now.After(until) {
			delete(s.busyUntil, name)
		}
	}
	for _, t := range engines {
		if s.Busy(t.Name) {
			s.busyUntil[t.Name] = now.Add(busyFor)
		}
	}
}

func (s *Subscriber) busy(target string) bool {
	_, ok := s.busyUntil[target]
	return ok
}

// backoff returns a random time up to a limit that doubles with each try.
func (s *Subscriber) backoff(try int) time.Duration {
	s.random.Lock()
	defer s.random.Unlock()
	limit := min(firstBackoff<<min(try, 10), maxBackoff)
	return time.Duration((0.5 + 0.5*s.Random.Float64()) * float64(limit))
}
