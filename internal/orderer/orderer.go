package orderer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/placer"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// interval is the time between two looks at the placement.
	interval = 150 * time.Millisecond
	// settleTime is how long the list of targets must stand still before layers are placed on a fleet that holds none.
	settleTime = 700 * time.Millisecond
	// spareShare is by how much the layers that fit should exceed the model before memory for requests is given up.
	spareShare = 1.2
	// orderTimeout bounds one order.
	orderTimeout = time.Second
	// listTime is how long after the end of a load the platform's list shows it, at the most.
	listTime = 4 * time.Second
	// handoffTime is how long a target may wait for the requests that pass the layers it gives up.
	handoffTime = 10 * time.Second
	// moveTime is how long a gap must last before targets that hold other layers are moved into it.
	// Nothing is served while layers are held nowhere, which is worth a move sooner.
	moveTime       = 1500 * time.Millisecond
	urgentMoveTime = 300 * time.Millisecond
	// retryPause is the time before a target is given another order after one that failed.
	retryPause = 500 * time.Millisecond
)

// Placement is an order to hold the layers [First,End).
type Placement struct {
	First uint32
	End   uint32
	// Expected is how many placements the target has accepted so far; another number refuses the order.
	Expected uint64
}

// Result is what became of an order.
type Result int

// Results of an order.
const (
	// Begun says that the target loads the layers.
	Loading Result = iota + 1
	// Held says that the target holds the layers already.
	Held
	// Conflict says that the target is busy, or has accepted another number of placements.
	Conflict
	// Unknown says that the order was not answered and may be carried out later.
	Unknown
)

// Pending is an order that the platform's list does not show yet.
type Pending struct {
	Target      string
	Incarnation uint64
	First       uint32
	End         uint32
	// At is when the order was given, and Until when it counts as failed.
	At    time.Time
	Until time.Time
}

// count is how many placements an incarnation of a target has accepted.
type count struct {
	incarnation uint64
	orders      uint64
	known       bool
}

// Orderer decides on and gives orders while this daemon holds the duty; set its exported fields before Run.
type Orderer struct {
	Targets *assessor.Assessor
	// Services returns the services in force.
	Services func() []matcher.Service
	// Holds tells whether this daemon has the duty at this moment.
	HoldsDuty func() bool
	Place     func(ctx context.Context, target cataloger.Target, p Placement) (Result, error)
	// Report asks a target for its state.
	Report func(ctx context.Context, target cataloger.Target) (relayer.Report, error)
	Clock  timer.Clock
	Log    zerolog.Logger

	mu      sync.Mutex
	pending map[string]Pending
	counts  map[string]count
	// seen are the targets of each service at the last look, and changed is when they last changed.
	seen    map[string][]string
	changed map[string]time.Time
	// gaps is since when there are gaps in the placement of each service.
	gaps map[string]map[placer.Gap]time.Time
}

// New returns an orderer that has given no orders.
func New(targets *assessor.Assessor, clock timer.Clock) *Orderer {
	return &Orderer{
		Targets: targets, Clock: clock, Log: zerolog.Nop(),
		pending: map[string]Pending{}, counts: map[string]count{}, seen: map[string][]string{}, changed: map[string]time.Time{},
		gaps: map[string]map[placer.Gap]time.Time{},
	}
}

// Run places layers until ctx is done.
func (o *Orderer) Run(ctx context.Context) error {
	for o.Clock.Sleep(ctx, interval) == nil {
		for _, s := range o.Services() {
			if s.Engine != nil && s.Engine.Layers > 0 {
				o.look(ctx, s)
			}
		}
	}
	return nil
}

// Pending returns the orders that are not listed yet, those of earlier holders among them.
func (o *Orderer) Pending() []Pending {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Pending
	for _, p := range o.pending {
		out = append(out, p)
	}
	return out
}

// Learn takes the pending orders of another daemon, so that a successor does not give them again.
func (o *Orderer) MergePending(p Pending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.pending[p.Target]; !ok || p.At.After(known.At) {
		o.pending[p.Target] = p
	}
}

