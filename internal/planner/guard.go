package planner

import (
	"fmt"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// loadMargin is the headroom that the bound keeps above the offered load, as a share of that load.
const loadMargin = 0.05

// verify recomputes the bound with the links included, and drops steps from the end until the bound stays high enough.
func (t *transition) verify(taken []step) (kept []step, rejected []int) {
	for {
		last := -1
		touched := map[int]bool{}
		for i, st := range taken {
			if dropsReadyLayers(st) {
				last = i
				touched[t.groupOf[st.target]] = true
			}
		}
		if last < 0 || t.currentBound <= 0 {
			return taken, rejected
		}
		after := t.currentBound
		reduced := t.withoutDrops(taken)
		for g := range touched {
			after += reduced.solveBound(t.groups[g]) - t.s.solveBound(t.groups[g])
		}
		if t.boundAcceptable(after, t.currentBound) {
			return taken, rejected
		}
		t.recordBlocked(taken[last], t.currentBound, after)
		rejected = append(rejected, taken[last].target)
		taken = slices.Delete(taken, last, last+1)
	}
}

// withoutDrops returns the state without the holdings that the steps drop.
func (t *transition) withoutDrops(taken []step) State {
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

// boundAcceptable reports whether the bound may change from before to after.
func (t *transition) boundAcceptable(after, before float64) bool {
	if after >= before*(1-boundSlack) {
		return true
	}
	return !t.s.LoadUnknown && after > 0 && after >= t.s.OfferedLoad*(1+loadMargin)
}

func (t *transition) recordBlocked(st step, before, after float64) {
	offered := fmt.Sprintf("%.0f are offered", t.s.OfferedLoad)
	if t.s.LoadUnknown {
		offered = "the offered load is not known yet"
	}
	t.blocked = fmt.Sprintf("a change on %s would take the bound from %.0f to %.0f tokens a second, and %s",
		t.s.Targets[st.target].Name, before, after, offered)
}

// boundLoss returns by how much a step's drops lower the bound if links are free.
func (t *transition) boundLoss(st step) float64 {
	loss := 0.0
	g, rate := t.groupOf[st.target], t.s.rate(t.s.Targets[st.target])
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
	return t.loads == 0 || t.bytes+float64(t.bytesToPull(st)) <= p.bytes()
}

// tryDrop removes the holdings that a step drops from the ready coverage, unless the bound would fall below the offered
// load. It returns whether it did.
func (t *transition) tryDrop(st step) bool {
	before := t.totalBound()
	g, rate := t.groupOf[st.target], t.s.rate(t.s.Targets[st.target])
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
	after := t.totalBound() * t.linkFactor
	if before <= 0 || t.boundAcceptable(after, before*t.linkFactor) {
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
	t.recordBlocked(st, before*t.linkFactor, after)
	return false
}
