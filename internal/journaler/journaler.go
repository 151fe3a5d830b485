package journaler

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/assigner"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// Journaler is the journal of one daemon: the entry's side of each request and the owner's side of its shards.
type Journaler struct {
	Clock timer.Clock
	Store storer.Store
	Link  linker.Link
	Log   zerolog.Logger
	// Registry receives the metrics.
	Registry metrics.Registry
	Rand     *rand.Rand
	Limits   Limits
	// Self returns this daemon.
	Self func() cataloger.Member
	// Owner returns the live member that a shard belongs to.
	Owner func(shard uint32) (cataloger.Member, bool)
	// View returns a number that changes whenever the live members do, so that owners are looked up only then; if it is nil,
	// they are always looked up.
	View func() uint64
	// Alive reports whether an incarnation of a member may still be running.
	Alive func(name string, incarnation uint64) bool
	// FindIncarnation returns the live member whose IncarnationName is given, for bound mode.
	FindIncarnation func(incarnation string) (cataloger.Member, bool)
	// UsesBoundMode reports whether any service serves the workspace in bound mode; if it is nil, none does.
	UsesBoundMode func(workspace cataloger.Workspace) bool
	// Members returns the live members, for Get in bound mode.
	Members func() []cataloger.Member

	once    sync.Once
	owners  assigner.Table
	randMu  sync.Mutex
	nonce   atomic.Uint64
	ticket  atomic.Uint64
	events  *queuer.Ring[event]
	reports *queuer.Ring[pendingReport]
	// running is true while Run serves; without it every call is refused.
	running atomic.Bool
	stopped chan struct{}
	wait    metrics.Histogram
}

const (
	eventRing  = 4096
	reportRing = 4096
	// maxConcurrentReports bounds the reports that are sent concurrently and wait until they are recorded.
	maxConcurrentReports = 1024
	// ownershipInterval is the interval at which the owner of each shard is looked up.
	ownershipInterval = 200 * time.Millisecond
	storeTimeout      = 3 * time.Second
	flushTimeout      = 3 * time.Second
	waitSampleSize    = 1028
	waitSampleAlpha   = 0.015
)

func (j *Journaler) init() {
	j.once.Do(func() {
		if j.Limits == (Limits{}) {
			j.Limits = DefaultLimits()
		}
		if j.Registry == nil {
			j.Registry = metrics.NewRegistry()
		}
		if j.Rand == nil {
			j.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		j.owners.Shards = Shards
		j.owners.Lookup = j.Owner
		j.owners.View = j.View
		j.events = queuer.NewRing[event](eventRing)
		j.reports = queuer.NewRing[pendingReport](reportRing)
		j.stopped = make(chan struct{})
		j.wait = metrics.GetOrRegisterHistogram("journal-claim-wait-us", j.Registry,
			metrics.NewExpDecaySample(waitSampleSize, waitSampleAlpha))
	})
}

// Run serves the shards of this daemon until ctx is done, and then writes all pending records; call it only once.
func (j *Journaler) Run(ctx context.Context) error {
	j.init()
	j.running.Store(true)
	defer close(j.stopped)
	defer j.running.Store(false)

	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	var loop, workers sync.WaitGroup
	loop.Go(func() { newServer(j).run(loopCtx) })
	workers.Go(func() { j.sendReports(ctx) })
	<-ctx.Done()
	workers.Wait()
	stopLoop()
	loop.Wait()
	return nil
}

// jitter returns a random duration between d/2 and d.
func (j *Journaler) jitter(d time.Duration) time.Duration {
	j.randMu.Lock()
	defer j.randMu.Unlock()
	return d/2 + time.Duration(j.Rand.Int64N(int64(d/2)+1))
}

func (j *Journaler) shardRand() *rand.Rand {
	j.randMu.Lock()
	defer j.randMu.Unlock()
	return rand.New(rand.NewPCG(j.Rand.Uint64(), j.Rand.Uint64()))
}