// look takes in what is listed and gives the orders that are due.
func (o *Orderer) look(ctx context.Context, s matcher.Service) {
	views := o.Targets.Service(s.Name)
	now := o.Clock.Now()
	o.forget(views, now)
	if !o.HoldsDuty() || !o.settled(s.Name, views, now) {
		return
	}
	byName := map[string]assessor.View{}
	for _, v := range views {
		byName[v.Name] = v
	}
	problem := o.problem(s.Engine, views)
	o.noteGaps(s.Name, problem, now)
	problem.Keep = true
	moves := problem.NextMoves(o.limit(s.Engine, views))
	if len(moves) == 0 {
		problem.Keep = false
		wait := moveTime
		if !problem.Complete() {
			wait = urgentMoveTime
		}
		moves = o.overdue(s.Name, problem, now, wait)
	}
	for _, m := range moves {
		o.order(ctx, s.Engine, byName[m.Target].Target, m)
	}
}

// noteGaps takes in which layers are not held where they should be.
func (o *Orderer) noteGaps(service string, p placer.Problem, now time.Time) {
	since := map[placer.Gap]time.Time{}
	for gap := range p.Gaps() {
		since[gap] = now
		if at, ok := o.gaps[service][gap]; ok {
			since[gap] = at
		}
	}
	o.gaps[service] = since
}

// overdue returns the moves of targets that hold layers into gaps that have lasted for a while: a replacement may be on its
// way, and a target that is believed lost may answer again.
func (o *Orderer) overdue(service string, p placer.Problem, now time.Time, wait time.Duration) []placer.Move {
	dataCentres := map[string]cataloger.DataCentre{}
	for _, t := range p.Targets {
		dataCentres[t.Name] = t.DataCentre
	}
	return slices.DeleteFunc(p.NextMoves(1), func(m placer.Move) bool {
		for layer := m.First; layer < m.End; layer++ {
			for _, dc := range []cataloger.DataCentre{dataCentres[m.Target], ""} {
				if since, ok := o.gaps[service][placer.Gap{DataCentre: dc, Layer: layer}]; ok && now.Sub(since) >= wait {
					return false
				}
			}
		}
		return true
	})
}

// settled tells whether the list of targets has stood still, or layers are held already.
func (o *Orderer) settled(service string, views []assessor.View, now time.Time) bool {
	names := make([]string, 0, len(views))
	holds := false
	for _, v := range views {
		names = append(names, v.Name)
		first, end, _ := v.Held()
		holds = holds || end > first
	}
	if !slices.Equal(names, o.seen[service]) {
		o.seen[service], o.changed[service] = names, now
	}
	return len(names) > 0 && (holds || now.Sub(o.changed[service]) >= settleTime)
}

// forget drops orders that the list shows, that failed, or whose target started again.
func (o *Orderer) forget(views []assessor.View, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range views {
		p, ok := o.pending[v.Name]
		if !ok {
			continue
		}
		first, end, _ := v.Held()
		if p.Incarnation != v.Incarnation || now.After(p.Until) || first == p.First && end == p.End {
			delete(o.pending, v.Name)
		}
	}
}

// limit returns how many orders may be given now; 0 is no limit.
func (o *Orderer) limit(e *matcher.Engine, views []assessor.View) int {
	for _, v := range views {
		if first, end, _ := v.Held(); end > first && e.LoadsAtOnce > 0 {
			o.mu.Lock()
			defer o.mu.Unlock()
			return max(e.LoadsAtOnce-len(o.pending), 1)
		}
	}
	return 0
}

// problem returns the placement as it is, orders in progress taken as done.
func (o *Orderer) problem(e *matcher.Engine, views []assessor.View) placer.Problem {
	o.mu.Lock()
	defer o.mu.Unlock()
	reserve := reservesFor(e, views)
	p := placer.Problem{Layers: e.Layers, SlowPipes: placer.SlowPipes(e)}
	for _, v := range views {
		t := placer.Target{Name: v.Name, DataCentre: v.DataCentre, Leaving: !v.Usable()}
		t.Capacity = placer.MemoryOf(e, v.Kind).Capacity(reserve(v.DataCentre))
		t.First, t.End, _ = v.Held()
		if t.End > t.First {
			t.Streams = v.TokenLayers / float64(t.End-t.First) / max(e.UsualPrompt+e.UsualAnswer, 1)
		}
		if order, ok := o.pending[v.Name]; ok {
			t.First, t.End, t.Ordered = order.First, order.End, true
		}
		p.Targets = append(p.Targets, t)
	}
	return p
}

