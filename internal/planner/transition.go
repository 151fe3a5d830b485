package planner

import (
	"slices"
)

// transition leads from what targets hold to what they are meant to hold, within the pace and above the offered load.
type transition struct {
	s      State
	groups []group
	of     []int // group of each target, -1 for none
	wanted []span
	// ready is what is held ready by version and group.
	ready map[readyKey]*coverage
	bound map[readyKey]float64
	// before is the max-flow bound, factor the part of the bound with free links that it is.
	before, factor float64
	// pulled is what is held or pulled of the wanted version in each group, by layer.
	pulled  [][]bool
	loads   int
	bytes   float64
	moves   int
	blocked string
	// rejected are the targets whose steps max-flow ruled out; those of banned were ruled out before and are not tried.
	rejected []int
	banned   map[int]bool
}

type readyKey struct {
	version string
	group   int
}

func newTransition(s State, all []group, wanted []span, bound float64) *transition {
	t := &transition{
		s: s, groups: all, wanted: wanted, of: make([]int, len(s.Targets)), before: bound, factor: 1,
		ready: map[readyKey]*coverage{}, bound: map[readyKey]float64{}, pulled: make([][]bool, len(all)),
	}
	for i := range t.of {
		t.of[i] = -1
	}
	for g, group := range all {
		t.pulled[g] = make([]bool, s.Model.Layers)
		for _, member := range group.members {
			t.of[member] = g
			t.note(g, member)
		}
	}
	for key, c := range t.ready {
		t.bound[key] = c.bound()
	}
	if sum := t.sum(); sum > 0 {
		t.factor = min(1, bound/sum)
	}
	return t
}

// note counts what a target holds and pulls.
func (t *transition) note(g, member int) {
	target := t.s.Targets[member]
	pulling := false
	for _, h := range holdings(t.s.Model, target) {
		if h.ready {
			t.readyAt(readyKey{h.version, g}).add(h.span.first, h.span.end, t.s.rate(target))
		} else {
			pulling = true
			t.bytes += float64(h.span.layers()) * float64(t.s.Model.LayerBytes)
		}
		if h.version == t.s.Model.Version {
			t.markPulled(g, h.span)
		}
	}
	if pulling {
		t.loads++
	}
}

func (t *transition) markPulled(g int, s span) {
	for l := s.first; l < s.end; l++ {
		t.pulled[g][l] = true
	}
}

func (t *transition) readyAt(key readyKey) *coverage {
	if c := t.ready[key]; c != nil {
		return c
	}
	cuts := []uint32{0, t.s.Model.Layers}
	for _, member := range t.groups[key.group].members {
		for _, h := range holdings(t.s.Model, t.s.Targets[member]) {
			cuts = append(cuts, h.span.first, h.span.end)
		}
	}
	slices.Sort(cuts)
	c := newCoverage(slices.Compact(cuts))
	t.ready[key] = c
	return c
}

// sum is the bound of everything ready, were links free.
func (t *transition) sum() float64 {
	sum := 0.0
	for _, b := range t.bound {
		sum += b
	}
	return sum
}

// changes returns the steps that may be taken now.
func (t *transition) changes() ([]Change, string) {
	free, dropping := t.steps()
	t.order(free)
	taken := t.takeAll(free)
	taken = append(taken, t.takeAll(t.inFinishedGroups(dropping))...)
	taken = append(taken, t.takeToOpen(dropping)...)
	taken, t.rejected = t.verify(taken)
	var out []Change
	for _, st := range taken {
		out = append(out, t.changesOf(st)...)
	}
	if len(out) > 0 || t.loads > 0 {
		t.blocked = ""
	}
	return out, t.blocked
}

func (t *transition) takeAll(steps []step) []step {
	var taken []step
	for _, st := range steps {
		if st, ok := t.take(st); ok {
			taken = append(taken, st)
		}
	}
	return taken
}

// finished tells whether a group can run the wanted version.
func (t *transition) finished(g int) bool {
	return t.bound[readyKey{t.s.Model.Version, g}] > 0
}

// takeToOpen brings the wanted version to one more group, by the targets that give up least rate for each layer nobody in
// the group holds of it; a group half changed carries neither version well, so there is one at a time.
func (t *transition) takeToOpen(steps []step) []step {
	rest := t.stepsToOpen(steps)
	var taken []step
	for len(rest) > 0 {
		best, bestRate := -1, 0.0
		for i, st := range rest {
			missing := t.missing(st)
			if rate := t.s.rate(t.s.Targets[st.target]) / float64(missing); missing > 0 && (best < 0 || rate < bestRate) {
				best, bestRate = i, rate
			}
		}
		if best < 0 {
			break
		}
		if st, ok := t.take(rest[best]); ok {
			taken = append(taken, st)
		}
		rest = slices.Delete(rest, best, best+1)
	}
	return taken
}

// take counts a step where pace and bound allow it, and tells whether they do; adapters are pulled also where nothing
// may be dropped.
func (t *transition) take(st step) (step, bool) {
	pulls := !st.load.empty() || len(st.adapters) > 0
	if pulls && !t.paceAllows(st) {
		return st, false
	}
	if len(st.drop) > 0 && !t.dropAllowed(st) {
		if len(st.adapters) == 0 {
			return st, false
		}
		st.drop = nil
	}
	if !pulls {
		return st, true
	}
	t.loads++
	t.bytes += float64(t.bytesOf(st))
	t.markPulled(t.of[st.target], st.load)
	if st.moving {
		t.moves++
	}
	return st, true
}
