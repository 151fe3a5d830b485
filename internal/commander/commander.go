package commander

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const (
	defaultInterval      = time.Second
	defaultLeaseDuration = 15 * time.Second
	maxConcurrentCalls   = 16
	// rereadPeriod is longer than the lag of the reported holdings of a target.
	rereadPeriod = 30 * time.Second
)

// Lease is a view of the lease whose holder may send orders.
type Lease struct {
	// Fencing returns the number that each order carries; it grows with each holder.
	Fencing func() uint64
	// Remaining returns how long the lease is still held, by the monotonic clock.
	Remaining func() time.Duration
	// Valid reports whether the lease is held.
	Valid func() bool
}

// Commander carries out the plans of one model while it holds the model's lease.
type Commander struct {
	Clock timer.Clock
	Log   zerolog.Logger
	Store *storer.Store
	Lease Lease
	// LeaseDuration is the maximum time for which an earlier holder may still act as the holder of the lease.
	LeaseDuration time.Duration
	Timing        Timing
	// Interval is the time between rounds.
	Interval time.Duration
	// Model is the name of the model whose targets get orders.
	Model string
	// Targets returns the targets assigned to the model, as last reported.
	Targets func() []cataloger.Target
	// Plan returns the changes needed for the given targets.
	Plan func(ctx context.Context, targets []cataloger.Target) (planner.Placement, error)
	// SendOrder sends one order to the target at address.
	SendOrder func(ctx context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error)
	// Describe reads the state of the target at address.
	Describe func(ctx context.Context, address string) (*enginev1.DescribeResponse, error)
	// Observe is called with the outcome of each order; it may be nil.
	Observe func(Outcome)

	mu         sync.Mutex
	machine    *Machine
	recorder   recorder
	orderCount uint64
	// rereadUntil is the time until which a target is read in each round that has changes, as its reported holdings lag.
	rereadUntil map[string]time.Time
	// readAll is true after a takeover until all targets were read.
	readAll bool
}

// Outcome is the result of one order.
type Outcome struct {
	Change planner.Change
	// Verdict is VerdictSend for an order that was sent.
	Verdict Verdict
	// Accepted and Reason are the target's answer; Err is set if there was none.
	Accepted bool
	Reason   string
	Err      error
}

// Run sends orders while the lease is held, until ctx is done.
func (c *Commander) Run(ctx context.Context) error {
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	for ctx.Err() == nil {
		if err := c.Round(ctx); err != nil && ctx.Err() == nil {
			c.Log.Warn().Err(err).Str("model", c.Model).Msg("round of orders failed")
		}
		_ = c.Clock.Sleep(ctx, c.Interval)
	}
	return nil
}

// Round plans with the targets as last reported, reads those with changes, plans again, records the orders and sends those
// that may be sent now.
func (c *Commander) Round(ctx context.Context) error {
	c.prepare()
	if !c.Lease.Valid() {
		c.markLeaseLost()
		return nil
	}
	if err := c.takeOver(ctx); err != nil {
		return err
	}
	targets := slices.Clone(c.Targets())
	if !c.readAll {
		placement, err := c.Plan(ctx, targets)
		if err != nil {
			return errors.Wrap(err, "plan layer changes")
		}
		if len(placement.Changes) == 0 {
			return nil
		}
		c.scheduleReads(placement.Changes)
	}
	described := c.describeTargets(ctx, targets)
	c.readAll = false
	placement, err := c.Plan(ctx, targets)
	if err != nil {
		return errors.Wrap(err, "plan layer changes")
	}
	c.scheduleReads(placement.Changes)
	batches := c.sendableBatches(placement.Changes, targets, described)
	if len(batches) == 0 {
		return nil
	}
	if err := c.recordIntents(ctx, batches); err != nil {
		return err
	}
	c.sendBatches(ctx, batches)
	return nil
}

// scheduleReads marks the targets of the changes, which must be read before they get orders.
func (c *Commander) scheduleReads(changes []planner.Change) {
	now := c.Clock.Now()
	for name, until := range c.rereadUntil {
		if now.After(until) {
			delete(c.rereadUntil, name)
		}
	}
	for _, change := range changes {
		c.rereadUntil[change.Target] = now.Add(rereadPeriod)
	}
}

func (c *Commander) prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine != nil {
		return
	}
	if c.LeaseDuration <= 0 {
		c.LeaseDuration = defaultLeaseDuration
	}
	c.machine = NewMachine(c.Timing, c.LeaseDuration)
	c.recorder = recorder{store: c.Store, model: c.Model}
	c.rereadUntil = map[string]time.Time{}
}

func (c *Commander) markLeaseLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.LeaseLost()
}

// takeOver writes the fencing number into the record, once for each lease.
func (c *Commander) takeOver(ctx context.Context) error {
	fencing := c.Lease.Fencing()
	c.mu.Lock()
	current := c.machine.Fencing()
	c.mu.Unlock()
	if current == fencing {
		return nil
	}
	now := c.Clock.Now()
	hadHolder, err := c.recorder.takeOver(ctx, fencing)
	if err != nil {
		return err
	}
	c.readAll = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.LeaseAcquired(now, fencing, hadHolder)
	return nil
}

// describeTargets updates the holdings of the targets with current or recent changes, or of all after a takeover, and
// returns the names of those that answered. The others keep their last reported state, as the tracker decides whether they
// are lost.
func (c *Commander) describeTargets(ctx context.Context, targets []cataloger.Target) map[string]bool {
	answered := make([]bool, len(targets))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for i := range targets {
		if _, ok := c.rereadUntil[targets[i].Name]; !ok && !c.readAll {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answered[i] = c.describeTarget(ctx, &targets[i])
		})
	}
	group.Wait()
	described := map[string]bool{}
	for i, ok := range answered {
		if ok {
			described[targets[i].Name] = true
		}
	}
	return described
}

