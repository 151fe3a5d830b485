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
	// reconcileInterval is the time between two checks of the placement.
	reconcileInterval = 150 * time.Millisecond
	// settleTime is how long the list of targets must be unchanged before layers are placed on a fleet that holds none.
	settleTime = 700 * time.Millisecond
	// spareFactor is the ratio of the layers that fit to the layers of the model below which less memory is kept for requests.
	spareFactor = 1.2
	// orderTimeout bounds sending one order.
	orderTimeout = time.Second
	// maxListingDelay is the maximum time from the end of a load until the platform's list shows it.
	maxListingDelay = 4 * time.Second
	// maxHandoffTime is the maximum time a target waits for the requests that use the layers it releases.
	maxHandoffTime = 10 * time.Second
	// moveDelay is how long a gap must last before targets that hold other layers are moved into it. It is urgentMoveDelay
	// while some layers are held nowhere, as nothing is served then.
	moveDelay       = 1500 * time.Millisecond
	urgentMoveDelay = 300 * time.Millisecond
	// maxStartOrders is the maximum number of pending orders while a large fleet, one of more targets than this, starts. Loads share
	// the bandwidth of the store of weights: if all ran at once, none would end before most of that time has passed.
	maxStartOrders = 256
	// maxOrdersAtOnce bounds the orders of one check of a large fleet, as each needs a connection.
	maxOrdersAtOnce = 64
	// In a large fleet in use, targets without layers stay so while each of the layers that one would load has spareHolders others and
	// less than spareFill of the room for requests is used, as loads take bandwidth from the store of weights.
	spareHolders = 64
	spareFill    = 0.4
	// fillInterval is the time between two looks at the used room.
	fillInterval = time.Second
	// retryDelay is the time after a failed order until the target may receive another one.
	retryDelay = 500 * time.Millisecond
)

// Placement is an order to hold the layers [First,End).
type Placement struct {
	First uint32
	End   uint32
	// Expected is how many placements the target has accepted so far; a target with another count refuses the order.
	Expected uint64
}

// Result is the result of an order.
type Result int

// Results of an order.
const (
	// Loading says that the target has started to load the layers.
	Loading Result = iota + 1
	// Held says that the target already holds the layers.
	Held
	// Conflict says that the target is busy, or has accepted a number of placements other than Expected.
	Conflict
	// Unknown says that the order was not answered and may be carried out later.
	Unknown
)

// Pending is an order whose result the platform's list does not show yet.
type Pending struct {
	Target      string
	Incarnation uint64
	First       uint32
	End         uint32
	// At is when the order was issued, and Until when it counts as failed.
	At    time.Time
	Until time.Time
}

// orderCount is how many placements an incarnation of a target has accepted; it is unknown unless valid.
type orderCount struct {
	incarnation uint64
	orders      uint64
	valid       bool
}

// Orderer decides on and sends orders while this daemon holds the duty; set its exported fields before Run.
type Orderer struct {
	Targets *assessor.Assessor
	// Services returns the services in force.
	Services func() []matcher.Service
	// HoldsDuty reports whether this daemon holds the duty at this moment.
	HoldsDuty func() bool
	// FirstStart is true if the whole fleet starts for the first time, before any request.
	FirstStart bool
	// Fill returns the used share of the room of a service for requests, at the layer that has least room.
	Fill func(s matcher.Service) float64
	// Place sends an order to a target.
	Place func(ctx context.Context, target cataloger.Target, p Placement) (Result, error)
	// Report asks a target for its state.
	Report func(ctx context.Context, target cataloger.Target) (relayer.Report, error)
	Clock  timer.Clock
	Log    zerolog.Logger

	mu      sync.Mutex
	pending map[string]Pending
	counts  map[string]orderCount
	// lastTargets are the targets of each service at the last check, and lastChanged is when they last changed.
	lastTargets map[string][]string
	lastChanged map[string]time.Time
	// gaps is when each gap in the placement of each service was first found.
	gaps map[string]map[placer.Gap]time.Time
	// used is true once this daemon has sent a request to any target; only Run uses it.
	used bool
	// fills is the used room of each service at the last look; only Run uses it.
	fills map[string]fillLook
}

// fillLook is the used share of the room for requests at a time.
type fillLook struct {
	fill float64
	at   time.Time
}

// New returns an orderer that has issued no orders.
func New(targets *assessor.Assessor, clock timer.Clock) *Orderer {
	return &Orderer{
		Targets: targets, Clock: clock, Log: zerolog.Nop(),
		pending: map[string]Pending{}, counts: map[string]orderCount{}, lastTargets: map[string][]string{}, lastChanged: map[string]time.Time{},
		gaps: map[string]map[placer.Gap]time.Time{}, Fill: func(matcher.Service) float64 { return 1 }, fills: map[string]fillLook{},
	}
}

// Run places layers until ctx is done, and returns nil.
func (o *Orderer) Run(ctx context.Context) error {
	for o.Clock.Sleep(ctx, reconcileInterval) == nil {
		for _, s := range o.Services() {
			if s.Engine != nil && s.Engine.Layers > 0 {
				o.reconcile(ctx, s)
			}
		}
	}
	return nil
}

