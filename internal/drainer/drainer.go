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
	step = 20 * time.Millisecond
	// announceTimeout bounds telling the other daemons.
	announceTimeout = 2 * time.Second
)

// HandOver is one duty that a daemon gives up.
type HandOver struct {
	Name string
	Run  func(ctx context.Context) error
}

// Count is a number of requests of one kind.
type Count struct {
	Kind     string
	Requests int
}

// Drainer shuts a daemon down; set the exported fields before Run.
type Drainer struct {
	Limits Limits
	// Announce tells the other daemons, so that Resolve no longer names this one.
	Announce func(ctx context.Context) error
	// HandOvers run one after the other, within Limits.HandOver together; one that fails does not stop the next.
	HandOvers []HandOver
	// InProgress counts what is running, by kind.
	InProgress func() []Count
	// Move asks the requests in progress to go on elsewhere where they can; may be nil.
	Move  func(ctx context.Context)
	Clock timer.Clock
	Log   zerolog.Logger

	mu         sync.Mutex
	state      State
	asked      bool
	forced     bool
	handedOver bool
	finish     time.Duration
	signals    int
}

// Drain asks for a shutdown; a finish above 0 replaces the bound on the wait for requests in progress.
func (d *Drainer) Drain(finish time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = true
	if finish > 0 {
		d.finish = finish
	}
}

// Signal takes a signal to end: the first drains, the second says what a third would cut, the third cuts.
func (d *Drainer) Signal() string {
	d.mu.Lock()
	d.signals++
	signals := d.signals
	d.asked = true
	d.forced = d.forced || signals > 2
	d.mu.Unlock()
	counts := describe(d.counts())
	switch signals {
	case 1:
		return "draining; in progress: " + counts
	case 2:
		return "still draining; another signal would cut: " + counts
	}
	return "cut: " + counts
}

// Phase returns how far the shutdown has come.
func (d *Drainer) Phase() Phase {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state.Phase == "" {
		return Serving
	}
	return d.state.Phase
}

// Accepts tells whether new work is taken.
func (d *Drainer) Accepts() bool {
	phase := d.Phase()
	return phase == Serving || phase == Announced
}

// Run waits for a shutdown to be asked for and carries it through; it returns the last state, or the error of ctx.
func (d *Drainer) Run(ctx context.Context) (State, error) {
	d.mu.Lock()
	d.state = NewState(d.clock().Now())
	d.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		before, after := d.step()
		for _, phase := range passed(before.Phase, after.Phase) {
			d.enter(ctx, &wg, phase)
		}
		if after.Phase == Done {
			return after, nil
		}
		if err := d.clock().Sleep(ctx, step); err != nil {
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

func (d *Drainer) step() (before, after State) {
	inProgress := 0
	for _, c := range d.counts() {
		inProgress += c.Requests
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before = d.state
	limits := d.Limits
	if d.finish > 0 {
		limits.Finish = d.finish
	}
	event := Event{Drain: d.asked, HandedOver: d.handedOver, InProgress: inProgress, Force: d.forced}
	d.state = d.state.Next(d.clock().Now(), event, limits)
	return before, d.state
}

// passed returns the phases after the first up to the last.
func passed(first, last Phase) []Phase {
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

func (d *Drainer) enter(ctx context.Context, wg *sync.WaitGroup, phase Phase) {
	d.Log.Info().Str("phase", string(phase)).Str("in-progress", describe(d.counts())).Msg("shutdown")
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
		d.Log.Error().Err(err).Msg("shutdown not announced; other daemons find out by themselves")
	}
}

func (d *Drainer) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.Limits.HandOver)
	defer cancel()
	for _, h := range d.HandOvers {
		if err := h.Run(ctx); err != nil {
			d.Log.Error().Err(err).Str("duty", h.Name).Msg("duty not handed over; its lease has to lapse")
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handedOver = true
}

// describe lists counts for people.
func describe(counts []Count) string {
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
