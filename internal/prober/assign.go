package prober

import (
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/tracker"
)

// Owners returns the daemons that watch a target, the one that probes first; those of its data centre go before others.
func Owners(members []cataloger.Member, target cataloger.Target) []cataloger.Member {
	v := newView(cataloger.Fleet{Members: members}, "")
	v.rank()
	return v.owners(target)
}

// view is a view of the fleet with what is worked out of it.
type view struct {
	fleet cataloger.Fleet
	live  []cataloger.Member
	self  string
	all   tracker.Ranking
	near  map[cataloger.DataCentre]tracker.Ranking
	// neighbours are the other live daemons that share loads: those of this data centre, or all of a small fleet.
	neighbours []cataloger.Member
	dataCentre cataloger.DataCentre
}

func newView(fleet cataloger.Fleet, self string) view {
	return view{fleet: fleet, live: tracker.Live(fleet.Members), self: self}
}

// rank works out who is near whom, and who comes first for a target.
func (v *view) rank() {
	v.all = tracker.NewRanking(v.live)
	v.near = map[cataloger.DataCentre]tracker.Ranking{}
	byDataCentre := map[cataloger.DataCentre][]cataloger.Member{}
	for _, m := range v.live {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
		if m.Name == v.self {
			v.dataCentre = m.DataCentre
		}
	}
	for dc, members := range byDataCentre {
		v.near[dc] = tracker.NewRanking(members)
	}
	group := byDataCentre[v.dataCentre]
	if len(v.live) <= wholeFleet {
		group = v.live
	}
	for _, m := range group {
		if m.Name != v.self {
			v.neighbours = append(v.neighbours, m)
		}
	}
}

// alike tells whether it makes no difference here which of two forms of a member is used.
func alike(a, b cataloger.Member) bool {
	return a.Name == b.Name && a.DataCentre == b.DataCentre && a.PeerAddress == b.PeerAddress
}

// of tells whether the view is of this fleet; published views are never changed, so that the same list holds the same.
func (v view) of(fleet cataloger.Fleet) bool {
	return same(v.fleet.Members, fleet.Members) && same(v.fleet.Targets, fleet.Targets)
}

func same[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (v view) owners(target cataloger.Target) []cataloger.Member {
	key := "probe/" + target.Name
	out := v.near[target.DataCentre].Top(key, assigned)
	if len(out) == assigned {
		return out
	}
	for _, m := range v.all.Top(key, assigned+len(out)) {
		if len(out) < assigned && m.DataCentre != target.DataCentre {
			out = append(out, m)
		}
	}
	return out
}

// mayOwn tells whether this daemon can be the first owner of a target: not where the target's data centre has others.
func (v view) mayOwn(target cataloger.Target) bool {
	_, others := v.near[target.DataCentre]
	return !others || target.DataCentre == v.dataCentre
}

// assign takes up the targets that are this daemon's and drops the others, where the fleet has changed.
func (p *Prober) assign(now time.Time) {
	fleet := p.Fleet()
	if p.assignedFor.of(fleet) {
		return
	}
	next := newView(fleet, p.Self)
	if same(p.assignedFor.fleet.Targets, fleet.Targets) && slices.EqualFunc(p.assignedFor.live, next.live, alike) {
		p.assignedFor.fleet = fleet
		return
	}
	next.rank()
	p.assignedFor = next
	kept := map[string]struct{}{}
	for _, t := range fleet.Targets {
		if !p.assignedFor.mayOwn(t) {
			continue
		}
		owners := p.assignedFor.owners(t)
		if len(owners) == 0 || owners[0].Name != p.Self {
			continue
		}
		kept[t.Name] = struct{}{}
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
		if _, ok := kept[name]; !ok {
			delete(p.watches, name)
		}
	}
}
