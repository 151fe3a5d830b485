package planner

import (
	"cmp"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

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

func dropsReady(st step) bool {
	return slices.ContainsFunc(st.drop, func(h held) bool { return h.ready })
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
