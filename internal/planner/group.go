package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// group is a set of targets that form pipelines among themselves; members are indexes into State.Targets.
type group struct {
	name    string
	members []int
}

// maxMembers is the size of a group above which it is halved: the time to compute a bound grows faster than the group.
const maxMembers = 192

// formGroups splits the usable targets by data centre, and large data centres further, with the targets of a VM kept
// together. A group that can't hold the complete model joins the group to which it has the fastest link.
func formGroups(s State, usable []int) []group {
	sizes := map[cataloger.DataCentre]int{}
	for _, i := range usable {
		sizes[s.Targets[i].DataCentre]++
	}
	byName := map[string]*group{}
	for _, i := range usable {
		name := partName(s.Targets[i], sizes[s.Targets[i].DataCentre])
		if byName[name] == nil {
			byName[name] = &group{name: name}
		}
		byName[name].members = append(byName[name].members, i)
	}
	var all []group
	for _, g := range byName {
		all = append(all, *g)
	}
	slices.SortFunc(all, func(a, b group) int { return cmp.Compare(a.name, b.name) })
	for len(all) > 1 {
		i := slices.IndexFunc(all, func(g group) bool { return !s.canCover(g) })
		if i < 0 {
			break
		}
		to := s.nearest(all, i)
		all[to].members = append(all[to].members, all[i].members...)
		slices.Sort(all[to].members)
		all = slices.Delete(all, i, i+1)
	}
	return all
}

// partName returns the name of the part of its data centre that a target belongs to. The number of parts is a power of
// two, so that a target that joins or leaves seldom moves others to another part.
func partName(t cataloger.Target, size int) string {
	parts := uint64(1)
	for size > maxMembers*int(parts) {
		parts *= 2
	}
	host := t.VM
	if host == "" {
		host = t.Name
	}
	return fmt.Sprintf("%s/%d", t.DataCentre, xxhash.Sum64String(host)%parts)
}

func (s State) canCover(g group) bool {
	layers := uint64(0)
	for _, i := range g.members {
		layers += uint64(s.Model.capacity(s.Targets[i]))
	}
	return layers >= uint64(s.Model.Layers)
}

// nearest returns the group to which group i has the fastest link, the first one among equals.
func (s State) nearest(all []group, i int) int {
	best, bestRate := -1, -1.0
	for j, g := range all {
		if j == i {
			continue
		}
		if rate := s.Bandwidth(&s.Targets[all[i].members[0]], &s.Targets[g.members[0]]); rate > bestRate {
			best, bestRate = j, rate
		}
	}
	return best
}
