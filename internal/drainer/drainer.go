package drainer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/timer"
)

const (
	pollInterval = 20 * time.Millisecond
	// announceTimeout is the timeout of announcing the shutdown to the other daemons.
	announceTimeout = 2 * time.Second
)

// HandOver hands over one duty of a daemon.
type HandOver struct {
	Name string
	Run  func(ctx context.Context) error
}

// Count is the number of requests of one kind.
type Count struct {
	Kind     string
	Requests int
}

// Drainer shuts a daemon down; set the exported fields before Run.
type Drainer struct {
	Limits Limits
	// Announce announces the shutdown to the other daemons, so that answers to Resolve no longer name this one.
	Announce func(ctx context.Context) error
	// HandOvers run one after the other, within Limits.HandOver in total; one that fails does not stop the next.
	HandOvers []HandOver
	// InProgress returns the number of requests in progress by kind.
	InProgress func() []Count
	// Move asks the requests in progress that can do so to continue on another daemon; may be nil.
	Move  func(ctx context.Context)
	Clock timer.Clock
	Log   zerolog.Logger

	mu          sync.Mutex
	state       State
	requested   bool
	forced      bool
	handedOver  bool
	finishLimit time.Duration
	signals     int
}

// Drain requests a shutdown; a finish above 0 replaces Limits.Finish.
func (d *Drainer) Drain(finish time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested = true
	if finish > 0 {
		d.finishLimit = finish
	}
}

// HandleSignal handles a termination signal and returns a line for the operator: the first signal drains, the second lists what a third
// would cut, the third cuts.
func (d *Drainer) HandleSignal() string {
	d.mu.Lock()
	d.signals++
	signals := d.signals
	d.requested = true
	d.forced = d.forced || signals > 2
	d.mu.Unlock()
	counts := formatCounts(d.counts())
	switch signals {
	case 1:
		return "draining; in progress: " + counts
	case 2:
		return "still draining; another signal would cut: " + counts
	}
	return "cut: " + counts
}

// Phase returns the current phase of the shutdown.
func (d *Drainer) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Phase == "" {
		return Serving
	}
	return d.state.Phase
}

// Accepts reports whether new work is accepted.
func (d *Drainer) Accepts() bool {
	phase := d.Phase()
	return phase == Serving || phase == Announced
}

// Run waits for a shutdown to be requested and carries it out; it returns the last state, and the error of ctx if that ends first.
func (d *Drainer) Run(ctx context.Context) (State, error) {
	d.mu.Lock()
	d.state = NewState(d.clock().Now())
	d.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		before, after := d.advance()
		for _, phase := range phasesBetween(before.Phase, after.Phase) {
			d.startPhase(ctx, &wg, phase)
		}
		if after.Phase == Done {
			return after, nil
		}
		if err := d.clock().Sleep(ctx, pollInterval); err != nil {
			return after, err
		}
	}
}

func (d *Drainer) clock() timer.Clock {
	if d.Clock == nil {
		return timer.System{}
	}
	return d.Clock
}

func (d *Drainer) counts() []Count {
	if d.InProgress == nil {
		return nil
	}
	return d.InProgress()
}

func (d *Drainer) advance() (before, after State) {
	inProgress := 0
	for _, c := range d.counts() {
		inProgress += c.Requests
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before = d.state
	limits := d.Limits
	if d.finishLimit > 0 {
		limits.Finish = d.finishLimit
	}
	event := Event{Drain: d.requested, HandedOver: d.handedOver, InProgress: inProgress, Force: d.forced}
	d.state = d.state.Next(d.clock().Now(), event, limits)
	return before, d.state
}

// phasesBetween returns the phases after first, up to and including last.
func phasesBetween(first, last Phase) []Phase {
	order := []Phase{Serving, Announced, Refusing, Finishing, Done}
	var out []Phase
	reached := false
	for _, p := range order {
		if reached {
			out = append(out, p)
		}
		if p == last {
			break
		}
		reached = reached || p == first
	}
	if first == last {
		return nil
	}
	return out
}

func (d *Drainer) startPhase(ctx context.Context, wg *sync.WaitGroup, phase Phase) {
	d.Log.Info().Str("phase", string(phase)).Str("in-progress", formatCounts(d.counts())).Msg("shutdown phase started")
	switch phase {
	case Announced:
		wg.Go(func() { d.announce(ctx) })
	case Refusing:
		wg.Go(func() { d.handOver(ctx) })
	case Finishing:
		if d.Move != nil {
			wg.Go(func() { d.Move(ctx) })
		}
	}
}

func (d *Drainer) announce(ctx context.Context) {
	if d.Announce == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.Announce(ctx); err != nil {
		d.Log.Error().Err(err).Msg("failed to announce shutdown; other daemons will detect it themselves")
	}
}

func (d *Drainer) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Limits.HandOver)
	defer cancel()
	for _, h := range d.HandOvers {
		if err := h.Run(ctx); err != nil {
			d.Log.Error().Err(err).Str("duty", h.Name).Msg("failed to hand over duty; its lease must expire first")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handedOver = true
}

// formatCounts formats the counts above 0 for log lines and operators.
func formatCounts(counts []Count) string {
	var parts []string
	for _, c := range counts {
		if c.Requests > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", c.Requests, c.Kind))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
