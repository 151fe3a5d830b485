package placer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// capacities returns how many layers the targets of each data centre can hold together.
func (p Problem) capacities() map[cataloger.DataCentre]uint32 {
	out := map[cataloger.DataCentre]uint32{}
	for _, t := range p.Targets {
		if !t.Leaving {
			out[t.DataCentre] += min(t.Capacity, p.Layers)
		} else {
			out[t.DataCentre] += 0
		}
	}
	return out
}

// assignGroups returns, for each target, the number of the group of data centres whose targets form pipelines together. A data
// centre that can hold the whole model is its own group. The others form group 0 or, where pipes are slow, several groups of as
// few data centres as possible.
func (p Problem) assignGroups() []int {
	capacity := p.capacities()
	order := slices.Sorted(maps.Keys(capacity))
	groupOf, next := map[cataloger.DataCentre]int{}, 1
	var partial []cataloger.DataCentre
	for _, dc := range order {
		if capacity[dc] < p.Layers {
			partial = append(partial, dc)
			continue
		}
		groupOf[dc] = next
		next++
	}
	if p.SlowPipes {
		p.joinGroups(partial, capacity, groupOf, next)
	}
	groups := make([]int, len(p.Targets))
	for i, t := range p.Targets {
		groups[i] = groupOf[t.DataCentre]
	}
	return groups
}

// joinGroups forms groups of data centres that can only hold the model together, the largest first; the remaining ones stay in
// group 0.
func (p Problem) joinGroups(partial []cataloger.DataCentre, capacity map[cataloger.DataCentre]uint32, groupOf map[cataloger.DataCentre]int, next int) {
	slices.SortStableFunc(partial, func(a, b cataloger.DataCentre) int { return cmp.Compare(capacity[b], capacity[a]) })
	for len(partial) > 0 {
		n, sum := 0, uint32(0)
		for n < len(partial) && sum < p.Layers {
			sum += capacity[partial[n]]
			n++
		}
		if sum < p.Layers {
			return
		}
		// The smallest sufficient data centre replaces the last one, so that larger ones remain for other groups.
		last := n - 1
		for i := n; i < len(partial) && sum-capacity[partial[last]]+capacity[partial[i]] >= p.Layers; i++ {
			sum += capacity[partial[i]] - capacity[partial[last]]
			partial[last], partial[i] = partial[i], partial[last]
		}
		for _, dc := range partial[:n] {
			groupOf[dc] = next
		}
		partial = partial[n:]
		next++
	}
}

// nextInGap returns an empty target and the first layer for it: the start of the first gap of its group. Targets placed end to end
// need the fewest layers for a pipeline, and placing those of one data centre in sequence needs the fewest crossings.
func (s *state) nextInGap() (target int, first uint32, found bool) {
	for group := range s.groupCoverage {
		if group == 0 {
			continue
		}
		from, to, ok := s.firstGap(group)
		if !ok {
			continue
		}
		if i, ok := s.bestForGap(group, from, to); ok {
			width := min(s.Targets[i].Capacity, s.Layers)
			return i, min(from, s.Layers-width), true
		}
	}
	return 0, 0, false
}

// firstGap returns the first range of layers that no target of a group holds.
func (s *state) firstGap(group int) (from, to uint32, found bool) {
	for l, n := range s.groupCoverage[group] {
		switch {
		case n == 0 && !found:
			from, found = uint32(l), true
		case n > 0 && found:
			return from, uint32(l), true
		}
	}
	return from, s.Layers, found
}

// bestForGap returns the empty target of a group that best fills a gap from its first layer: preferably of the data centre that
// holds the layer before, and there the one with the most layers that fit into the gap, else the one with the fewest.
func (s *state) bestForGap(group int, from, to uint32) (target int, found bool) {
	neighbour := s.dataCentreBefore(group, from)
	preferred := func(a, b Target) bool {
		if (a.DataCentre == neighbour) != (b.DataCentre == neighbour) {
			return a.DataCentre == neighbour
		}
		if a.DataCentre != b.DataCentre {
			return a.DataCentre < b.DataCentre
		}
		aFits, bFits := a.Capacity <= to-from, b.Capacity <= to-from
		if aFits != bFits {
			return aFits
		}
		if a.Capacity != b.Capacity {
			return aFits == (a.Capacity > b.Capacity)
		}
		return a.Name < b.Name
	}
	for i, t := range s.Targets {
		if s.groupOf[i] != group || !t.acceptsOrder() || !t.empty() {
			continue
		}
		if !found || preferred(t, s.Targets[target]) {
			target, found = i, true
		}
	}
	return target, found
}

// dataCentreBefore returns the data centre of a target in the group that holds the layer before the given one, or "" if none does.
func (s *state) dataCentreBefore(group int, layer uint32) cataloger.DataCentre {
	for i, t := range s.Targets {
		if s.groupOf[i] == group && !t.Leaving && layer > 0 && t.First < layer && layer <= t.End {
			return t.DataCentre
		}
	}
	return ""
}
