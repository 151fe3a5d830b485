package leaser

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// DefaultDuration is how long a lease is valid after its last renewal.
const DefaultDuration = 15 * time.Second

const (
	stepQueueSize    = 256
	callQueueSize    = 256
	workers          = 4
	ticksPerDuration = 100
)

// Errors of Acquire.
var (
	// ErrHeld says that this daemon already holds the lease or waits for it.
	ErrHeld = errors.New("lease is in use on this daemon")
	// ErrStopped says that the leaser no longer runs.
	ErrStopped = errors.New("leaser has stopped")
)

// Leaser holds the leases of one daemon; set its exported fields before Run.
type Leaser struct {
	Self cataloger.Member
	// Store is the object API for calls of storer.ClassLease.
	Store   storer.Store
	Clock   timer.Clock
	Random  *rand.Rand
	Log     zerolog.Logger
	Metrics metrics.Registry
	// Duration is how long a lease is valid after its last renewal.
	Duration time.Duration

	steps      *queuer.Ring[step]
	operations *queuer.Ring[operation]
	view       atomic.Pointer[view]
	ended      chan struct{}
	goroutines sync.WaitGroup
	// Only the goroutine of Run uses the fields below.
	machine *machine
	handles map[string]*Lease
	waiting map[string]chan *Lease
}

// step is one event for the machine.
type step func(m *machine, now time.Time) []operation

// view is the state that lease handles read; it is immutable.
type view struct {
	// extended is when the newest renewal was sent.
	extended time.Time
	duration time.Duration
	fencing  map[string]uint64
}

// New returns a leaser without leases.
func New(self cataloger.Member) *Leaser {
	l := &Leaser{
		Self:       self,
		Clock:      timer.System{},
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:        zerolog.Nop(),
		Metrics:    metrics.NewRegistry(),
		Duration:   DefaultDuration,
		steps:      queuer.NewRing[step](stepQueueSize),
		operations: queuer.NewRing[operation](callQueueSize),
		ended:      make(chan struct{}),
		handles:    map[string]*Lease{},
		waiting:    map[string]chan *Lease{},
	}
	l.view.Store(&view{})
	return l
}

// Lease is an acquired lease; once it is over it never becomes valid again.
type Lease struct {
	leaser  *Leaser
	name    string
	fencing uint64
	lost    chan struct{}
}

// Name returns the name of the duty.
func (l *Lease) Name() string { return l.name }

// Fencing returns the fencing number, which is higher than that of every earlier holder.
func (l *Lease) Fencing() uint64 { return l.fencing }

// Valid reports whether the lease is valid at this moment.
func (l *Lease) Valid() bool { return l.Remaining() > 0 }

// Remaining returns how long the lease stays valid without another renewal, or 0 if it is over.
// An order to a target that does not check fencing numbers needs a shorter deadline than this.
func (l *Lease) Remaining() time.Duration {
	v := l.leaser.view.Load()
	if v.fencing[l.name] != l.fencing {
		return 0
	}
	return max(v.duration-elapsed(v.extended, l.leaser.Clock.Now()), 0)
}

// Lost returns a channel that is closed when the lease is over.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Release ends the lease on this daemon immediately and frees it in the store soon after. It fails if ctx is done first.
func (l *Lease) Release(ctx context.Context) error {
	return l.leaser.steps.Put(ctx, func(m *machine, _ time.Time) []operation {
		if l.leaser.handles[l.name] == l {
			m.drop(l.name)
		}
		return nil
	})
}

