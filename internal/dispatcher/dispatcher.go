package dispatcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/verifier"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Defaults of a Dispatcher.
const (
	DefaultFirstTokenStall = 1800 * time.Millisecond
	DefaultResumeWait      = 30 * time.Millisecond
	DefaultExportWait      = 15 * time.Millisecond
	DefaultImportWait      = time.Second
	DefaultProbeWait       = 100 * time.Millisecond
	DefaultCancelWait      = time.Second
	DefaultRecoverWait     = 5 * time.Second
)

// Dispatcher runs jobs; set the exported fields before the first Run.
type Dispatcher struct {
	Clock  timer.Clock
	Random *rand.Rand
	Log    zerolog.Logger
	// Metrics takes the counters; their names begin with "dispatcher." and "verifier.".
	Metrics metrics.Registry
	// Pick returns a route and the permit that accounts for it; its errors are refusals that nothing ran.
	Pick func(selector.Request) (cataloger.Route, *selector.Permit, error)
	// Adopt returns the permit that accounts for a stream which runs already.
	Adopt func(selector.Request, cataloger.Route) *selector.Permit
	// Substitute returns the route with a lost target's stages given to others.
	Substitute func(req selector.Request, route cataloger.Route, lost string) (cataloger.Route, *selector.Permit, bool)
	// Engine returns the engine at an address.
	Engine func(address string) *engineer.Engine
	// Isolated tells whether this daemon hears of no other one, though it knows some; nil is never.
	Isolated func() bool
	// Leaving tells whether a target's streams should move elsewhere.
	Leaving func(target string) bool
	// Degraded tells whether the link between two targets is much slower than stated.
	Degraded func(from, to string) bool
	// Failed reports a target that lost a stream.
	Failed func(target string)
	// Stalled reports the targets of a chain of which one, not known which, is silent, slow or wrong.
	Stalled func(targets []string)

	// MaxStall and MinStall bound the silence between tokens that is waited for.
	MaxStall time.Duration
	MinStall time.Duration
	// FirstTokenStall is waited for the first token beyond twice the expected time.
	FirstTokenStall time.Duration
	// ResumeWait, ExportWait, ImportWait, ProbeWait and CancelWait bound the calls of a recovery.
	ResumeWait time.Duration
	ExportWait time.Duration
	ImportWait time.Duration
	ProbeWait  time.Duration
	CancelWait time.Duration
	// RecoverWait is how long an answer in progress waits for a chain to be found.
	RecoverWait time.Duration

	random    sync.Mutex
	budgets   *budgets
	tails     *gapTails
	counts    *counters
	canceller *canceller
	// lastToken is when an engine last sent a token, in nanoseconds of the epoch.
	lastToken atomic.Int64
}

// New returns a dispatcher over a selector and a pool of engines, with the defaults.
func New(clock timer.Clock, random *rand.Rand, log zerolog.Logger, registry metrics.Registry, s *selector.Selector, pool *engineer.Pool) *Dispatcher {
	d := &Dispatcher{
		Clock: clock, Random: random, Log: log, Metrics: registry,
		MaxStall: DefaultMaxStall, MinStall: DefaultMinStall, FirstTokenStall: DefaultFirstTokenStall,
		ResumeWait: DefaultResumeWait, ExportWait: DefaultExportWait, ImportWait: DefaultImportWait,
		ProbeWait: DefaultProbeWait, CancelWait: DefaultCancelWait, RecoverWait: DefaultRecoverWait,
		budgets: newBudgets(),
		tails:   newGapTails(),
		counts:  newCounters(registry),
	}
	d.canceller = newCanceller(clock)
	d.canceller.send = func(ctx context.Context, address string, req *enginev1.CancelRequest) error {
		return sendCancel(ctx, d.Engine(address), d.CancelWait, req)
	}
	d.canceller.dropped = func() { d.counts.cancelsDropped.Inc(1) }
	if s != nil {
		d.Pick, d.Adopt, d.Substitute, d.Leaving, d.Failed, d.Stalled = s.Pick, s.Adopt, s.Substitute, s.Leaving, s.ReportFailed, s.ReportSuspects
		d.Degraded = s.Degraded
	}
	if pool != nil {
		d.Engine = pool.Get
	}
	return d
}

// Run runs a job and calls emit once for each token, in order; its error is a refuser.Refusal, or the error of emit.
func (d *Dispatcher) Run(ctx context.Context, job Job, emit func(Part) error) error {
	job = job.withDefaults()
	if err := job.check(); err != nil {
		return err
	}
	if !job.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, job.Deadline)
		defer cancel()
	}
	d.budgets.earn(budgetKey{job.Workspace, job.Service}, job.RetryBudget)
	r := &run{
		d:         d,
		job:       job,
		emit:      emit,
		checker:   verifier.New(job.RequestID, job.Version, job.Layers, job.StartPosition, job.end()),
		attempt:   job.FirstAttempt,
		delivered: slices.Clip(job.Delivered),
		prefixes:  engineer.Prefixes(job.Model, job.Version, job.Adapter, job.Prompt),
		tail:      d.tails.of(job.Model, job.Version),
	}
	return r.run(ctx)
}

// Wait returns when every Cancel has been answered, or tried once more in vain; call it after the last Run.
func (d *Dispatcher) Wait() { d.canceller.close() }

func (d *Dispatcher) float() float64 {
	d.random.Lock()
	defer d.random.Unlock()
	return d.Random.Float64()
}

// silence is the time without a token of any engine from which an isolated daemon counts as cut off.
const silence = time.Second

// cutOff tells whether neither daemons nor engines reach this daemon, so that another entry has to go on.
func (d *Dispatcher) cutOff() bool {
	quiet := d.Clock.Now().Sub(time.Unix(0, d.lastToken.Load())) >= silence
	return quiet && d.Isolated != nil && d.Isolated()
}

// interrupted returns the refusal for a context that is done.
func interrupted(ctx context.Context, fact refuser.Fact) *refuser.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed while the request ran").WithFact(fact)
	}
	return refuser.New(refuser.Canceled, "the caller cancelled the request").WithFact(fact)
}