func (c *Commander) describeTarget(ctx context.Context, t *cataloger.Target) bool {
	callCtx, cancel := context.WithTimeout(ctx, DefaultOrderTimeout)
	defer cancel()
	d, err := c.Describe(callCtx, t.Address)
	if err != nil {
		return false
	}
	var holdings []cataloger.Holding
	for _, h := range d.Holdings {
		holdings = append(holdings, cataloger.Holding{
			Model: h.Model, Version: h.Version, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer, Adapters: h.Adapters, Ready: h.Ready,
		})
	}
	*t = t.WithHoldings(holdings)
	if d.Leaving {
		*t = t.WithState(cataloger.StateLeaving)
	}
	return true
}

// batch holds the orders for one target, in the order of sending.
type batch struct {
	target  cataloger.Target
	changes []planner.Change
	ids     []string
}

// sendableBatches returns the changes whose targets were read and may get orders now.
func (c *Commander) sendableBatches(changes []planner.Change, targets []cataloger.Target, described map[string]bool) []*batch {
	byName := make(map[string]cataloger.Target, len(targets))
	for _, t := range targets {
		byName[t.Name] = t
	}
	batches := map[string]*batch{}
	var out []*batch
	for _, change := range changes {
		t, ok := byName[change.Target]
		if !ok || !described[t.Name] {
			continue
		}
		b := batches[t.Name]
		if b == nil {
			if p := c.permit(t); p.Verdict != VerdictSend {
				c.observe(Outcome{Change: change, Verdict: p.Verdict})
				continue
			}
			b = &batch{target: t}
			batches[t.Name] = b
			out = append(out, b)
		}
		c.orderCount++
		b.changes = append(b.changes, change)
		b.ids = append(b.ids, fmt.Sprintf("%s-%d-%d", c.Model, c.Lease.Fencing(), c.orderCount))
	}
	return out
}

func (c *Commander) permit(t cataloger.Target) Permit {
	if !c.Lease.Valid() {
		return Permit{Verdict: VerdictNoLease}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Lease.Fencing() != c.machine.Fencing() {
		return Permit{Verdict: VerdictNoLease}
	}
	return c.machine.Permit(c.Clock.Now(), t.Name, t.ChecksFencing, c.Lease.Remaining())
}

func (c *Commander) recordIntents(ctx context.Context, batches []*batch) error {
	var intents []Intent
	for _, b := range batches {
		for i, change := range b.changes {
			intents = append(intents, newIntent(b.ids[i], change))
		}
	}
	err := c.recorder.recordIntents(ctx, intents)
	if errors.Is(err, errSuperseded) {
		c.markLeaseLost()
	}
	return err
}

func (c *Commander) sendBatches(ctx context.Context, batches []*batch) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, b := range batches {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.sendBatch(ctx, b)
		})
	}
	group.Wait()
}

// sendBatch sends a batch and stops at the first order that is not accepted; the next round reads the target again.
func (c *Commander) sendBatch(ctx context.Context, b *batch) {
	for i, change := range b.changes {
		o := c.permitAndSend(ctx, b.target, change, b.ids[i])
		c.observe(o)
		if !o.Accepted {
			return
		}
	}
}

func (c *Commander) permitAndSend(ctx context.Context, t cataloger.Target, change planner.Change, id string) Outcome {
	p := c.permit(t)
	if p.Verdict != VerdictSend {
		return Outcome{Change: change, Verdict: p.Verdict}
	}
	request := newOrderRequest(id, c.Lease.Fencing(), change, p.Timeout)
	c.mu.Lock()
	c.machine.OrderSent(t.Name, p)
	c.mu.Unlock()
	// The deadline counts from the permit, so that a process that was paused after it sends nothing.
	now := c.Clock.Now()
	if deadlinePassed(now, p.Deadline) || !c.Lease.Valid() {
		return Outcome{Change: change, Verdict: VerdictTooLate}
	}
	callCtx, cancel := context.WithTimeout(ctx, p.Deadline.Sub(now))
	defer cancel()
	resp, err := c.SendOrder(callCtx, t.Address, request)
	o := Outcome{Change: change, Verdict: VerdictSend, Err: err}
	if err != nil {
		return o
	}
	o.Accepted, o.Reason = resp.Accepted, resp.Reason
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.OrderAnswered(t.Name)
	if c.machine.ObserveFencing(resp.Fencing) {
		o.Accepted = false
		o.Reason = "a later holder of the lease has given orders"
	}
	return o
}

func (c *Commander) observe(o Outcome) {
	if c.Observe != nil {
		c.Observe(o)
	}
}

func newOrderRequest(id string, fencing uint64, c planner.Change, timeout time.Duration) *enginev1.OrderRequest {
	r := &enginev1.OrderRequest{
		OrderId: id, Fencing: fencing, Model: c.Holding.Model, Version: c.Holding.Version,
		FirstLayer: c.Holding.FirstLayer, EndLayer: c.Holding.EndLayer, Role: c.Role, Timeout: durationpb.New(timeout),
	}
	if len(c.Holding.Adapters) > 0 {
		r.Adapter = c.Holding.Adapters[0]
	}
	switch c.Kind {
	case planner.ChangeLoad:
		r.Action = enginev1.Action_ACTION_LOAD
	case planner.ChangeUnload:
		r.Action = enginev1.Action_ACTION_UNLOAD
	case planner.ChangeRole:
		r.Action = enginev1.Action_ACTION_CHANGE_ROLE
	}
	return r
}