// reservesFor returns the tokens that the targets of a data centre keep memory for: where pipes are slow, fewer than elsewhere if
// they hold the whole model then.
func reservesFor(e *matcher.Engine, views []assessor.View) func(dc cataloger.DataCentre) float64 {
	usual := reserveFor(e, views)
	if !placer.SlowPipes(e) {
		return func(cataloger.DataCentre) float64 { return usual }
	}
	kinds := map[cataloger.DataCentre][]string{}
	for _, v := range views {
		if v.State == cataloger.StateLive {
			kinds[v.DataCentre] = append(kinds[v.DataCentre], v.Kind)
		}
	}
	own := map[cataloger.DataCentre]float64{}
	for dc, list := range kinds {
		if tokens, whole := placer.ReserveFor(e, list); whole {
			own[dc] = min(tokens, usual)
		}
	}
	return func(dc cataloger.DataCentre) float64 {
		if tokens, ok := own[dc]; ok {
			return tokens
		}
		return usual
	}
}

// reserveFor returns the tokens that each target keeps memory for: fewer where the model would not fit otherwise.
func reserveFor(e *matcher.Engine, views []assessor.View) float64 {
	reserve := placer.Reserve(e)
	for ; reserve > 1; reserve /= 2 {
		total := 0.0
		for _, v := range views {
			total += float64(placer.MemoryOf(e, v.Kind).Capacity(reserve))
		}
		if total >= spareShare*float64(e.Layers) {
			break
		}
	}
	return reserve
}

// order notes an order as pending and gives it.
func (o *Orderer) order(ctx context.Context, e *matcher.Engine, t cataloger.Target, m placer.Move) {
	now := o.Clock.Now()
	wait := listTime
	if first, end, _ := t.Held(); end > first {
		wait += handoffTime
	}
	o.mu.Lock()
	o.pending[t.Name] = Pending{
		Target: t.Name, Incarnation: t.Incarnation, First: m.First, End: m.End,
		At: now, Until: now.Add(o.loadTime(e, m) + wait),
	}
	o.mu.Unlock()
	go o.give(ctx, t, m)
}

// loadTime estimates how long a load takes beside those in progress; the caller holds mu.
func (o *Orderer) loadTime(e *matcher.Engine, m placer.Move) time.Duration {
	d := e.LoadTime.Seconds() * float64(m.End-m.First) / float64(max(e.Layers, 1))
	if e.LoadsAtOnce > 0 {
		d *= max(1, float64(len(o.pending)+1)/float64(e.LoadsAtOnce))
	}
	return time.Duration(d * float64(time.Second))
}

// give sends an order; the target refuses it where it has accepted another since.
func (o *Orderer) give(ctx context.Context, t cataloger.Target, m placer.Move) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	expected, err := o.expected(ctx, t)
	if err != nil {
		o.failed(t, err)
		return
	}
	result, err := o.Place(ctx, t, Placement{First: m.First, End: m.End, Expected: expected})
	o.Log.Info().Str("target", t.Name).Uint32("first", m.First).Uint32("end", m.End).Uint64("expected", expected).
		Int("result", int(result)).Err(err).Msg("layers ordered")
	switch result {
	case Loading:
		o.setCount(t, expected+1, true)
	case Held:
		o.setCount(t, expected, true)
	default:
		// The target may have taken this order, a late one, or none; its report tells.
		o.setCount(t, 0, false)
		if result == Conflict {
			o.failed(t, err)
		}
	}
}

// failed lets a target be given another order soon.
func (o *Orderer) failed(t cataloger.Target, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pending[t.Name]; ok && p.Incarnation == t.Incarnation {
		p.Until = o.Clock.Now().Add(retryPause)
		p.First, p.End, _ = t.Held()
		o.pending[t.Name] = p
	}
	if err != nil {
		o.Log.Warn().Str("target", t.Name).Err(err).Msg("order failed")
	}
}

func (o *Orderer) setCount(t cataloger.Target, orders uint64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[t.Name] = count{incarnation: t.Incarnation, orders: orders, known: known}
}

// expected returns how many placements the target has accepted; one that has just started without layers has accepted none.
func (o *Orderer) expected(ctx context.Context, t cataloger.Target) (uint64, error) {
	o.mu.Lock()
	c, ok := o.counts[t.Name]
	o.mu.Unlock()
	first, end, _ := t.Held()
	if ok && c.incarnation == t.Incarnation && c.known {
		return c.orders, nil
	}
	if (!ok || c.incarnation != t.Incarnation) && end <= first {
		return 0, nil
	}
	report, err := o.Report(ctx, t)
	if err != nil {
		return 0, err
	}
	o.setCount(t, report.Orders, true)
	return report.Orders, nil
}
