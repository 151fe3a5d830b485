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
	mostSends            = 16
	// readFor is longer than what is heard of a target lags.
	readFor = 30 * time.Second
)

// Lease is the view of the lease that gives the right to order.
type Lease struct {
	// Fencing is the number that rides on each order; it grows with each holder.
	Fencing func() uint64
	// Remaining is how long the lease is still held, by the monotonic clock.
	Remaining func() time.Duration
	// Valid tells whether the lease is held.
	Valid func() bool
}

// Commander carries out the plans of one model while it holds the model's lease.
type Commander struct {
	Clock timer.Clock
	Log   zerolog.Logger
	Store *storer.Store
	Lease Lease
	// LeaseDuration is the longest that an earlier holder may think it holds the lease.
	LeaseDuration time.Duration
	Timing        Timing
	// Interval is the time between rounds.
	Interval time.Duration
	// Model names the model whose targets are ordered.
	Model string
	// Targets returns the targets assigned to the model, as last heard of.
	Targets func() []cataloger.Target
	// Plan returns the changes that are wanted with the targets as just described.
	Plan func(ctx context.Context, targets []cataloger.Target) (planner.Placement, error)
	// Order sends one order to a target.
	SendOrder func(ctx context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error)
	// Describe reads the state of a target.
	Describe func(ctx context.Context, address string) (*enginev1.DescribeResponse, error)
	// Observe is called with the outcome of each order; nil where nobody listens.
	Observe func(Outcome)

	mu       sync.Mutex
	machine  *Machine
	recorder recorder
	orders   uint64
	// reading is until when a target is read in each round that has changes, as what is heard of it lags.
	reading map[string]time.Time
	// unread is true after a takeover until all targets were read.
	unread bool
}

// Outcome is what became of one order.
type Outcome struct {
	Change planner.Change
	// Verdict is VerdictSend for an order that was sent.
	Verdict Verdict
	// Accepted is the target's answer; Err is set where none came.
	Accepted bool
	Reason   string
	Err      error
}

// Run gives orders while the lease is held, until ctx is done.
func (c *Commander) Run(ctx context.Context) error {
	if c.Interval <= 0 {
		c.Interval = defaultInterval
	}
	for ctx.Err() == nil {
		if err := c.Round(ctx); err != nil && ctx.Err() == nil {
			c.Log.Warn().Err(err).Str("model", c.Model).Msg("orders not given")
		}
		_ = c.Clock.Sleep(ctx, c.Interval)
	}
	return nil
}

// Round plans with the targets as last heard of, reads those that are to change, plans again, records what is intended
// and sends the orders that may be sent now.
func (c *Commander) Round(ctx context.Context) error {
	c.prepare()
	if !c.Lease.Valid() {
		c.lost()
		return nil
	}
	if err := c.takeOver(ctx); err != nil {
		return err
	}
	targets := slices.Clone(c.Targets())
	if !c.unread {
		placement, err := c.Plan(ctx, targets)
		if err != nil {
			return errors.Wrap(err, "plan")
		}
		if len(placement.Changes) == 0 {
			return nil
		}
		c.readNext(placement.Changes)
	}
	read := c.describe(ctx, targets)
	c.unread = false
	placement, err := c.Plan(ctx, targets)
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	c.readNext(placement.Changes)
	byTarget := c.sendable(placement.Changes, targets, read)
	if len(byTarget) == 0 {
		return nil
	}
	if err := c.intend(ctx, byTarget); err != nil {
		return err
	}
	c.send(ctx, byTarget)
	return nil
}

// readNext notes that the targets of the changes must be read before they get orders.
func (c *Commander) readNext(changes []planner.Change) {
	now := c.Clock.Now()
	for name, until := range c.reading {
		if now.After(until) {
			delete(c.reading, name)
		}
	}
	for _, change := range changes {
		c.reading[change.Target] = now.Add(readFor)
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
	c.reading = map[string]time.Time{}
}

func (c *Commander) lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.LeaseLost()
}

