package placer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// room returns how many layers the targets of each data centre may hold together.
func (p Problem) room() map[cataloger.DataCentre]uint32 {
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

// group numbers the groups of data centres that make pipelines together; one that can hold the whole model is a group of its own.
// The others make one together, where pipes are slow several, of as few data centres each as can be.
func (p Problem) group() []int {
	room := p.room()
	order := slices.Sorted(maps.Keys(room))
	number, next := map[cataloger.DataCentre]int{}, 1
	var small []cataloger.DataCentre
	for _, dc := range order {
		if room[dc] < p.Layers {
			small = append(small, dc)
			continue
		}
		number[dc] = next
		next++
	}
	if p.SlowPipes {
		p.join(small, room, number, next)
	}
	groups := make([]int, len(p.Targets))
	for i, t := range p.Targets {
		groups[i] = number[t.DataCentre]
	}
	return groups
}

// join numbers groups of data centres that hold the model together only, the largest ones first; those that are left have number 0.
func (p Problem) join(small []cataloger.DataCentre, room map[cataloger.DataCentre]uint32, number map[cataloger.DataCentre]int, next int) {
	slices.SortStableFunc(small, func(a, b cataloger.DataCentre) int { return cmp.Compare(room[b], room[a]) })
	for len(small) > 0 {
		n, sum := 0, uint32(0)
		for n < len(small) && sum < p.Layers {
			sum += room[small[n]]
			n++
		}
		if sum < p.Layers {
			return
		}
		// The smallest that is enough takes the place of the last one, so that the larger ones are left for other groups.
		last := n - 1
		for i := n; i < len(small) && sum-room[small[last]]+room[small[i]] >= p.Layers; i++ {
			sum += room[small[i]] - room[small[last]]
			small[last], small[i] = small[i], small[last]
		}
		for _, dc := range small[:n] {
			number[dc] = next
		}
		small = small[n:]
		next++
	}
}

// lay returns the target that is to begin at the first layer which its group holds nowhere, where that makes the group whole one
// day. Targets end to end need the fewest layers for a pipeline, and those of a data centre one after the other the fewest
// crossings.
func (s *state) lay() (target int, first uint32, found bool) {
	for group := range s.group {
		if group == 0 {
			continue
		}
		from, to, ok := s.gap(group)
		if !ok {
			continue
		}
		if i, ok := s.filler(group, from, to); ok {
			width := min(s.Targets[i].Capacity, s.Layers)
			return i, min(from, s.Layers-width), true
		}
	}
	return 0, 0, false
}

// gap returns the first range of layers that a group holds nowhere.
func (s *state) gap(group int) (from, to uint32, found bool) {
	for l, n := range s.group[group] {
		switch {
		case n == 0 && !found:
			from, found = uint32(l), true
		case n > 0 && found:
			return from, uint32(l), true
		}
	}
	return from, s.Layers, found
}

// filler returns the empty target of a group that is best to fill a gap from its first layer: one of the data centre that holds
// the layer before, the widest that the gap takes whole, else the narrowest.
func (s *state) filler(group int, from, to uint32) (target int, found bool) {
	near := s.before(group, from)
	better := func(a, b Target) bool {
		if (a.DataCentre == near) != (b.DataCentre == near) {
			return a.DataCentre == near
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
		if s.groups[i] != group || t.Leaving || t.Ordered || t.Capacity == 0 || !t.empty() {
			continue
		}
		if !found || better(t, s.Targets[target]) {
			target, found = i, true
		}
	}
	return target, found
}

// before returns the data centre of a group's target that holds the layer before one; empty where there is none.
func (s *state) before(group int, layer uint32) cataloger.DataCentre {
	for i, t := range s.Targets {
		if s.groups[i] == group && !t.Leaving && layer > 0 && t.First < layer && layer <= t.End {
			return t.DataCentre
		}
	}
	return ""
}
