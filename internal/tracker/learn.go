package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// maxContests is how often a daemon raises its incarnation over that of another process of its name.
const maxContests = 3

// learnDirect takes what the sender of a message says of itself.
func (m *Machine) learnDirect(g *peerv1.Gossip) {
	for _, p := range g.Members {
		if m.learn(p) {
			m.news[p.Name] = struct{}{}
			continue
		}
		known := m.members[p.Name]
		if known == nil || known == m.self || p.Incarnation == known.incarnation && p.Epoch == known.epoch && p.Status == known.status {
			continue
		}
		m.send(p.PeerAddress, &peerv1.Gossip{
			Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
			Members: []*peerv1.MemberEntry{known.proto(m.now)},
		})
	}
}

// forgetNews leaves entries out of what is to be told.
func (m *Machine) forgetNews(g *peerv1.Gossip) {
	for _, p := range g.Members {
		delete(m.news, p.Name)
	}
}

// learn takes a received entry into the table if it is newer than the known one.
func (m *Machine) learn(p *peerv1.MemberEntry) bool {
	if p.Name == m.self.name {
		m.learnSelf(p)
		return false
	}
	known := m.members[p.Name]
	if known == nil {
		if p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && time.Duration(p.DeadSeconds)*time.Second >= m.options.TombstoneRetention {
			return false
		}
		e := memberFromProto(p, m.now)
		m.insert(&e)
		return true
	}
	if !supersedes(p, known) {
		return false
	}
	m.digest ^= known.digest()
	if known.present() && p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		m.counts.Losses++
	}
	fresh := memberFromProto(p, m.now)
	fresh.heard = known.heard
	fresh.known = known.known
	fresh.load = known.load
	*known = fresh
	m.digest ^= known.digest()
	m.noteChange(known)
	if d := m.watched[p.Name]; d != nil {
		*d = doubt{graceFrom: m.now}
	}
	return true
}

// learnSelf answers what others say of this daemon: bad news is refuted, a leaving mark is accepted.
func (m *Machine) learnSelf(p *peerv1.MemberEntry) {
	another := p.Epoch != m.self.epoch && p.Incarnation == m.self.incarnation
	if !supersedes(p, m.self) && !another || m.superseded {
		return
	}
	if m.losesName(p) {
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
	// The digest is as of the table: raise takes the old form out of it.
	m.digest ^= m.self.digest()
	m.self.incarnation = p.Incarnation
	m.digest ^= m.self.digest()
	m.raise()
}

// losesName tells whether a later process has the name: it raises its incarnation again and again, while what an ended process left does not.
func (m *Machine) losesName(p *peerv1.MemberEntry) bool {
	if p.Epoch == m.self.epoch || p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		return false
	}
	m.contests++
	return m.contests > maxContests && p.Epoch > m.self.epoch
}
