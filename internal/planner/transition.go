package planner

import (
	"slices"
)

// transition chooses the steps from the current holdings to the wanted ones, within the pace and above the offered load.
type transition struct {
	s       State
	groups  []group
	groupOf []int // group of each target, -1 for none
	wanted  []span
	// ready is the coverage of ready holdings by version and group, and bound its bound if links are free.
	ready map[readyKey]*coverage
	bound map[readyKey]float64
	// currentBound is the max-flow bound, and linkFactor its ratio to the bound if links are free.
	currentBound, linkFactor float64
	// pulled reports for each group and layer whether the wanted version is held or being pulled.
	pulled  [][]bool
	loads   int
	bytes   float64
	moves   int
	blocked string
	// rejected are the targets whose steps max-flow ruled out; excluded are those ruled out before, which are not tried.
	rejected []int
	excluded map[int]bool
}

type readyKey struct {
	version string
	group   int
}

func newTransition(s State, all []group, wanted []span, bound float64) *transition {
	t := &transition{
		s: s, groups: all, wanted: wanted, groupOf: make([]int, len(s.Targets)), currentBound: bound, linkFactor: 1,
		ready: map[readyKey]*coverage{}, bound: map[readyKey]float64{}, pulled: make([][]bool, len(all)),
	}
	for i := range t.groupOf {
		t.groupOf[i] = -1
	}
	for g, group := range all {
		t.pulled[g] = make([]bool, s.Model.Layers)
		for _, member := range group.members {
			t.groupOf[member] = g
			t.recordHoldings(g, member)
		}
	}
	for key, c := range t.ready {
		t.bound[key] = c.bound()
	}
	if sum := t.totalBound(); sum > 0 {
		t.linkFactor = min(1, bound/sum)
	}
	return t
}

// recordHoldings counts the ranges that a target holds and pulls.
func (t *transition) recordHoldings(g, member int) {
	target := t.s.Targets[member]
	pulling := false
	for _, h := range holdings(t.s.Model, target) {
		if h.ready {
			t.readyCoverage(readyKey{h.version, g}).add(h.span.first, h.span.end, t.s.rate(target))
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

func (t *transition) readyCoverage(key readyKey) *coverage {
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

// totalBound returns the bound of all ready holdings if links are free.
func (t *transition) totalBound() float64 {
	sum := 0.0
	for _, b := range t.bound {
		sum += b
	}
	return sum
}

// changes returns the changes that may be ordered now, and why others wait if there are none and nothing is being pulled.
func (t *transition) changes() ([]Change, string) {
	free, dropping := t.steps()
	t.sortByPriority(free)
	taken := t.takeAllowed(free)
	taken = append(taken, t.takeAllowed(t.stepsInRunnableGroups(dropping))...)
	taken = append(taken, t.takeForNextGroup(dropping)...)
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

func (t *transition) takeAllowed(steps []step) []step {
	var taken []step
	for _, st := range steps {
		if st, ok := t.tryTake(st); ok {
			taken = append(taken, st)
		}
	}
	return taken
}

// canRunWanted reports whether a group can run the wanted version.
func (t *transition) canRunWanted(g int) bool {
	return t.bound[readyKey{t.s.Model.Version, g}] > 0
}

// takeForNextGroup brings the wanted version to one more group, first by the targets that lose the least rate per layer
// which no target in the group holds of it. It changes one group at a time, as a half-changed group runs neither version
// well.
func (t *transition) takeForNextGroup(steps []step) []step {
	rest := t.stepsForNextGroup(steps)
	var taken []step
	for len(rest) > 0 {
		best, bestRate := -1, 0.0
		for i, st := range rest {
			missing := t.missingLayers(st)
			if rate := t.s.rate(t.s.Targets[st.target]) / float64(missing); missing > 0 && (best < 0 || rate < bestRate) {
				best, bestRate = i, rate
			}
		}
		if best < 0 {
			break
		}
		if st, ok := t.tryTake(rest[best]); ok {
			taken = append(taken, st)
		}
		rest = slices.Delete(rest, best, best+1)
	}
	return taken
}

// tryTake counts a step if the pace and the bound allow it, and returns whether they do. Adapters are pulled even if
// nothing may be dropped.
func (t *transition) tryTake(st step) (step, bool) {
	pulls := !st.load.empty() || len(st.adapters) > 0
	if pulls && !t.paceAllows(st) {
		return st, false
	}
	if len(st.drop) > 0 && !t.tryDrop(st) {
		if len(st.adapters) == 0 {
			return st, false
		}
		st.drop = nil
	}
	if !pulls {
		return st, true
	}
	t.loads++
	t.bytes += float64(t.bytesToPull(st))
	t.markPulled(t.groupOf[st.target], st.load)
	if st.moving {
		t.moves++
	}
	return st, true
}
