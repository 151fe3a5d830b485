package configurer

import "github.com/rattantray/rattantray/internal/cataloger"

// applyAccepted installs an item that this daemon has stored, and also pushes it to the watchers of the other data
// centres, so that it does not depend on their watches.
func (m *machine) applyAccepted(item Item) []effect {
	out := m.install(item, fullSpan)
	e := m.set.entries[item.Name]
	if e.newest.Version != item.Version {
		return out
	}
	for _, p := range m.remoteWatchers() {
		out = append(out, effectPush{to: p, item: item, base: e.previous, forward: emptySpan})
	}
	return out
}

// remoteWatchers returns the watchers of the other data centres.
func (m *machine) remoteWatchers() []peer {
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

// applyPush installs an item from a peer and forwards it to the part of the push's span that is not covered yet.
// Several daemons may push the same item at a time, and this daemon has a different span in each of their trees.
// Only the span of a push counts as covered, not one that this daemon started to forward to on its own:
// pushes go from lower to higher hashes, so that no two daemons leave a span to each other.
func (m *machine) applyPush(p pushedItem) []effect {
	if p.from != m.self.dataCentre {
		return m.install(p.item, fullSpan)
	}
	current := m.set.version(p.item.Name)
	if p.item.Version < current {
		return nil
	}
	updated, uncovered := m.coverages[p.item.Name].add(p.item.Version, p.forward)
	m.coverages[p.item.Name] = updated
	out := m.install(p.item, emptySpan)
	e := m.set.entries[p.item.Name]
	for _, s := range uncovered {
		out = append(out, m.spread(e.newest, e.previous, s)...)
	}
	return out
}

// pushedItem is an item from a peer with the span of hashes to forward it to.
type pushedItem struct {
	item    Item
	from    cataloger.DataCentre
	forward span
}

// pushFailed forwards the item to the span of a daemon that could not be reached.
func (m *machine) pushFailed(e effectPush) []effect { return m.spread(e.item, e.base, e.forward) }

// install adds an item to the set and, if it is newer, forwards it to a span of this data centre.
func (m *machine) install(i Item, s span) []effect {
	base := m.set.entries[i.Name].newest
	installed, err := m.set.install(i)
	if !installed {
		return nil
	}
	if !m.boot.ready {
		// Other daemons already have what a starting daemon learns; exchanges cover the exceptions.
		s = emptySpan
	}
	var out []effect
	if err != nil {
		out = append(out, effectUnreadable{item: i, err: err})
	}
	return append(out, m.spread(i, base, s)...)
}

func (m *machine) spread(i, base Item, s span) []effect {
	var out []effect
	for _, h := range splitSpan(m.peers, m.self.dataCentre, s) {
		out = append(out, effectPush{to: h.to, item: i, base: base, forward: h.forward})
	}
	return out
}
