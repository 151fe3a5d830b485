package forwarder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Preference is the standing of an instance for the next request.
type Preference struct {
	Target cataloger.Target
	// Cost is that of the next attempt; 1 is an idle instance that answers as usual.
	Cost float64
	// Outstanding is the number of requests in progress.
	Outstanding int
	// Allowed is true if the instance may get an attempt, and Preferred if it is one of those that are drawn from.
	Allowed, Preferred bool
	// Open is true while its breaker keeps attempts from the instance.
	Open bool
	// HeldBack is true if the instance gets an attempt only if no other may be tried.
	HeldBack bool
}

// Preferences returns the standing of instances for the next request, the best first, given the names of those that are held back. It
// changes nothing.
func (b *Balancer) Preferences(targets []cataloger.Target, heldBack []string) []Preference {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var out []Preference
	var candidates, others []cataloger.Target
	for _, t := range targets {
		state := b.peek(t.Name)
		p := Preference{Target: t, Outstanding: state.Outstanding(), Cost: state.performance.Cost(now, state.Outstanding()), Open: !state.Allows(now)}
		p.Allowed, p.HeldBack = t.State == cataloger.StateLive && !p.Open, slices.Contains(heldBack, t.Name)
		switch {
		case p.Allowed && p.HeldBack:
			others = append(others, t)
		case p.Allowed:
			candidates = append(candidates, t)
		}
		out = append(out, p)
	}
	if len(candidates) == 0 {
		candidates = others
	}
	_, lowest := b.costs(candidates, now)
	for i := range out {
		isCandidate := slices.ContainsFunc(candidates, func(t cataloger.Target) bool { return t.Name == out[i].Target.Name })
		out[i].Preferred = isCandidate && out[i].Cost <= costTolerance*lowest
	}
	slices.SortStableFunc(out, func(x, y Preference) int {
		return cmp.Or(cmp.Compare(boolToInt(y.Allowed), boolToInt(x.Allowed)), cmp.Compare(boolToInt(x.HeldBack), boolToInt(y.HeldBack)),
			cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.Target.Name, y.Target.Name))
	})
	return out
}

// costs returns the costs of targets and the lowest of them; the caller holds mu.
func (b *Balancer) costs(targets []cataloger.Target, now time.Time) (costs []float64, lowest float64) {
	costs, lowest = make([]float64, len(targets)), math.Inf(1)
	for i, t := range targets {
		state := b.peek(t.Name)
		costs[i] = state.performance.Cost(now, state.Outstanding())
		lowest = min(lowest, costs[i])
	}
	return costs, lowest
}

// peek returns the state of an instance, which is that of a new one if there is none; the caller holds mu.
func (b *Balancer) peek(name string) *instanceState {
	if state, ok := b.instances[name]; ok {
		return state
	}
	return &instanceState{}
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
