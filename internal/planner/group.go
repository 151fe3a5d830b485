package planner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// group is a set of targets that form pipelines among themselves, by their places in State.Targets.
type group struct {
	name    string
	members []int
}

// mostMembers is the size of group from which it is halved; the time to work out a bound grows faster than the group.
const mostMembers = 192

// groups parts the usable targets by data centre, and large data centres further, with the targets of a VM together; a
// group that cannot hold the whole model joins the one that the fastest link leads to.
func groups(s State, usable []int) []group {
	sizes := map[cataloger.DataCentre]int{}
	for _, i := range usable {
		sizes[s.Targets[i].DataCentre]++
	}
	byName := map[string]*group{}
	for _, i := range usable {
		name := part(s.Targets[i], sizes[s.Targets[i].DataCentre])
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

// part names the part of its data centre that a target is in. The number of parts is a power of two, so that a target
// that joins or leaves seldom moves others.
func part(t cataloger.Target, size int) string {
	parts := uint64(1)
	for size > mostMembers*int(parts) {
		parts *= 2
	}
	at := t.VM
	if at == "" {
		at = t.Name
	}
	return fmt.Sprintf("%s/%d", t.DataCentre, xxhash.Sum64String(at)%parts)
}

func (s State) canCover(g group) bool {
	layers := uint64(0)
	for _, i := range g.members {
		layers += uint64(s.Model.capacity(s.Targets[i]))
	}
	return layers >= uint64(s.Model.Layers)
}

// nearest returns the group with the fastest link to group i, the first of equals.
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
