package planner

import (
	"fmt"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// margin is the share of the offered load that the bound is kept above it.
const margin = 0.05

// verify works the bound out over the links as well, and leaves out the last steps that would take it too low.
func (t *transition) verify(taken []step) (left []step, rejected []int) {
	for {
		last := -1
		touched := map[int]bool{}
		for i, st := range taken {
			if dropsReady(st) {
				last = i
				touched[t.of[st.target]] = true
			}
		}
		if last < 0 || t.before <= 0 {
			return taken, rejected
		}
		after := t.before
		rest := t.without(taken)
		for g := range touched {
			after += rest.solve(t.groups[g]) - t.s.solve(t.groups[g])
		}
		if t.enough(after, t.before) {
			return taken, rejected
		}
		t.block(taken[last], t.before, after)
		rejected = append(rejected, taken[last].target)
		taken = slices.Delete(taken, last, last+1)
	}
}

// without returns the state without what the steps drop.
func (t *transition) without(taken []step) State {
	s := t.s
	s.Targets = slices.Clone(s.Targets)
	for _, st := range taken {
		target := &s.Targets[st.target]
		target.Holdings = slices.DeleteFunc(slices.Clone(target.Holdings), func(h cataloger.Holding) bool {
			return slices.ContainsFunc(st.drop, func(d held) bool {
				return h.Model == s.Model.Name && h.Version == d.version && h.FirstLayer >= d.span.first && h.EndLayer <= d.span.end
			})
		})
	}
	return s
}

// enough tells whether the bound may fall from before to after.
func (t *transition) enough(after, before float64) bool {
	return after > 0 && after >= t.s.OfferedLoad*(1+margin) || after >= before*(1-boundSlack)
}

func (t *transition) block(st step, before, after float64) {
	t.blocked = fmt.Sprintf("a change on %s would take the bound from %.0f to %.0f tokens a second, and %.0f are offered",
		t.s.Targets[st.target].Name, before, after, t.s.OfferedLoad)
}

// lossOf is by how much the bound falls at once, were links free.
func (t *transition) lossOf(st step) float64 {
	loss := 0.0
	g, rate := t.of[st.target], t.s.rate(t.s.Targets[st.target])
	for _, h := range st.drop {
		if !h.ready {
			continue
		}
		key := readyKey{h.version, g}
		t.ready[key].add(h.span.first, h.span.end, -rate)
		loss += t.bound[key] - t.ready[key].bound()
		t.ready[key].add(h.span.first, h.span.end, rate)
	}
	return loss
}

func (t *transition) paceAllows(st step) bool {
	p := t.s.Pace
	if t.loads >= p.MaxLoads || st.moving && (t.moves >= p.MaxMoves || t.loads >= p.MaxMoves) {
		return false
	}
	return t.loads == 0 || t.bytes+float64(t.bytesOf(st)) <= p.bytes()
}

// dropAllowed takes the holdings of a step out of what is ready, if the bound stays above the offered load.
func (t *transition) dropAllowed(st step) bool {
	before := t.sum()
	g, rate := t.of[st.target], t.s.rate(t.s.Targets[st.target])
	undo := map[readyKey]float64{}
	for _, h := range st.drop {
		if !h.ready {
			continue
		}
		key := readyKey{h.version, g}
		t.ready[key].add(h.span.first, h.span.end, -rate)
		if _, ok := undo[key]; !ok {
			undo[key] = t.bound[key]
		}
		t.bound[key] = t.ready[key].bound()
	}
	after := t.sum() * t.factor
	if before <= 0 || t.enough(after, before*t.factor) {
		return true
	}
	for key, b := range undo {
		t.bound[key] = b
	}
	for _, h := range st.drop {
		if h.ready {
			t.ready[readyKey{h.version, g}].add(h.span.first, h.span.end, rate)
		}
	}
	t.block(st, before*t.factor, after)
	return false
}