// Acquire waits until this daemon holds the lease. It fails with ErrHeld, ErrStopped or the error of ctx.
func (l *Leaser) Acquire(ctx context.Context, name string) (*Lease, error) {
	granted := make(chan *Lease, 1)
	busy := make(chan bool, 1)
	err := l.steps.Put(ctx, func(m *machine, _ time.Time) []operation {
		_, waits := l.waiting[name]
		_, held := l.handles[name]
		busy <- waits || held
		if !waits && !held {
			l.waiting[name] = granted
			m.want(name)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for {
		select {
		case inUse := <-busy:
			if inUse {
				return nil, errors.Wrapf(ErrHeld, "lease %s", name)
			}
		case lease := <-granted:
			return lease, nil
		case <-l.ended:
			return nil, ErrStopped
		case <-ctx.Done():
			l.cancelWait(name, granted)
			return nil, ctx.Err()
		}
	}
}

// AdvanceEra ends all leases if the store has entered a later era, that is, was restored from an older copy; calls of Acquire keep
// waiting.
func (l *Leaser) AdvanceEra(era uint64) {
	err := l.steps.Offer(func(m *machine, now time.Time) []operation {
		if !m.eraKnown {
			// Other daemons may hold leases of the previous era.
			m.era, m.eraKnown = era-1, true
		}
		m.advanceEra(now, era)
		return nil
	})
	if err != nil {
		// The next answer of the store carries the era as well.
		l.Log.Warn().Err(err).Uint64("era", era).Msg("new era of the store not handled yet")
	}
}

// cancelWait ends the wait of an Acquire whose context is done.
func (l *Leaser) cancelWait(name string, granted chan *Lease) {
	_ = l.steps.Offer(func(m *machine, _ time.Time) []operation {
		if l.waiting[name] == granted {
			delete(l.waiting, name)
			m.drop(name)
			return nil
		}
		// The lease was granted in the meantime and nobody received it.
		if handle, ok := l.handles[name]; ok && len(granted) > 0 && <-granted == handle {
			m.drop(name)
		}
		return nil
	})
}

// Run acquires and renews leases until ctx is done, then frees them and returns nil.
func (l *Leaser) Run(ctx context.Context) error {
	defer close(l.ended)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer l.goroutines.Wait()
	defer cancel()
	l.machine = newMachine(l.Self.Name, fmt.Sprintf("%d-%x", l.Self.Incarnation, l.Random.Uint64()), NewTiming(l.Duration))
	for range workers {
		l.goroutines.Go(func() { l.runWorker(workCtx) })
	}
	l.goroutines.Go(func() { l.sweep(workCtx) })
	ticks := queuer.NewRing[struct{}](1)
	l.goroutines.Go(func() {
		for l.Clock.Sleep(workCtx, l.Duration/ticksPerDuration) == nil {
			_ = ticks.Offer(struct{}{})
		}
	})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case s := <-l.steps.Values():
			l.dispatch(s(l.machine, l.Clock.Now()))
		case <-ticks.Values():
			l.dispatch(l.machine.tick(l.Clock.Now()))
		}
		l.publish()
	}
	l.stop(workCtx)
	return nil
}

// stopTimeout bounds the wait for the store when Run ends.
const stopTimeout = 2 * time.Second

// stop ends every lease on this daemon and closes the session, which frees them all in the store with one write.
func (l *Leaser) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	key, version := l.machine.session.key, l.machine.session.version
	for name := range l.machine.duties {
		l.machine.drop(name)
	}
	l.publish()
	for key != "" {
		_, err := l.Store.Put(ctx, key, encode(&peerv1.LeaseSession{Holder: l.Self.Name, Closed: true}), version)
		if err == nil || l.Clock.Sleep(ctx, stopTimeout/20) != nil {
			return
		}
		// A renewal may have been written in the meantime.
		if o, err := l.Store.Get(ctx, key); err == nil {
			version = o.Version
		}
	}
}

// dispatch queues operations for the workers; one that finds the queue full is handled as ErrUnavailable.
func (l *Leaser) dispatch(operations []operation) {
	for len(operations) > 0 {
		op := operations[0]
		operations = operations[1:]
		if err := l.operations.Offer(op); err != nil {
			metrics.GetOrRegisterCounter("lease-calls-dropped", l.Metrics).Inc(1)
			operations = append(operations, l.machine.handleResult(l.Clock.Now(), op, result{err: storer.ErrUnavailable})...)
		}
	}
}

func (l *Leaser) runWorker(ctx context.Context) {
	for {
		op, err := l.operations.Take(ctx)
		if err != nil {
			return
		}
		r := l.execute(ctx, op)
		_ = l.steps.Put(ctx, func(m *machine, now time.Time) []operation { return m.handleResult(now, op, r) })
	}
}

func (l *Leaser) execute(ctx context.Context, op operation) (r result) {
	// The result of a call that takes longer than the time between renewals is useless.
	ctx, cancel := context.WithTimeout(ctx, l.Duration/3)
	defer cancel()
	switch op.kind {
	case readLease, readSession:
		r.object, r.err = l.Store.Get(ctx, op.key)
	default:
		r.version, r.err = l.Store.Put(ctx, op.key, op.value, op.expected)
	}
	return r
}

// publish updates the view of the handles, grants new leases and ends lost ones.
func (l *Leaser) publish() {
	now := l.Clock.Now()
	m := l.machine
	v := &view{extended: m.session.extended, duration: m.timing.Duration, fencing: map[string]uint64{}}
	for name := range m.duties {
		if fencing, ok := m.holds(now, name); ok {
			v.fencing[name] = fencing
		}
	}
	if old := l.view.Load(); !old.extended.Equal(v.extended) || !maps.Equal(old.fencing, v.fencing) {
		l.view.Store(v)
		metrics.GetOrRegisterGauge("leases-held", l.Metrics).Update(int64(len(v.fencing)))
	}
	for name, handle := range l.handles {
		if v.fencing[name] == handle.fencing {
			continue
		}
		l.Log.Info().Str("lease", name).Uint64("fencing", handle.fencing).Msg("lease is over")
		metrics.GetOrRegisterCounter("leases-ended", l.Metrics).Inc(1)
		close(handle.lost)
		delete(l.handles, name)
		m.drop(name)
	}
	for name, granted := range l.waiting {
		fencing, ok := v.fencing[name]
		if !ok {
			continue
		}
		l.Log.Info().Str("lease", name).Uint64("fencing", fencing).Msg("lease acquired")
		metrics.GetOrRegisterCounter("leases-acquired", l.Metrics).Inc(1)
		lease := &Lease{leaser: l, name: name, fencing: fencing, lost: make(chan struct{})}
		l.handles[name] = lease
		delete(l.waiting, name)
		granted <- lease
	}
}
