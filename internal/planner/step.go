package planner

import (
	"cmp"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// step is a change that a target needs.
type step struct {
	target int
	// drop lists the ranges to unload, in order, before the load if there is one.
	drop []held
	load span
	// adapters are those to pull for a range whose weights the target already holds.
	adapters []string
	moving   bool
}

func dropsReadyLayers(st step) bool {
	return slices.ContainsFunc(st.drop, func(h held) bool { return h.ready })
}

// steps returns the steps that targets need: those that drop nothing, and those that drop something.
func (t *transition) steps() (free, dropping []step) {
	for i, want := range t.wanted {
		if t.groupOf[i] < 0 || want.empty() || t.excluded[i] {
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

// stepsInRunnableGroups returns the steps of groups that can already run the wanted version and those that don't change
// the version, with the least loss of bound first.
func (t *transition) stepsInRunnableGroups(steps []step) []step {
	type loss struct {
		step step
		loss float64
	}
	var losses []loss
	for _, st := range steps {
		if t.canRunWanted(t.groupOf[st.target]) || st.moving || st.load.empty() {
			losses = append(losses, loss{st, t.boundLoss(st)})
		}
	}
	slices.SortStableFunc(losses, func(a, b loss) int { return cmp.Compare(a.loss, b.loss) })
	out := make([]step, len(losses))
	for i, l := range losses {
		out[i] = l.step
	}
	return out
}

// stepsForNextGroup returns the steps of the group that holds or pulls the most layers of the wanted version but can't run
// it yet.
func (t *transition) stepsForNextGroup(steps []step) []step {
	byGroup := map[int][]step{}
	open := -1
	for _, st := range steps {
		g := t.groupOf[st.target]
		if t.canRunWanted(g) || st.moving || st.load.empty() {
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

// missingLayers counts the layers of a load that no target in the group holds or pulls.
func (t *transition) missingLayers(st step) int {
	n := 0
	for _, p := range t.pulled[t.groupOf[st.target]][st.load.first:st.load.end] {
		if !p {
			n++
		}
	}
	return n
}

func (t *transition) stepOf(i int, want span) (step, bool) {
	m, target := t.s.Model, t.s.Targets[i]
	all := holdings(m, target)
	main, holds := largestOf(all, m.Version)
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
		st.adapters = m.missingAdapters(main)
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
		if want.layers() > free+totalLayers(rest) {
			return st, false
		}
	}
	return st, true
}

// missingAdapters returns the adapters that a holding lacks.
func (m Model) missingAdapters(h held) []string {
	var missing []string
	for _, a := range m.Adapters {
		if !slices.Contains(h.adapters, a) {
			missing = append(missing, a)
		}
	}
	return missing
}

func totalLayers(all []held) uint32 {
	n := uint32(0)
	for _, h := range all {
		n += h.span.layers()
	}
	return n
}

// sortByPriority puts first the steps that bring layers which no other target holds, then those that bring the highest
// rate per byte.
func (t *transition) sortByPriority(steps []step) {
	priority := func(st step) (missing, perByte float64) {
		if st.load.empty() {
			return 0, 0
		}
		layers := float64(st.load.layers())
		return float64(t.missingLayers(st)) / layers, t.s.rate(t.s.Targets[st.target]) / layers
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		missingA, rateA := priority(a)
		missingB, rateB := priority(b)
		return cmp.Or(cmp.Compare(missingB, missingA), cmp.Compare(rateB, rateA))
	})
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
		out = append(out, t.loadChange(st.target, t.wanted[st.target], adapter, m.AdapterBytes))
	}
	if st.load.empty() {
		return out
	}
	// The other adapters follow once the weights are loaded.
	first := ""
	if len(m.Adapters) > 0 {
		first = m.Adapters[0]
	}
	return append(out, t.loadChange(st.target, st.load, first, t.bytesToPull(st)))
}

// loadChange returns the change that loads a range, with an adapter unless its name is empty.
func (t *transition) loadChange(i int, s span, adapter string, bytes uint64) Change {
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

func (t *transition) bytesToPull(st step) uint64 {
	bytes := uint64(st.load.layers())*t.s.Model.LayerBytes + uint64(len(st.adapters))*t.s.Model.AdapterBytes
	if !st.load.empty() && len(t.s.Model.Adapters) > 0 {
		bytes += t.s.Model.AdapterBytes
	}
	return bytes
}
