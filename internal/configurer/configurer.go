package configurer

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// Sizes of the queues, and the number of workers that run jobs.
const (
	stepQueueSize = 1024
	jobQueueSize  = 1024
	workerCount   = 32
)

const (
	tickInterval = 100 * time.Millisecond
	listTimeout  = 5 * time.Second
	peerTimeout  = 500 * time.Millisecond
	pullTimeout  = 2 * time.Second
)

// Configurer keeps the service documents on one daemon up to date; set its exported fields before Run.
type Configurer struct {
	Self cataloger.Member
	// Store is the object store, with the call budget of storer.ClassConfig.
	Store storer.Store
	Link  linker.Link
	// Members returns the daemons of the fleet; the configurer skips the dead ones.
	Members func() []cataloger.Member
	// Watchers selects the daemons of a data centre that watch the store.
	Watchers func([]cataloger.Member, cataloger.DataCentre) []cataloger.Member
	Clock    timer.Clock
	Random   *rand.Rand
	Log      zerolog.Logger
	Metrics  metrics.Registry
	// MaxAge is the time after which a daemon that could not confirm that its configuration is complete is no longer
	// ready; 0 is no limit.
	MaxAge time.Duration
	// Prepare is called with the next documents in force before Lookup, Documents and Services return them; it must not block and
	// may be nil.
	Prepare func([]*documenter.Document)
	// Changed is called after the documents in force changed; it may be nil.
	Changed func()

	steps *queuer.Ring[step]
	jobs  *queuer.Ring[job]
	view  atomic.Pointer[view]
	// Only the goroutine of Run accesses the fields from here to stopWatch.
	machine     *machine
	watchNumber int
	stopWatch   context.CancelFunc
	goroutines  sync.WaitGroup
	// randomMu guards Random.
	randomMu sync.Mutex
}

// step applies one event to the machine.
type step func(m *machine, now time.Time) []effect

// job is one call to the store or to a peer.
type job func(ctx context.Context)

// view is an immutable snapshot of the machine's state for other goroutines.
type view struct {
	entries    map[string]entry
	digest     uint64
	ready      bool
	completeAt time.Time
}

// documents returns the documents in force, sorted by name.
func (v *view) documents() []*documenter.Document {
	var documents []*documenter.Document
	for _, name := range slices.Sorted(maps.Keys(v.entries)) {
		if d := v.entries[name].document; d != nil {
			documents = append(documents, d)
		}
	}
	return documents
}

// New returns a configurer without documents.
func New(self cataloger.Member) *Configurer {
	c := &Configurer{
		Self:     self,
		Members:  func() []cataloger.Member { return nil },
		Watchers: Watchers,
		Clock:    timer.System{},
		Log:      zerolog.Nop(),
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics:  metrics.NewRegistry(),
		steps:    queuer.NewRing[step](stepQueueSize),
		jobs:     queuer.NewRing[job](jobQueueSize),
	}
	c.view.Store(&view{entries: map[string]entry{}})
	return c
}

// Lookup returns the document in force with its defaults filled in, and its version; ok is false if there is none.
func (c *Configurer) Lookup(name string) (doc *documenter.Document, version uint64, ok bool) {
	e := c.view.Load().entries[name]
	return e.document, e.inForce, e.document != nil
}

// Documents returns the documents in force, sorted by name.
func (c *Configurer) Documents() []*documenter.Document { return c.view.Load().documents() }

// Services returns the sorted names of the services in force.
func (c *Configurer) Services() []string {
	var names []string
	for _, d := range c.Documents() {
		names = append(names, d.Name)
	}
	return names
}

// Version returns the newest version in force among all services.
func (c *Configurer) Version() uint64 {
	newest := uint64(0)
	for _, e := range c.view.Load().entries {
		newest = max(newest, e.inForce)
	}
	return newest
}

// Ready reports whether the daemon has received the state from the store or from peers and it is not older than MaxAge.
func (c *Configurer) Ready() bool {
	if !c.view.Load().ready {
		return false
	}
	age, ok := c.Age()
	return c.MaxAge == 0 || ok && age <= c.MaxAge
}

// Age returns the time since this daemon's documents were last known to be complete, and whether they ever were.
func (c *Configurer) Age() (time.Duration, bool) {
	v := c.view.Load()
	if v.completeAt.IsZero() {
		return 0, false
	}
	return max(c.Clock.Now().Sub(v.completeAt), 0), true
}

// Run watches the store and exchanges documents with peers until ctx is done.
func (c *Configurer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer c.goroutines.Wait()
	defer cancel()
	c.machine = newMachine(c.Self, c.newRandom())
	c.machine.watchers = c.Watchers
	for range workerCount {
		c.goroutines.Go(func() { c.runJobs(ctx) })
	}
	ticks := queuer.NewRing[struct{}](1)
	c.goroutines.Go(func() {
		for c.Clock.Sleep(ctx, tickInterval) == nil {
			_ = ticks.Offer(struct{}{})
		}
	})
	c.execute(ctx, c.machine.start(c.Clock.Now(), c.members()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-c.steps.Values():
			c.execute(ctx, s(c.machine, c.Clock.Now()))
		case <-ticks.Values():
			now := c.Clock.Now()
			c.refreshMembers(ctx, now)
			c.execute(ctx, c.machine.tick(now))
		}
		c.publish()
	}
}

func (c *Configurer) runJobs(ctx context.Context) {
	for {
		j, err := c.jobs.Take(ctx)
		if err != nil {
			return
		}
		j(ctx)
	}
}

// members returns the fleet, which always includes this daemon.
func (c *Configurer) members() []cataloger.Member {
	members := c.Members()
	if !slices.ContainsFunc(members, func(m cataloger.Member) bool { return m.Name == c.Self.Name }) {
		self := c.Self
		self.State = cmp.Or(self.State, cataloger.StateLive)
		members = append(slices.Clone(members), self)
	}
	return members
}

func (c *Configurer) refreshMembers(ctx context.Context, now time.Time) {
	members := c.members()
	same := func(a, b cataloger.Member) bool {
		return a.Name == b.Name && a.State == b.State && a.PeerAddress == b.PeerAddress && a.DataCentre == b.DataCentre
	}
	if !slices.EqualFunc(members, c.machine.members, same) {
		c.execute(ctx, c.machine.setMembers(now, members))
	}
}

func (c *Configurer) publish() {
	m, old := c.machine, c.view.Load()
	if old.digest == m.set.digest && old.ready == m.boot.ready && old.completeAt.Equal(m.completeAt) {
		return
	}
	v := &view{entries: old.entries, digest: m.set.digest, ready: m.boot.ready, completeAt: m.completeAt}
	if old.digest != v.digest {
		v.entries = maps.Clone(m.set.entries)
		c.gauge("config-version", int64(newestVersion(v.entries)))
		c.gauge("config-services", int64(len(v.entries)))
		if c.Prepare != nil {
			c.Prepare(v.documents())
		}
	}
	c.view.Store(v)
	if old.digest != v.digest && c.Changed != nil {
		c.Changed()
	}
}

func newestVersion(entries map[string]entry) uint64 {
	version := uint64(0)
	for _, e := range entries {
		version = max(version, e.inForce)
	}
	return version
}

func (c *Configurer) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, c.Metrics).Update(value)
}

func (c *Configurer) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, c.Metrics).Inc(int64(n))
}
