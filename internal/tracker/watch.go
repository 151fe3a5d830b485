package tracker

import (
	"cmp"
	"slices"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// refreshWatches recomputes the watchers of this daemon and the members that it watches.
func (m *Machine) refreshWatches() {
	if !m.watchesStale {
		return
	}
	m.watchesStale = false
	m.leaversWatch = m.tooFewWorking()
	counts := m.countWatcherCandidates()
	m.watchers = m.watchersOf(m.self)
	for name := range m.watched {
		if e := m.members[name]; e == nil || !e.present() || !m.isWatcher(e, counts) {
			delete(m.watched, name)
			if e != nil {
				m.setUnreachable(e, false)
			}
		}
	}
	for _, e := range m.sorted {
		if e == m.self || !e.present() || m.watched[e.name] != nil || !m.isWatcher(e, counts) {
			continue
		}
		// The member has to learn of its new watcher and may have to open a connection first.
		m.watched[e.name] = &livenessCheck{graceFrom: m.now + m.options.SilenceTimeout}
	}
}

// tooFewWorking reports whether there are too few working members to watch everybody.
func (m *Machine) tooFewWorking() bool {
	working := 0
	for _, e := range m.sorted {
		if e.working() {
			working++
		}
	}
	return working <= m.options.NearWatchers+m.options.FarWatchers
}

func (m *Machine) countWatcherCandidates() map[cataloger.DataCentre]int {
	counts := map[cataloger.DataCentre]int{}
	for _, e := range m.sorted {
		if m.canWatch(e) {
			counts[e.dataCentre]++
		}
	}
	return counts
}

// watcherQuotas returns how many watchers a member has inside and outside its data centre.
func (m *Machine) watcherQuotas(nearMembers, farMembers int) (near, far int) {
	if nearMembers+farMembers < m.options.SmallFleet {
		return nearMembers, farMembers
	}
	total := m.options.NearWatchers + m.options.FarWatchers
	near = min(m.options.NearWatchers, nearMembers)
	far = min(total-near, farMembers)
	near = min(total-far, nearMembers)
	return near, far
}

// isWatcher reports whether this daemon is among the watchers of e.
func (m *Machine) isWatcher(e *memberEntry, counts map[cataloger.DataCentre]int) bool {
	if !m.canWatch(m.self) {
		return false
	}
	nearMembers := counts[e.dataCentre]
	if m.canWatch(e) {
		nearMembers--
	}
	candidates := 0
	for _, n := range counts {
		candidates += n
	}
	near, far := m.watcherQuotas(nearMembers, candidates-counts[e.dataCentre])
	isNear := m.self.dataCentre == e.dataCentre
	quota := far
	if isNear {
		quota = near
	}
	own := pairScore(m.self.nameHash, e.nameHash)
	higher := 0
	for _, other := range m.sorted {
		if higher >= quota {
			return false
		}
		if other == e || other == m.self || !m.canWatch(other) || (other.dataCentre == e.dataCentre) != isNear {
			continue
		}
		if pairScore(other.nameHash, e.nameHash) > own {
			higher++
		}
	}
	return higher < quota
}

// watchersOf returns the daemons that watch e.
func (m *Machine) watchersOf(e *memberEntry) []*memberEntry {
	var nearby, distant []*memberEntry
	for _, other := range m.sorted {
		switch {
		case other == e || !m.canWatch(other):
		case other.dataCentre == e.dataCentre:
			nearby = append(nearby, other)
		default:
			distant = append(distant, other)
		}
	}
	near, far := m.watcherQuotas(len(nearby), len(distant))
	return append(topScores(nearby, e.nameHash, near), topScores(distant, e.nameHash, far)...)
}

// topScores returns the n members with the highest scores for a key.
func topScores(members []*memberEntry, key uint64, n int) []*memberEntry {
	slices.SortFunc(members, func(a, b *memberEntry) int {
		if c := cmp.Compare(pairScore(b.nameHash, key), pairScore(a.nameHash, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	return members[:min(n, len(members))]
}

// expireMembers declares suspects dead after SuspicionTimeout and removes dead members after TombstoneRetention.
func (m *Machine) expireMembers() {
	var expired []*memberEntry
	for _, e := range m.sorted {
		age := m.now - e.statusSince
		switch {
		case e == m.self:
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT && age >= m.options.SuspicionTimeout:
			m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_DEAD)
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && age >= m.options.TombstoneRetention:
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		m.remove(e)
	}
}
