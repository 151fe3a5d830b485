package tracker

import (
	"cmp"
	"slices"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// refreshWatches recomputes who watches this daemon and whom it watches.
func (m *Machine) refreshWatches() {
	if !m.stale {
		return
	}
	m.stale = false
	m.scarce = m.scarceWorkers()
	counts := m.countEligible()
	m.watchers = m.watchersOf(m.self)
	for name := range m.watched {
		if e := m.members[name]; e == nil || !e.present() || !m.isWatcher(e, counts) {
			delete(m.watched, name)
			if e != nil {
				m.setUnreachable(e, false)
			}
		}
	}
	for _, e := range m.order {
		if e == m.self || !e.present() || m.watched[e.name] != nil || !m.isWatcher(e, counts) {
			continue
		}
		// The member has to learn of its new watcher and may have to open a connection first.
		m.watched[e.name] = &doubt{graceFrom: m.now + m.options.SilenceTimeout}
	}
}

// scarceWorkers tells whether there are too few working members to watch everybody.
func (m *Machine) scarceWorkers() bool {
	working := 0
	for _, e := range m.order {
		if e.working() {
			working++
		}
	}
	return working <= m.options.NearWatchers+m.options.FarWatchers
}

func (m *Machine) countEligible() map[cataloger.DataCentre]int {
	counts := map[cataloger.DataCentre]int{}
	for _, e := range m.order {
		if m.eligible(e) {
			counts[e.dataCentre]++
		}
	}
	return counts
}

// quotas returns how many watchers of a member are inside and outside its data centre.
func (m *Machine) quotas(nearMembers, farMembers int) (near, far int) {
	if nearMembers+farMembers < m.options.SmallFleet {
		return nearMembers, farMembers
	}
	total := m.options.NearWatchers + m.options.FarWatchers
	near = min(m.options.NearWatchers, nearMembers)
	far = min(total-near, farMembers)
	near = min(total-far, nearMembers)
	return near, far
}

// isWatcher tells whether this daemon is among the watchers of e.
func (m *Machine) isWatcher(e *memberEntry, counts map[cataloger.DataCentre]int) bool {
	if !m.eligible(m.self) {
		return false
	}
	nearMembers := counts[e.dataCentre]
	if m.eligible(e) {
		nearMembers--
	}
	all := 0
	for _, n := range counts {
		all += n
	}
	near, far := m.quotas(nearMembers, all-counts[e.dataCentre])
	isNear := m.self.dataCentre == e.dataCentre
	quota := far
	if isNear {
		quota = near
	}
	own := pairScore(m.self.hash, e.hash)
	better := 0
	for _, other := range m.order {
		if better >= quota {
			return false
		}
		if other == e || other == m.self || !m.eligible(other) || (other.dataCentre == e.dataCentre) != isNear {
			continue
		}
		if pairScore(other.hash, e.hash) > own {
			better++
		}
	}
	return better < quota
}

// watchersOf returns the daemons that watch e.
func (m *Machine) watchersOf(e *memberEntry) []*memberEntry {
	var nearby, distant []*memberEntry
	for _, other := range m.order {
		switch {
		case other == e || !m.eligible(other):
		case other.dataCentre == e.dataCentre:
			nearby = append(nearby, other)
		default:
			distant = append(distant, other)
		}
	}
	near, far := m.quotas(len(nearby), len(distant))
	return append(topScores(nearby, e.hash, near), topScores(distant, e.hash, far)...)
}

// topScores returns the n members with the highest scores for a key.
func topScores(members []*memberEntry, key uint64, n int) []*memberEntry {
	slices.SortFunc(members, func(a, b *memberEntry) int {
		if c := cmp.Compare(pairScore(b.hash, key), pairScore(a.hash, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	return members[:min(n, len(members))]
}

// ageMembers turns old suspicions into deaths and forgets old deaths.
func (m *Machine) ageMembers() {
	var forgotten []*memberEntry
	for _, e := range m.order {
		age := m.now - e.since
		switch {
		case e == m.self:
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT && age >= m.options.SuspicionTimeout:
			m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_DEAD)
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && age >= m.options.TombstoneRetention:
			forgotten = append(forgotten, e)
		}
	}
	for _, e := range forgotten {
		m.forget(e)
	}
}
