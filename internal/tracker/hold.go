package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// heldEntry is a received suspect or dead status that is applied at due unless the member refutes it first.
type heldEntry struct {
	entry *peerv1.MemberEntry
	due   time.Duration
}

// holdFailureStatus holds a suspect or dead status back, sends it to the member for refutation, and returns whether it did so;
// any other entry can be applied immediately.
func (m *Machine) holdFailureStatus(p *peerv1.MemberEntry) bool {
	current := m.members[p.Name]
	failureStatus := p.Status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD
	if !failureStatus || current == nil || current == m.self || !current.working() || !supersedes(p, current) {
		return false
	}
	if held, ok := m.held[p.Name]; ok && !supersedes(p, &memberEntry{incarnation: held.entry.Incarnation, epoch: held.entry.Epoch, status: held.entry.Status}) {
		return true
	}
	m.held[p.Name] = heldEntry{entry: p, due: m.now + m.options.RefutationTimeout}
	m.send(current.peerAddress, &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
		Members: []*peerv1.MemberEntry{p},
	})
	return true
}

// applyHeldStatuses applies the held entries that were not refuted in time.
func (m *Machine) applyHeldStatuses() {
	for _, name := range sortedKeys(m.held) {
		h := m.held[name]
		if m.now >= h.due {
			delete(m.held, name)
			m.applyMember(h.entry)
		}
	}
}
