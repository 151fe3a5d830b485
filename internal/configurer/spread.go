package configurer

import "github.com/rattantray/rattantray/internal/cataloger"

// accepted takes in what this daemon itself has stored; it goes to the watchers of the other data centres as well,
// so that it does not depend on their watches.
func (m *machine) accepted(item Item) []effect {
	out := m.install(item, everyone)
	e := m.set.entries[item.Name]
	if e.newest.Version != item.Version {
		return out
	}
	for _, p := range m.farWatchers() {
		out = append(out, effectPush{to: p, item: item, base: e.previous, rest: nobody})
	}
	return out
}

// farWatchers returns the watchers of the other data centres.
func (m *machine) farWatchers() []peer {
	var out []peer
	for _, dc := range dataCentres(m.members) {
		if dc == m.self.dataCentre {
			continue
		}
		for _, w := range m.watchers(m.members, dc) {
			out = append(out, newPeer(w))
		}
	}
	return out
}

// pushed takes in an item from a peer and passes on the part of its range that is new to this daemon.
// Pushes of several daemons cross, and a daemon that is in all their trees has another range in each.
// Only a range that a push brought counts as covered, not one that this daemon started to spread:
// a push goes from lower to higher hashes, so that no two daemons leave a range to each other.
func (m *machine) pushed(p pushedItem) []effect {
	if p.from != m.self.dataCentre {
		return m.install(p.item, everyone)
	}
	held := m.set.version(p.item.Name)
	if p.item.Version < held {
		return nil
	}
	covered, fresh := m.covered[p.item.Name].with(p.item.Version, p.rest)
	m.covered[p.item.Name] = covered
	out := m.install(p.item, nobody)
	e := m.set.entries[p.item.Name]
	for _, s := range fresh {
		out = append(out, m.spread(e.newest, e.previous, s)...)
	}
	return out
}

// pushedItem is an item with the range of hashes that it is to be passed on to.
type pushedItem struct {
	item Item
	from cataloger.DataCentre
	rest span
}

// pushFailed passes the item on to the range of a daemon that could not be reached.
func (m *machine) pushFailed(e effectPush) []effect { return m.spread(e.item, e.base, e.rest) }

// install takes in an item and, where it is news, passes it on within a span of this data centre.
func (m *machine) install(i Item, s span) []effect {
	base := m.set.entries[i.Name].newest
	news, err := m.set.install(i)
	if !news {
		return nil
	}
	if !m.boot.ready {
		// What a starting daemon learns is known to others; the exchanges pass on what is not.
		s = nobody
	}
	var out []effect
	if err != nil {
		out = append(out, effectUnreadable{item: i, err: err})
	}
	return append(out, m.spread(i, base, s)...)
}

func (m *machine) spread(i, base Item, s span) []effect {
	var out []effect
	for _, h := range split(m.peers, m.self.dataCentre, s) {
		out = append(out, effectPush{to: h.to, item: i, base: base, rest: h.rest})
	}
	return out
}
