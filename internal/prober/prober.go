package prober

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tracker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const (
	tick = 50 * time.Millisecond
	// assignInterval is the minimum time between two updates of the targets that this daemon owns.
	assignInterval = 500 * time.Millisecond
	// watchersPerTarget is the number of daemons that watch a target: the first probes it, the second confirms that it is dead.
	watchersPerTarget = 2
	confirmTimeout    = time.Second
)

// Prober probes targets; set the exported fields before Run.
type Prober struct {
	// Self is the member name of this daemon.
	Self  string
	Fleet func() cataloger.Fleet
	// Describe and Load query a model engine; Load may be nil.
	Describe func(ctx context.Context, address string) (*enginev1.DescribeResponse, error)
	Load     func(ctx context.Context, address string) (*enginev1.LoadResponse, error)
	// Check returns an error if a plain service does not take requests; if nil, a TCP connection is opened.
	Check func(ctx context.Context, address string) error
	// Report publishes the result of a probe to the fleet.
	Report func(ctx context.Context, name string, r tracker.TargetReport)
	// ObserveLoad receives the loads of targets that this daemon or a neighbour probes; may be nil.
	ObserveLoad func(name string, load *enginev1.LoadResponse)
	// Link reaches the second owners and the neighbours; with the zero value, no daemon is asked to confirm and no loads are shared.
	Link    linker.Link
	Options Options
	Clock   timer.Clock
	Random  *rand.Rand
	Log     zerolog.Logger

	once    sync.Once
	watches map[string]*watch
	// assignedFor is the view of the fleet from which the watches were derived.
	assignedFor view
	results     *queuer.Ring[result]
	wg          sync.WaitGroup

	mu    sync.Mutex
	loads map[string]sample
}

// watch is the state of one target that this daemon probes.
type watch struct {
	target   cataloger.Target
	health   Health
	next     time.Time
	inFlight bool
	second   cataloger.Member
}

// result is the result of one probe.
type result struct {
	name      string
	outcome   Outcome
	took      time.Duration
	report    tracker.TargetReport
	confirmed bool
}

// Run probes until ctx is done.
func (p *Prober) Run(ctx context.Context) error {
	p.init()
	defer p.wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var assignedAt, sharedAt time.Time
	for p.Clock.Sleep(ctx, tick) == nil {
		now := p.Clock.Now()
		p.handleResults(ctx)
		if now.Sub(assignedAt) >= assignInterval {
			assignedAt = now
			p.updateWatches(now)
		}
		p.startProbes(ctx, now)
		if now.Sub(sharedAt) >= p.shareInterval() {
			sharedAt = now
			p.shareLoads(now)
		}
	}
	return ctx.Err()
}

func (p *Prober) init() { p.once.Do(p.setUp) }

func (p *Prober) setUp() {
	if p.Clock == nil {
		p.Clock = timer.System{}
	}
	if p.Random == nil {
		p.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if p.Check == nil {
		p.Check = checkTCP
	}
	p.Options = p.Options.withDefaults()
	p.watches = map[string]*watch{}
	p.results = queuer.NewRing[result](p.Options.Concurrency)
	p.loads = map[string]sample{}
}

// jitter returns a random duration below d.
func (p *Prober) jitter(d time.Duration) time.Duration {
	return time.Duration(p.Random.Int64N(int64(d) + 1))
}

// startProbes starts the probes that are due, up to the concurrency limit.
func (p *Prober) startProbes(ctx context.Context, now time.Time) {
	running := 0
	for _, w := range p.watches {
		if w.inFlight {
			running++
		}
	}
	for _, w := range p.watches {
		if w.inFlight || now.Before(w.next) || running >= p.Options.Concurrency {
			continue
		}
		running++
		w.inFlight = true
		target, timeout, second, health := w.target, w.health.Timeout(p.Options), w.second, w.health
		p.wg.Go(func() {
			r := p.probe(ctx, target, timeout)
			goesDown := health.State != cataloger.StateDead && health.With(r.outcome, r.took, p.Options).State == cataloger.StateDead
			if goesDown {
				r.confirmed = !p.peerReaches(ctx, second, target.Name)
			}
			_ = p.results.Put(ctx, r)
		})
	}
}

// probe probes one target once.
func (p *Prober) probe(ctx context.Context, target cataloger.Target, timeout time.Duration) result {
	begin := p.Clock.Now()
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := result{name: target.Name}
	var err error
	if target.Type == cataloger.TypeService {
		err = p.Check(probeCtx, target.Address)
	} else {
		err = p.probeEngine(probeCtx, target, &r.report)
	}
	r.took = p.Clock.Now().Sub(begin)
	switch {
	case err == nil:
		r.outcome = Answered
	case errors.Is(probeCtx.Err(), context.DeadlineExceeded):
		r.outcome = TimedOut
	default:
		r.outcome = Refused
	}
	return r
}

func (p *Prober) probeEngine(ctx context.Context, target cataloger.Target, report *tracker.TargetReport) error {
	d, err := p.Describe(ctx, target.Address)
	if err != nil {
		return err
	}
	*report = targetReport(d)
	if p.Load == nil {
		return nil
	}
	// An engine that answers Describe is up, even if its load is unavailable.
	load, err := p.Load(ctx, target.Address)
	if err == nil {
		report.Leaving = report.Leaving || load.Leaving
		p.recordLoad(target.Name, load)
	}
	return nil
}

func targetReport(d *enginev1.DescribeResponse) tracker.TargetReport {
	r := tracker.TargetReport{
		Leaving:       d.Leaving,
		Described:     true,
		Kind:          d.Kind,
		Role:          d.Role,
		MemoryBytes:   d.MemoryBytes,
		PrefillRate:   d.PrefillRate,
		DecodeRate:    d.DecodeRate,
		ChecksFencing: d.ChecksFencing,
	}
	for _, h := range d.Holdings {
		r.Holdings = append(r.Holdings, cataloger.Holding{
			Model:      h.Model,
			Version:    h.Version,
			FirstLayer: h.FirstLayer,
			EndLayer:   h.EndLayer,
			Adapters:   h.Adapters,
			Ready:      h.Ready,
		})
	}
	return r
}

// handleResults updates the health of probed targets and reports it.
func (p *Prober) handleResults(ctx context.Context) {
	for {
		r, ok := p.results.Poll()
		if !ok {
			return
		}
		w := p.watches[r.name]
		if w == nil || !w.inFlight {
			continue
		}
		before := w.health.State
		w.inFlight = false
		w.health = w.health.With(r.outcome, r.took, p.Options)
		if r.outcome == Answered && w.target.State == cataloger.StateLive {
			// The fleet already has the target as live, from another daemon.
			w.health = w.health.Confirmed()
		}
		if w.health.State == cataloger.StateDead && before != cataloger.StateDead && !r.confirmed {
			w.health = w.health.Suspected()
		}
		interval := w.health.Interval(len(p.watches), p.Options)
		w.next = p.Clock.Now().Add(interval - p.jitter(interval/8))
		r.report.State = w.health.State
		if before != w.health.State {
			p.Log.Info().Str("target", r.name).Str("from", string(before)).Str("to", string(w.health.State)).Msg("target health changed")
		}
		p.Report(ctx, r.name, r.report)
	}
}
