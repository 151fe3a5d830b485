package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// maxNameContests is how often a daemon raises its incarnation over that of another process of its name.
const maxNameContests = 3

// applySender applies the entry that the sender of a message sent about itself, and replies with the current one where the
// received one is outdated or conflicts with it.
func (m *Machine) applySender(g *peerv1.Gossip) {
	for _, p := range g.Members {
		if m.applyMember(p) {
			m.news[p.Name] = struct{}{}
			continue
		}
		current := m.members[p.Name]
		if current == nil || current == m.self || p.Incarnation == current.incarnation && p.Epoch == current.epoch && p.Status == current.status {
			continue
		}
		m.send(p.PeerAddress, &peerv1.Gossip{
			Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
			Members: []*peerv1.MemberEntry{current.proto(m.now)},
		})
	}
}

// dropNews removes the entries of a message from those pending announcement.
func (m *Machine) dropNews(g *peerv1.Gossip) {
	for _, p := range g.Members {
		delete(m.news, p.Name)
	}
}

// applyMember stores a received entry if it is newer than the current one, and returns whether it did; an entry of this
// daemon itself is handled by handleSelfEntry.
func (m *Machine) applyMember(p *peerv1.MemberEntry) bool {
	if p.Name == m.self.name {
		m.handleSelfEntry(p)
		return false
	}
	current := m.members[p.Name]
	if current == nil {
		if p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && time.Duration(p.DeadSeconds)*time.Second >= m.options.TombstoneRetention {
			return false
		}
		e := memberFromProto(p, m.now)
		m.insert(&e)
		return true
	}
	if !supersedes(p, current) {
		return false
	}
	m.digest ^= current.digest()
	if current.present() && p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		m.counts.Losses++
	}
	fresh := memberFromProto(p, m.now)
	fresh.lastMessageAt = current.lastMessageAt
	fresh.learnedAt = current.learnedAt
	fresh.load = current.load
	*current = fresh
	m.digest ^= current.digest()
	m.recordChange(current)
	if check := m.watched[p.Name]; check != nil {
		*check = livenessCheck{graceFrom: m.now}
	}
	return true
}

// handleSelfEntry handles what others report about this daemon: a suspect or dead status is refuted, a leaving mark is accepted.
func (m *Machine) handleSelfEntry(p *peerv1.MemberEntry) {
	otherProcess := p.Epoch != m.self.epoch && p.Incarnation == m.self.incarnation
	if !supersedes(p, m.self) && !otherProcess || m.superseded {
		return
	}
	if m.nameTaken(p) {
		m.superseded = true
		m.changes++
		return
	}
	if p.Epoch == m.self.epoch && p.Incarnation == m.self.incarnation && p.Status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
		m.setStatus(m.self, p.Status)
		m.publish(m.self)
		return
	}
	m.counts.Refutations++
	// The table's digest must match the entry here, as raiseIncarnation removes the entry's current digest from it.
	m.digest ^= m.self.digest()
	m.self.incarnation = p.Incarnation
	m.digest ^= m.self.digest()
	m.raiseIncarnation()
}

// nameTaken reports whether a process that started later has this daemon's name. Such a process raises its incarnation
// repeatedly, while the entries that an ended process left behind do not change.
func (m *Machine) nameTaken(p *peerv1.MemberEntry) bool {
	if p.Epoch == m.self.epoch || p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		return false
	}
	m.nameContests++
	return m.nameContests > maxNameContests && p.Epoch > m.self.epoch
}
