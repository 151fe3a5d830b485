package storer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

// Size and decay of the latency histograms' samples.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Class is the priority class of a caller of the store; a lower number has priority.
type Class int

// Classes of callers.
const (
	// ClassClaim is for the journal's claims.
	ClassClaim Class = iota
	// ClassLease is for leases.
	ClassLease
	// ClassConfig is for service documents.
	ClassConfig
	// ClassOther is for the rest.
	ClassOther
	classes
)

// classFloors is the fraction of the burst that each class leaves to the classes with priority over it.
var classFloors = [classes]float64{0, 0.1, 0.3, 0.5}

var classNames = [classes]string{"claim", "lease", "config", "other"}

// String returns the kebab-case name of the class.
func (c Class) String() string { return classNames[c] }

// Budget bounds the calls of one daemon to the store.
type Budget struct {
	// Reads and Writes are in calls a second; an open watch uses one read a second.
	Reads  float64
	Writes float64
	// Burst is how many reads, and how many writes, may be made at the same time.
	Burst int
	// MaxWait bounds the wait for the budget; a call that would wait longer fails with ErrRateLimited.
	MaxWait time.Duration
	// Timeout bounds one call to the store.
	Timeout time.Duration
	Breaker BreakerConfig
	Clock   timer.Clock
	Random  *rand.Rand
	Metrics metrics.Registry
}

// DefaultBudget returns the budget of a daemon in a small fleet.
func DefaultBudget() Budget {
	return Budget{
		Reads:   100,
		Writes:  50,
		Burst:   50,
		MaxWait: time.Second,
		Timeout: 3 * time.Second,
		Breaker: DefaultBreakerConfig(),
		Clock:   timer.System{},
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Metrics: metrics.NewRegistry(),
	}
}

// WithFleet returns the budget of one of n daemons that share the store's rates, in calls a second.
func (b Budget) WithFleet(n int, reads, writes float64) Budget {
	b.Reads = reads / float64(max(n, 1))
	b.Writes = writes / float64(max(n, 1))
	return b
}

// Limiter keeps one daemon's calls within its budget and does not call a store that is down.
type Limiter struct {
	inner   Store
	budget  Budget
	reads   *bucket
	writes  *bucket
	breaker *Breaker
}

// NewLimiter returns a limiter in front of inner.
func NewLimiter(inner Store, b Budget) *Limiter {
	return &Limiter{
		inner:   inner,
		budget:  b,
		reads:   newBucket(b.Clock, b.Reads, b.Burst),
		writes:  newBucket(b.Clock, b.Writes, b.Burst),
		breaker: NewBreaker(b.Breaker, b.Random),
	}
}

// Available reports whether the breaker is closed, that is, the store has not failed repeatedly.
func (l *Limiter) Available() bool { return !l.breaker.Open(l.budget.Clock.Now()) }

// SetRates changes the budget, in calls a second, as the fleet grows or shrinks.
func (l *Limiter) SetRates(reads, writes float64) {
	l.reads.setRate(reads)
	l.writes.setRate(writes)
}

// Store returns the limited store for callers of one class.
func (l *Limiter) Store(class Class) Store {
	v := &view{Limiter: l, class: class}
	return Store{Get: v.get, List: v.list, Put: v.put, Delete: v.remove, Watch: v.watch, ListVMs: v.listVMs}
}

type view struct {
	*Limiter
	class Class
}

func (v *view) get(ctx context.Context, key string) (o Object, err error) {
	err = v.call(ctx, "get", v.reads, func(ctx context.Context) error {
		o, err = v.inner.Get(ctx, key)
		return err
	})
	return o, err
}

func (v *view) list(ctx context.Context, prefix string) (objects []Object, revision Point, err error) {
	err = v.call(ctx, "list", v.reads, func(ctx context.Context) error {
		objects, revision, err = v.inner.List(ctx, prefix)
		return err
	})
	return objects, revision, err
}

func (v *view) put(ctx context.Context, key string, value []byte, expected Point) (version Point, err error) {
	err = v.call(ctx, "put", v.writes, func(ctx context.Context) error {
		version, err = v.inner.Put(ctx, key, value, expected)
		return err
	})
	return version, err
}

func (v *view) remove(ctx context.Context, key string, expected Point) (revision Point, err error) {
	err = v.call(ctx, "delete", v.writes, func(ctx context.Context) error {
		revision, err = v.inner.Delete(ctx, key, expected)
		return err
	})
	return revision, err
}