// Pending returns the orders that are not listed yet, including those of earlier holders of the duty.
func (o *Orderer) Pending() []Pending {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Pending
	for _, p := range o.pending {
		out = append(out, p)
	}
	return out
}

// MergePending adds a pending order of another daemon, so that a successor does not send it again.
func (o *Orderer) MergePending(p Pending) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if current, ok := o.pending[p.Target]; !ok || p.At.After(current.At) {
		o.pending[p.Target] = p
	}
}

// reconcile compares the listed layers of a service with its placement and issues the orders that are due.
func (o *Orderer) reconcile(ctx context.Context, s matcher.Service) {
	now := o.Clock.Now()
	o.removeFinished(now)
	if !o.HoldsDuty() {
		return
	}
	views := o.Targets.Service(s.Name)
	o.used = o.used || slices.ContainsFunc(views, func(v assessor.View) bool { return v.Requests > 0 })
	if !o.settled(s.Name, views, now) {
		return
	}
	problem := o.buildProblem(s.Engine, views)
	o.recordGaps(s.Name, problem, now)
	problem.KeepHeld = true
	moves := o.withoutSpares(s, problem, problem.NextMoves(o.maxNewOrders(s.Engine, views)), now)
	if len(moves) == 0 {
		problem.KeepHeld = false
		wait := moveDelay
		if !problem.Complete() {
			wait = urgentMoveDelay
		}
		moves = o.withoutSpares(s, problem, o.overdueMoves(s.Name, problem, now, wait), now)
	}
	if len(moves) == 0 {
		return
	}
	targets := make(map[string]cataloger.Target, len(views))
	for _, v := range views {
		targets[v.Name] = v.Target
	}
	for _, m := range moves {
		o.issueOrder(ctx, s.Engine, targets[m.Target], m)
	}
}

// starting reports whether the fleet starts for the first time and has had no request yet: loads are fast then.
func (o *Orderer) starting() bool { return o.FirstStart && !o.used }

// withoutSpares drops the moves that a large fleet in use has no need of.
func (o *Orderer) withoutSpares(s matcher.Service, p placer.Problem, moves []placer.Move, now time.Time) []placer.Move {
	if len(p.Targets) <= maxStartOrders || len(moves) == 0 || o.starting() {
		return moves
	}
	holders, dataCentres := p.Holders(), map[string]cataloger.DataCentre{}
	for _, t := range p.Targets {
		dataCentres[t.Name] = t.DataCentre
	}
	needed := slices.DeleteFunc(slices.Clone(moves), func(m placer.Move) bool {
		for layer := m.First; layer < m.End; layer++ {
			if _, gap := o.gaps[s.Name][placer.Gap{DataCentre: dataCentres[m.Target], Layer: layer}]; gap || holders[layer] < spareHolders {
				return false
			}
		}
		return true
	})
	if len(needed) == len(moves) || o.fill(s, now) >= spareFill {
		return moves
	}
	return needed
}

// fill returns the used share of the room of a service for requests at the last look.
func (o *Orderer) fill(s matcher.Service, now time.Time) float64 {
	look, ok := o.fills[s.Name]
	if !ok || now.Sub(look.at) >= fillInterval {
		look = fillLook{fill: o.Fill(s), at: now}
		o.fills[s.Name] = look
	}
	return look.fill
}

// recordGaps records which layers are not held where they should be, and since when.
func (o *Orderer) recordGaps(service string, p placer.Problem, now time.Time) {
	since := map[placer.Gap]time.Time{}
	for gap := range p.Gaps() {
		since[gap] = now
		if at, ok := o.gaps[service][gap]; ok {
			since[gap] = at
		}
	}
	o.gaps[service] = since
}

// overdueMoves returns the moves of targets that hold layers into gaps that have lasted for at least wait. Until then a replacement
// may start, or a suspected target may answer again.
func (o *Orderer) overdueMoves(service string, p placer.Problem, now time.Time, wait time.Duration) []placer.Move {
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

// settled reports whether the list of targets is stable, or layers are already held.
func (o *Orderer) settled(service string, views []assessor.View, now time.Time) bool {
	names := make([]string, 0, len(views))
	holds := false
	for _, v := range views {
		names = append(names, v.Name)
		first, end, _ := v.ReadyLayers()
		holds = holds || end > first
	}
	if !slices.Equal(names, o.lastTargets[service]) {
		o.lastTargets[service], o.lastChanged[service] = names, now
	}
	return len(names) > 0 && (holds || now.Sub(o.lastChanged[service]) >= settleTime)
}

// removeFinished removes pending orders that the list shows, that failed, or whose target has restarted.
func (o *Orderer) removeFinished(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, p := range o.pending {
		v, ok := o.Targets.Get(name)
		first, end, _ := v.ReadyLayers()
		if now.After(p.Until) || ok && (p.Incarnation != v.Incarnation || first == p.First && end == p.End) {
			delete(o.pending, name)
		}
	}
}

// maxNewOrders returns how many orders may be issued now; 0 is no limit. Loads before the first request are fast, so more of them
// may run then.
func (o *Orderer) maxNewOrders(e *matcher.Engine, views []assessor.View) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit, large := e.MaxConcurrentLoads, len(views) > maxStartOrders
	holds := slices.ContainsFunc(views, func(v assessor.View) bool {
		first, end, _ := v.ReadyLayers()
		return end > first
	})
	switch {
	case large && (limit == 0 || o.starting()):
		limit = maxStartOrders
	case !large && !holds || limit == 0:
		return 0
	}
	limit = max(limit-len(o.pending), 1)
	if large {
		limit = min(limit, maxOrdersAtOnce)
	}
	return limit
}

