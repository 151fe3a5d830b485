package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// heldEntry is bad news that waits for a refutation.
type heldEntry struct {
	entry *peerv1.MemberEntry
	due   time.Duration
}

// hold keeps bad news back and tells the member of it, and returns false where the entry can be taken at once.
func (m *Machine) hold(p *peerv1.MemberEntry) bool {
	known := m.members[p.Name]
	bad := p.Status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD
	if !bad || known == nil || known == m.self || !known.working() || !supersedes(p, known) {
		return false
	}
	if old, ok := m.held[p.Name]; ok && !supersedes(p, &memberEntry{incarnation: old.entry.Incarnation, epoch: old.entry.Epoch, status: old.entry.Status}) {
		return true
	}
	m.held[p.Name] = heldEntry{entry: p, due: m.now + m.options.RefutationTimeout}
	m.send(known.peerAddress, &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
		Members: []*peerv1.MemberEntry{p},
	})
	return true
}

// releaseHeld takes bad news that nobody refuted in time.
func (m *Machine) releaseHeld() {
	for _, name := range sortedKeys(m.held) {
		h := m.held[name]
		if m.now >= h.due {
			delete(m.held, name)
			m.learn(h.entry)
		}
	}
}