func (v *view) listVMs(ctx context.Context) (vms []cataloger.VM, err error) {
	err = v.call(ctx, "list-vms", v.reads, func(ctx context.Context) error {
		vms, err = v.inner.ListVMs(ctx)
		return err
	})
	return vms, err
}

// watch reserves one read a second of the budget for as long as it is open.
func (v *view) watch(ctx context.Context, prefix string, after Point, emit func(Event) error) error {
	if err := v.admit(ctx, v.reads); err != nil {
		return v.countError("watch", err)
	}
	v.reads.reserve(1)
	defer v.reads.reserve(-1)
	answered := false
	err := v.inner.Watch(ctx, prefix, after, func(e Event) error {
		if !answered {
			answered = true
			v.breaker.Record(v.budget.Clock.Now(), nil)
		}
		return emit(e)
	})
	if ctx.Err() == nil {
		v.breaker.Record(v.budget.Clock.Now(), err)
	} else if !answered {
		v.breaker.Abandon()
	}
	return v.countError("watch", err)
}

func (v *view) call(ctx context.Context, name string, b *bucket, f func(context.Context) error) error {
	if err := v.admit(ctx, b); err != nil {
		return v.countError(name, err)
	}
	start := v.budget.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, v.budget.Timeout)
	defer cancel()
	err := f(callCtx)
	now := v.budget.Clock.Now()
	if ctx.Err() == nil {
		v.breaker.Record(now, err)
	} else {
		v.breaker.Abandon()
	}
	v.recordLatency(name, now.Sub(start))
	return v.countError(name, err)
}

// admit waits for the budget, for at most MaxWait, and asks the breaker. If it fails, nothing was sent.
func (v *view) admit(ctx context.Context, b *bucket) error {
	clock := v.budget.Clock
	deadline := clock.Now().Add(v.budget.MaxWait)
	for {
		now := clock.Now()
		wait := b.take(now, v.class)
		if wait == 0 {
			break
		}
		if now.Add(wait).After(deadline) {
			return errors.Wrapf(ErrRateLimited, "budget of class %s is spent", v.class)
		}
		if err := clock.Sleep(ctx, wait); err != nil {
			return Mark(err, ErrUnavailable)
		}
	}
	if !v.breaker.Allow(clock.Now()) {
		return errors.Wrap(ErrUnavailable, "store is down, calls are paused")
	}
	return nil
}

func (v *view) recordLatency(name string, d time.Duration) {
	if v.budget.Metrics == nil {
		return
	}
	h := v.budget.Metrics.GetOrRegister("store-"+name+"-microseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

func (v *view) countError(name string, err error) error {
	if v.budget.Metrics != nil && err != nil {
		metrics.GetOrRegisterCounter("store-"+name+"-"+ErrorName(err), v.budget.Metrics).Inc(1)
	}
	return err
}

// bucket is a token bucket with a floor for each class.
type bucket struct {
	limiter *rate.Limiter
	burst   float64
	clock   timer.Clock
	rates   chan bucketRates
}

type bucketRates struct {
	rate     float64
	reserved float64
}

func newBucket(clock timer.Clock, perSecond float64, burst int) *bucket {
	b := &bucket{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		burst:   float64(burst),
		clock:   clock,
		rates:   make(chan bucketRates, 1),
	}
	b.rates <- bucketRates{rate: perSecond}
	return b
}

// minRate is the rate that open watches can't reserve, in calls a second.
const minRate = 0.5

func (b *bucket) updateRates(f func(bucketRates) bucketRates) {
	r := f(<-b.rates)
	b.limiter.SetLimitAt(b.clock.Now(), rate.Limit(max(r.rate-r.reserved, minRate)))
	b.rates <- r
}

func (b *bucket) setRate(perSecond float64) {
	b.updateRates(func(r bucketRates) bucketRates { r.rate = perSecond; return r })
}

func (b *bucket) reserve(n float64) {
	b.updateRates(func(r bucketRates) bucketRates { r.reserved += n; return r })
}

// take consumes a token and returns 0, or returns how long a class has to wait for one.
func (b *bucket) take(now time.Time, class Class) time.Duration {
	need := 1 + classFloors[class]*(b.burst-1)
	missing := need - b.limiter.TokensAt(now)
	if missing <= 0 && b.limiter.AllowN(now, 1) {
		return 0
	}
	wait := time.Duration(max(missing, 0) / float64(b.limiter.Limit()) * float64(time.Second))
	return max(wait, time.Millisecond)
}
