package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// pendingVote is a query from other daemons that waits for an ack of its subject.
type pendingVote struct {
	deadline time.Duration
	askers   map[string]string
}

func (m *Machine) sendPing(address string) {
	m.send(address, &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_PING,
		Digest:  m.digest,
		Members: []*peerv1.MemberEntry{m.self.proto(m.now)},
	})
}

func (m *Machine) receivePing(from string, g *peerv1.Gossip) {
	m.applySender(g)
	e := m.members[from]
	if e == nil {
		return
	}
	m.heartbeatSubscribers[from] = m.now + subscriptionPeriod
	m.send(e.peerAddress, &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_ACK,
		Digest:  m.digest,
		Members: []*peerv1.MemberEntry{m.self.proto(m.now)},
	})
}

func (m *Machine) receiveAck(from string, g *peerv1.Gossip) {
	joining := !m.synced
	m.applySender(g)
	if joining {
		// The fleet already has the member that a joining daemon contacted, and learns of the joining daemon from it.
		m.dropNews(g)
	}
	m.compareDigest(from, g)
}

func (m *Machine) receiveQuery(from string, g *peerv1.Gossip) {
	asker := m.members[from]
	subject := m.members[g.Subject]
	if asker == nil || subject == nil {
		return
	}
	if subject == m.self || m.now-subject.lastMessageAt < m.options.SilenceTimeout/2 && subject.present() && !subject.unreachable {
		m.sendVote(asker.peerAddress, subject, true)
		return
	}
	if m.inFirstMessageGrace(subject) {
		return
	}
	v := m.pendingVotes[subject.name]
	if v == nil {
		v = &pendingVote{deadline: m.now + m.options.VoteTimeout, askers: map[string]string{}}
		m.pendingVotes[subject.name] = v
	}
	v.askers[from] = asker.peerAddress
	m.sendPing(subject.peerAddress)
}

func (m *Machine) sendVote(address string, subject *memberEntry, heard bool) {
	m.send(address, &peerv1.Gossip{
		Kind:               peerv1.GossipKind_GOSSIP_KIND_VOTE,
		Subject:            subject.name,
		SubjectIncarnation: subject.incarnation,
		Heard:              heard,
	})
}

func (m *Machine) answerAskers(v *pendingVote, subject string, heard bool) {
	e := m.members[subject]
	for _, asker := range m.sorted {
		if address, ok := v.askers[asker.name]; ok && e != nil {
			m.sendVote(address, e, heard)
		}
	}
	delete(m.pendingVotes, subject)
}

// expireVotes answers the queries whose subject stayed silent.
func (m *Machine) expireVotes() {
	for _, e := range m.sorted {
		if v := m.pendingVotes[e.name]; v != nil && m.now >= v.deadline {
			m.answerAskers(v, e.name, false)
		}
	}
}

func (m *Machine) receiveVote(from string, g *peerv1.Gossip) {
	check := m.watched[g.Subject]
	e := m.members[g.Subject]
	if check == nil || e == nil || !check.active || g.SubjectIncarnation < e.incarnation {
		return
	}
	if g.Heard {
		check.confirmedAlive = true
		return
	}
	check.silentVotes[from] = struct{}{}
}
