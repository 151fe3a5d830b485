package prober

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/tracker"
)

// Owners returns the daemons that watch a target, starting with the one that probes it; daemons in the target's data centre come before others.
func Owners(members []cataloger.Member, target cataloger.Target) []cataloger.Member {
	v := newView(cataloger.Fleet{Members: members}, "")
	v.rank()
	return v.owners(target)
}

// view is a snapshot of the fleet with the rankings derived from it.
type view struct {
	fleet               cataloger.Fleet
	live                []cataloger.Member
	self                string
	ranking             tracker.Ranking
	rankingByDataCentre map[cataloger.DataCentre]tracker.Ranking
	// neighbours are the other live daemons that exchange loads with this one: those in its data centre, or all in a small fleet.
	neighbours []cataloger.Member
	dataCentre cataloger.DataCentre
}

func newView(fleet cataloger.Fleet, self string) view {
	return view{fleet: fleet, live: tracker.Live(fleet.Members), self: self}
}

// rank computes the rankings and the neighbours.
func (v *view) rank() {
	v.ranking = tracker.NewRanking(v.live)
	v.rankingByDataCentre = map[cataloger.DataCentre]tracker.Ranking{}
	byDataCentre := map[cataloger.DataCentre][]cataloger.Member{}
	for _, m := range v.live {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		if m.Name == v.self {
			v.dataCentre = m.DataCentre
		}
	}
	for dc, members := range byDataCentre {
		v.rankingByDataCentre[dc] = tracker.NewRanking(members)
	}
	group := byDataCentre[v.dataCentre]
	if len(v.live) <= fullShareLimit {
		group = v.live
	}
	for _, m := range group {
		if m.Name != v.self {
			v.neighbours = append(v.neighbours, m)
		}
	}
}

// equivalent reports whether two versions of a member lead to the same assignment.
func equivalent(a, b cataloger.Member) bool {
	return a.Name == b.Name && a.DataCentre == b.DataCentre && a.PeerAddress == b.PeerAddress
}

// builtFrom reports whether the view was built from this fleet. Published lists are immutable, so comparing their addresses is enough.
func (v view) builtFrom(fleet cataloger.Fleet) bool {
	return sameSlice(v.fleet.Members, fleet.Members) && sameSlice(v.fleet.Targets, fleet.Targets)
}

func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (v view) owners(target cataloger.Target) []cataloger.Member {
	key := "probe/" + target.Name
	out := v.rankingByDataCentre[target.DataCentre].Top(key, watchersPerTarget)
	if len(out) == watchersPerTarget {
		return out
	}
	for _, m := range v.ranking.Top(key, watchersPerTarget+len(out)) {
		if len(out) < watchersPerTarget && m.DataCentre != target.DataCentre {
			out = append(out, m)
		}
	}
	return out
}

// mayOwn reports whether this daemon can be the first owner of a target: if it is in the target's data centre, or no live daemon is.
func (v view) mayOwn(target cataloger.Target) bool {
	_, others := v.rankingByDataCentre[target.DataCentre]
	return !others || target.DataCentre == v.dataCentre
}

// updateWatches adds the targets that this daemon owns and removes the others, if the fleet has changed.
func (p *Prober) updateWatches(now time.Time) {
	fleet := p.Fleet()
	if p.assignedFor.builtFrom(fleet) {
		return
	}
	next := newView(fleet, p.Self)
	if sameSlice(p.assignedFor.fleet.Targets, fleet.Targets) && slices.EqualFunc(p.assignedFor.live, next.live, equivalent) {
		p.assignedFor.fleet = fleet
		return
	}
	next.rank()
	p.assignedFor = next
	owned := map[string]struct{}{}
	for _, t := range fleet.Targets {
		if !p.assignedFor.mayOwn(t) {
			continue
		}
		owners := p.assignedFor.owners(t)
		if len(owners) == 0 || owners[0].Name != p.Self {
			continue
		}
		owned[t.Name] = struct{}{}
		w := p.watches[t.Name]
		if w == nil || w.target.Address != t.Address {
			w = &watch{health: NewHealth(t.State), next: now.Add(p.jitter(p.Options.SuspectInterval))}
			p.watches[t.Name] = w
		}
		w.target = t
		w.second = cataloger.Member{}
		if len(owners) > 1 {
			w.second = owners[1]
		}
	}
	for name := range p.watches {
		if _, ok := owned[name]; !ok {
			delete(p.watches, name)
		}
	}
}