// takeOver fences the record once for each lease.
func (c *Commander) takeOver(ctx context.Context) error {
	fencing := c.Lease.Fencing()
	c.mu.Lock()
	held := c.machine.Fencing()
	c.mu.Unlock()
	if held == fencing {
		return nil
	}
	now := c.Clock.Now()
	before, err := c.recorder.takeOver(ctx, fencing)
	if err != nil {
		return err
	}
	c.unread = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.LeaseAcquired(now, fencing, before)
	return nil
}

// describe reads into targets what those hold that are to change or were lately, or all after a takeover, and returns the
// names of those that answered. The others keep what was last heard of them, as the tracker decides whether they are lost.
func (c *Commander) describe(ctx context.Context, targets []cataloger.Target) map[string]bool {
	answered := make([]bool, len(targets))
	var group sync.WaitGroup
	slots := make(chan struct{}, mostSends)
	for i := range targets {
		if _, ok := c.reading[targets[i].Name]; !ok && !c.unread {
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answered[i] = c.describeOne(ctx, &targets[i])
		})
	}
	group.Wait()
	read := map[string]bool{}
	for i, ok := range answered {
		if ok {
			read[targets[i].Name] = true
		}
	}
	return read
}

func (c *Commander) describeOne(ctx context.Context, t *cataloger.Target) bool {
	callCtx, cancel := context.WithTimeout(ctx, DefaultOrderTimeout)
	defer cancel()
	d, err := c.Describe(callCtx, t.Address)
	if err != nil {
		return false
	}
	var hs []cataloger.Holding
	for _, h := range d.Holdings {
		hs = append(hs, cataloger.Holding{
			Model: h.Model, Version: h.Version, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer, Adapters: h.Adapters, Ready: h.Ready,
		})
	}
	*t = t.WithHoldings(hs)
	if d.Leaving {
		*t = t.WithState(cataloger.StateLeaving)
	}
	return true
}

// batch is the orders for one target, in order.
type batch struct {
	target  cataloger.Target
	changes []planner.Change
	ids     []string
}

// sendable returns the changes whose targets were read and may get orders now.
func (c *Commander) sendable(changes []planner.Change, targets []cataloger.Target, read map[string]bool) []*batch {
	byName := make(map[string]cataloger.Target, len(targets))
	for _, t := range targets {
		byName[t.Name] = t
	}
	batches := map[string]*batch{}
	var out []*batch
	for _, change := range changes {
		t, ok := byName[change.Target]
		if !ok || !read[t.Name] {
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
		c.orders++
		b.changes = append(b.changes, change)
		b.ids = append(b.ids, fmt.Sprintf("%s-%d-%d", c.Model, c.Lease.Fencing(), c.orders))
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

func (c *Commander) intend(ctx context.Context, batches []*batch) error {
	var intents []Intent
	for _, b := range batches {
		for i, change := range b.changes {
			intents = append(intents, intentOf(b.ids[i], change))
		}
	}
	err := c.recorder.intend(ctx, intents)
	if errors.Is(err, errSuperseded) {
		c.lost()
	}
	return err
}

func (c *Commander) send(ctx context.Context, batches []*batch) {
	var group sync.WaitGroup
	slots := make(chan struct{}, mostSends)
	for _, b := range batches {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			c.sendBatch(ctx, b)
		})
	}
	group.Wait()
}

// sendBatch stops at the first order that is not accepted; the next round reads the target again.
func (c *Commander) sendBatch(ctx context.Context, b *batch) {
	for i, change := range b.changes {
		o := c.sendOne(ctx, b.target, change, b.ids[i])
		c.observe(o)
		if !o.Accepted {
			return
		}
	}
}

func (c *Commander) sendOne(ctx context.Context, t cataloger.Target, change planner.Change, id string) Outcome {
	p := c.permit(t)
	if p.Verdict != VerdictSend {
		return Outcome{Change: change, Verdict: p.Verdict}
	}
	request := orderOf(id, c.Lease.Fencing(), change, p.Timeout)
	c.mu.Lock()
	c.machine.OrderSent(t.Name, p)
	c.mu.Unlock()
	// The deadline counts from the permit, so that a process that was paused after it does not send any more.
	now := c.Clock.Now()
	if over(now, p.Deadline) || !c.Lease.Valid() {
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

func orderOf(id string, fencing uint64, c planner.Change, timeout time.Duration) *enginev1.OrderRequest {
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
