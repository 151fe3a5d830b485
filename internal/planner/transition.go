package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// margin is the share of the offered load that the bound is kept above it.
const margin = 0.05

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

// step is a change that a target needs.
type step struct {
	target int
	// drop lists what must go, in which order, before or without a load.
	drop []held
	load span
	// adapters are pulled without weights.
	adapters []string
	moving   bool
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

func dropsReady(st step) bool {
	return slices.ContainsFunc(st.drop, func(h held) bool { return h.ready })
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
	return after > 0 && after >= t.s.Offered*(1+margin) || after >= before*(1-boundSlack)
}

func (t *transition) block(st step, before, after float64) {
	t.blocked = fmt.Sprintf("a change on %s would take the bound from %.0f to %.0f tokens a second, and %.0f are offered",
		t.s.Targets[st.target].Name, before, after, t.s.Offered)
}

// steps returns what targets need, those that drop nothing and those that do.
func (t *transition) steps() (free, dropping []step) {
	for i, want := range t.wanted {
		if t.of[i] < 0 || want.empty() || t.banned[i] {
			continue
		}
		st, ok := t.stepOf(i, want)
		switch {
		case ok && len(st.drop) == 0:
			free = append(free, st)
		case ok:
			dropping = append(dropping, st)
		}
	}
	return free, dropping
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

// inFinishedGroups returns the steps of groups that can run the wanted version, and those that are no change of version,
// with the least loss of bound first.
func (t *transition) inFinishedGroups(steps []step) []step {
	type loss struct {
		step step
		loss float64
	}
	var losses []loss
	for _, st := range steps {
		if t.finished(t.of[st.target]) || st.moving || st.load.empty() {
			losses = append(losses, loss{st, t.lossOf(st)})
		}
	}
	slices.SortStableFunc(losses, func(a, b loss) int { return cmp.Compare(a.loss, b.loss) })
	out := make([]step, len(losses))
	for i, l := range losses {
		out[i] = l.step
	}
	return out
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

// stepsToOpen returns the steps of the group that is furthest on its way to the wanted version and cannot run it yet.
func (t *transition) stepsToOpen(steps []step) []step {
	byGroup := map[int][]step{}
	open := -1
	for _, st := range steps {
		g := t.of[st.target]
		if t.finished(g) || st.moving || st.load.empty() {
			continue
		}
		byGroup[g] = append(byGroup[g], st)
		if open < 0 || t.pulledLayers(g) > t.pulledLayers(open) || t.pulledLayers(g) == t.pulledLayers(open) && g < open {
			open = g
		}
	}
	return byGroup[open]
}

func (t *transition) pulledLayers(g int) int {
	n := 0
	for _, p := range t.pulled[g] {
		if p {
			n++
		}
	}
	return n
}

// missing counts the layers of a load that nobody in the group holds or pulls.
func (t *transition) missing(st step) int {
	n := 0
	for _, p := range t.pulled[t.of[st.target]][st.load.first:st.load.end] {
		if !p {
			n++
		}
	}
	return n
}

func (t *transition) stepOf(i int, want span) (step, bool) {
	m, target := t.s.Model, t.s.Targets[i]
	all := holdings(m, target)
	main, holds := mainOf(all, m.Version)
	var rest []held
	for _, h := range all {
		if !holds || h.version != main.version || h.span != main.span {
			rest = append(rest, h)
		}
	}
	st := step{target: i}
	switch {
	case holds && !main.ready:
		return st, false
	case holds && main.span == want:
		st.drop = rest
		st.adapters = m.missing(main)
		return st, len(rest) > 0 || len(st.adapters) > 0
	case holds:
		st.drop = all
		st.load = want
		st.moving = true
		return st, true
	}
	st.load = want
	free := m.capacity(target) - min(m.capacity(target), layersHeld(target))
	if want.layers() > free {
		st.drop = rest
		if want.layers() > free+layersOf(rest) {
			return st, false
		}
	}
	return st, true
}

// missing returns the adapters that a holding lacks.
func (m Model) missing(h held) []string {
	var missing []string
	for _, a := range m.Adapters {
		if !slices.Contains(h.adapters, a) {
			missing = append(missing, a)
		}
	}
	return missing
}

func layersOf(all []held) uint32 {
	n := uint32(0)
	for _, h := range all {
		n += h.span.layers()
	}
	return n
}

// order puts first what brings layers nobody else holds, then what brings most rate for its bytes.
func (t *transition) order(steps []step) {
	weigh := func(st step) (missing, perByte float64) {
		if st.load.empty() {
			return 0, 0
		}
		layers := float64(st.load.layers())
		return float64(t.missing(st)) / layers, t.s.rate(t.s.Targets[st.target]) / layers
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		missingA, rateA := weigh(a)
		missingB, rateB := weigh(b)
		return cmp.Or(cmp.Compare(missingB, missingA), cmp.Compare(rateB, rateA))
	})
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

func (t *transition) changesOf(st step) []Change {
	m, target := t.s.Model, t.s.Targets[st.target]
	var out []Change
	for _, h := range st.drop {
		out = append(out, Change{
			Kind: ChangeUnload, Target: target.Name, Address: target.Address,
			Holding: cataloger.Holding{Model: m.Name, Version: h.version, FirstLayer: h.span.first, EndLayer: h.span.end},
		})
	}
	for _, adapter := range st.adapters {
		out = append(out, t.loadOf(st.target, t.wanted[st.target], adapter, m.AdapterBytes))
	}
	if st.load.empty() {
		return out
	}
	// The adapters after the first follow when the weights are there.
	first := ""
	if len(m.Adapters) > 0 {
		first = m.Adapters[0]
	}
	return append(out, t.loadOf(st.target, st.load, first, t.bytesOf(st)))
}

// loadOf returns the change that loads a range, with an adapter or none.
func (t *transition) loadOf(i int, s span, adapter string, bytes uint64) Change {
	m, target := t.s.Model, t.s.Targets[i]
	c := Change{
		Kind: ChangeLoad, Target: target.Name, Address: target.Address, Bytes: bytes,
		Holding: cataloger.Holding{Model: m.Name, Version: m.Version, FirstLayer: s.first, EndLayer: s.end},
	}
	if adapter != "" {
		c.Holding.Adapters = []string{adapter}
	}
	return c
}

func (t *transition) bytesOf(st step) uint64 {
	bytes := uint64(st.load.layers())*t.s.Model.LayerBytes + uint64(len(st.adapters))*t.s.Model.AdapterBytes
	if !st.load.empty() && len(t.s.Model.Adapters) > 0 {
		bytes += t.s.Model.AdapterBytes
	}
	return bytes
}

func (t *transition) paceAllows(st step) bool {
	p := t.s.Pace
	if t.loads >= p.Loads || st.moving && (t.moves >= p.Moves || t.loads >= p.Moves) {
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