// buildProblem returns the current placement, with pending orders counted as done.
func (o *Orderer) buildProblem(e *matcher.Engine, views []assessor.View) placer.Problem {
	o.mu.Lock()
	defer o.mu.Unlock()
	reserve := reserveByDataCentre(e, views)
	p := placer.Problem{Layers: e.Layers, SlowPipes: placer.SlowPipes(e)}
	for _, v := range views {
		t := placer.Target{Name: v.Name, DataCentre: v.DataCentre, Leaving: !v.Usable()}
		t.Capacity = placer.MemoryOf(e, v.Kind).Capacity(reserve(v.DataCentre))
		t.First, t.End, _ = v.ReadyLayers()
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

// reserveByDataCentre returns a function that returns for how many tokens the targets of a data centre keep memory. Where pipes
// are slow, these are fewer than elsewhere if that lets the data centre hold the whole model.
func reserveByDataCentre(e *matcher.Engine, views []assessor.View) func(dc cataloger.DataCentre) float64 {
	usual := fleetReserve(e, views)
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
		if tokens, fits := placer.ReserveFor(e, list); fits {
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

// fleetReserve returns for how many tokens each target keeps memory: fewer if the model would not fit otherwise.
func fleetReserve(e *matcher.Engine, views []assessor.View) float64 {
	reserve := placer.Reserve(e)
	for ; reserve > 1; reserve /= 2 {
		total := 0.0
		for _, v := range views {
			total += float64(placer.MemoryOf(e, v.Kind).Capacity(reserve))
		}
		if total >= spareFactor*float64(e.Layers) {
			break
		}
	}
	return reserve
}

// issueOrder records an order as pending and sends it.
func (o *Orderer) issueOrder(ctx context.Context, e *matcher.Engine, t cataloger.Target, m placer.Move) {
	now := o.Clock.Now()
	wait := maxListingDelay
	if first, end, _ := t.ReadyLayers(); end > first {
		wait += maxHandoffTime
	}
	o.mu.Lock()
	o.pending[t.Name] = Pending{
		Target: t.Name, Incarnation: t.Incarnation, First: m.First, End: m.End,
		At: now, Until: now.Add(o.estimateLoadTime(e, m) + wait),
	}
	o.mu.Unlock()
	go o.sendOrder(ctx, t, m)
}

// estimateLoadTime estimates how long a load takes alongside those in progress; the caller holds mu.
func (o *Orderer) estimateLoadTime(e *matcher.Engine, m placer.Move) time.Duration {
	d := e.LoadTime.Seconds() * float64(m.End-m.First) / float64(max(e.Layers, 1))
	if e.MaxConcurrentLoads > 0 {
		d *= max(1, float64(len(o.pending)+1)/float64(e.MaxConcurrentLoads))
	}
	return time.Duration(d * float64(time.Second))
}

// sendOrder sends an order; the target refuses it if it has accepted another one in the meantime.
func (o *Orderer) sendOrder(ctx context.Context, t cataloger.Target, m placer.Move) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	expected, err := o.expected(ctx, t)
	if err != nil {
		o.recordFailure(t, err)
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
		// The target may have accepted this order, a late one, or none; its report shows which.
		o.setCount(t, 0, false)
		if result == Conflict {
			o.recordFailure(t, err)
		}
	}
}

// recordFailure lets a target receive another order after retryDelay.
func (o *Orderer) recordFailure(t cataloger.Target, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pending[t.Name]; ok && p.Incarnation == t.Incarnation {
		p.Until = o.Clock.Now().Add(retryDelay)
		p.First, p.End, _ = t.ReadyLayers()
		o.pending[t.Name] = p
	}
	if err != nil {
		o.Log.Warn().Str("target", t.Name).Err(err).Msg("order to target failed")
	}
}

func (o *Orderer) setCount(t cataloger.Target, orders uint64, valid bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[t.Name] = orderCount{incarnation: t.Incarnation, orders: orders, valid: valid}
}

// expected returns how many placements the target has accepted; one that has just started without layers has accepted none. It
// fails if the count is unknown and the target does not report it.
func (o *Orderer) expected(ctx context.Context, t cataloger.Target) (uint64, error) {
	o.mu.Lock()
	c, ok := o.counts[t.Name]
	o.mu.Unlock()
	first, end, _ := t.ReadyLayers()
	if ok && c.incarnation == t.Incarnation && c.valid {
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
