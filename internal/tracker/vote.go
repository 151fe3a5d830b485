package tracker

import (
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// vote is a question of others that waits for an ack.
type vote struct {
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
	m.learnDirect(g)
	e := m.members[from]
	if e == nil {
		return
	}
	m.subscribers[from] = m.now + subscription
	m.send(e.peerAddress, &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_ACK,
		Digest:  m.digest,
		Members: []*peerv1.MemberEntry{m.self.proto(m.now)},
	})
}

func (m *Machine) receiveAck(from string, g *peerv1.Gossip) {
	joins := !m.synced
	m.learnDirect(g)
	if joins {
		// The fleet knows the daemon that a joining one has asked, and hears of the joining one from it.
		m.forgetNews(g)
	}
	m.compare(from, g)
}

func (m *Machine) receiveQuery(from string, g *peerv1.Gossip) {
	asker := m.members[from]
	subject := m.members[g.Subject]
	if asker == nil || subject == nil {
		return
	}
	if subject == m.self || m.now-subject.heard < m.options.SilenceTimeout/2 && subject.present() && !subject.unreachable {
		m.sendVote(asker.peerAddress, subject, true)
		return
	}
	if m.unacquainted(subject) {
		return
	}
	v := m.votes[subject.name]
	if v == nil {
		v = &vote{deadline: m.now + m.options.VoteTimeout, askers: map[string]string{}}
		m.votes[subject.name] = v
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

func (m *Machine) answerVote(v *vote, subject string, heard bool) {
	e := m.members[subject]
	for _, asker := range m.order {
		if address, ok := v.askers[asker.name]; ok && e != nil {
			m.sendVote(address, e, heard)
		}
	}
	delete(m.votes, subject)
}

// finishVotes answers the questions whose subject stayed silent.
func (m *Machine) finishVotes() {
	for _, e := range m.order {
		if v := m.votes[e.name]; v != nil && m.now >= v.deadline {
			m.answerVote(v, e.name, false)
		}
	}
}

func (m *Machine) receiveVote(from string, g *peerv1.Gossip) {
	d := m.watched[g.Subject]
	e := m.members[g.Subject]
	if d == nil || e == nil || !d.active || g.SubjectIncarnation < e.incarnation {
		return
	}
	if g.Heard {
		d.heard = true
		return
	}
	d.silent[from] = struct{}{}
}
