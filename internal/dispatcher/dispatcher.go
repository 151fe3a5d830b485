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
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/verifier"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Default timeouts of a Dispatcher.
const (
	DefaultFirstTokenStall    = 1800 * time.Millisecond
	DefaultResumeTimeout      = 30 * time.Millisecond
	DefaultExportTimeout      = 15 * time.Millisecond
	DefaultImportTimeout      = time.Second
	DefaultHealthCheckTimeout = 100 * time.Millisecond
	DefaultCancelTimeout      = time.Second
	DefaultRecoveryTimeout    = 5 * time.Second
)

// Dispatcher runs jobs; set the exported fields before the first Run.
type Dispatcher struct {
	Clock  timer.Clock
	Random *rand.Rand
	Log    zerolog.Logger
	// Metrics is the registry of the counters; their names begin with "dispatcher." and "verifier.".
	Metrics metrics.Registry
	// Pick returns a route and the permit that accounts for it; an error is a refusal, and nothing has run.
	Pick func(selector.Request) (cataloger.Route, *selector.Permit, error)
	// Adopt returns the permit that accounts for a stream that already runs on a route.
	Adopt func(selector.Request, cataloger.Route) *selector.Permit
	// Substitute returns the route with the lost target's stages moved to other targets, and its permit; false if there is none.
	Substitute func(req selector.Request, route cataloger.Route, lost string) (cataloger.Route, *selector.Permit, bool)
	// Quarantiner tracks the prompts that crash engines.
	Quarantiner *quarantiner.Quarantiner
	// Engine returns the engine at an address.
	Engine func(address string) *engineer.Engine
	// Isolated reports whether this daemon tracks other daemons but receives nothing from them; nil means never.
	Isolated func() bool
	// Leaving reports whether the streams of a target should move elsewhere.
	Leaving func(target string) bool
	// Degraded reports whether the link between two targets is much slower than stated.
	Degraded func(from, to string) bool
	// ReportFailed reports a target that lost a stream.
	ReportFailed func(target string)
	// ReportSuspects reports targets of which one is silent, slow or sends invalid answers, where it is not certain which one.
	ReportSuspects func(targets []string)

	// MaxStall and MinStall are the bounds of the timeout between two tokens.
	MaxStall time.Duration
	MinStall time.Duration
	// FirstTokenStall is the timeout for the first token, on top of twice its expected time.
	FirstTokenStall time.Duration
	// ResumeTimeout, ExportTimeout, ImportTimeout, HealthCheckTimeout and CancelTimeout limit the calls of a recovery.
	ResumeTimeout      time.Duration
	ExportTimeout      time.Duration
	ImportTimeout      time.Duration
	HealthCheckTimeout time.Duration
	CancelTimeout      time.Duration
	// RecoveryTimeout is how long an answer in progress waits for a new chain.
	RecoveryTimeout time.Duration

	randomMu    sync.Mutex
	budgets     *budgets
	gapRegistry *gapRegistry
	counts      *counters
	canceller   *canceller
	// lastToken is the time of the last token from any engine, in nanoseconds since the Unix epoch.
	lastToken atomic.Int64
}

// New returns a dispatcher with the default timeouts that uses a selector and a pool of engines, which may be nil.
func New(clock timer.Clock, random *rand.Rand, log zerolog.Logger, registry metrics.Registry, s *selector.Selector, pool *engineer.Pool) *Dispatcher {
	d := &Dispatcher{
		Clock: clock, Random: random, Log: log, Metrics: registry,
		MaxStall: DefaultMaxStall, MinStall: DefaultMinStall, FirstTokenStall: DefaultFirstTokenStall,
		ResumeTimeout: DefaultResumeTimeout, ExportTimeout: DefaultExportTimeout, ImportTimeout: DefaultImportTimeout,
		HealthCheckTimeout: DefaultHealthCheckTimeout, CancelTimeout: DefaultCancelTimeout, RecoveryTimeout: DefaultRecoveryTimeout,
		Quarantiner: quarantiner.New(clock.Now),
		budgets:     newBudgets(),
		gapRegistry: newGapRegistry(),
		counts:      newCounters(registry),
	}
	d.canceller = newCanceller(clock)
	d.canceller.send = func(ctx context.Context, address string, req *enginev1.CancelRequest) error {
		return sendCancel(ctx, d.Engine(address), d.CancelTimeout, req)
	}
	d.canceller.onDrop = func() { d.counts.cancelsDropped.Inc(1) }
	if s != nil {
		d.Pick, d.Adopt, d.Substitute, d.Leaving, d.ReportFailed, d.ReportSuspects = s.Pick, s.Adopt, s.Substitute, s.Leaving, s.ReportFailed, s.ReportSuspects
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
	if err := job.validate(); err != nil {
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
		checker:   verifier.New(job.RequestID, job.Version, job.Layers, job.StartPosition, job.endPosition()),
		attempt:   job.FirstAttempt,
		delivered: slices.Clip(job.Delivered),
		prefixes:  engineer.Prefixes(job.Model, job.Version, job.Adapter, job.Prompt),
		modelGaps: d.gapRegistry.get(job.Model, job.Version),
		keys:      []quarantiner.Key{quarantiner.RequestKey(job.Service, job.Model, job.Version, job.Prompt)},
	}
	if err := r.admit(); err != nil {
		return err
	}
	return r.run(ctx)
}

// Close returns when every pending Cancel has been answered, or has failed once more; later ones are dropped. Call it after
// the last Run.
func (d *Dispatcher) Close() { d.canceller.close() }

func (d *Dispatcher) randomFloat() float64 {
	d.randomMu.Lock()
	defer d.randomMu.Unlock()
	return d.Random.Float64()
}

// partitionSilence is the time without a token from any engine after which an isolated daemon counts as partitioned.
const partitionSilence = time.Second

// partitioned reports whether this daemon receives nothing from other daemons and no tokens from engines, so that another
// entry must continue the answer.
func (d *Dispatcher) partitioned() bool {
	enginesSilent := d.Clock.Now().Sub(time.Unix(0, d.lastToken.Load())) >= partitionSilence
	return enginesSilent && d.Isolated != nil && d.Isolated()
}

// interruptedRefusal returns the refusal for a context that is done.
func interruptedRefusal(ctx context.Context, fact refuser.Fact) *refuser.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlineExceeded, "the deadline passed while the request ran").WithFact(fact)
	}
	return refuser.New(refuser.Canceled, "the caller cancelled the request").WithFact(fact)
}
