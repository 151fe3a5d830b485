package tracker

import (
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// subscriptionPeriod is how long a daemon that sent a ping receives heartbeats.
	subscriptionPeriod = 3 * time.Second
	// numberedAfterChange is how long after a change every heartbeat carries the change number; otherwise every
	// numberedEvery-th round does.
	numberedAfterChange = 2 * time.Second
	numberedEvery       = 16
)

func (m *Machine) sendHeartbeats() {
	if m.now-m.lastHeartbeat < m.options.HeartbeatInterval {
		return
	}
	m.lastHeartbeat = m.now
	m.heartbeatRounds++
	for _, w := range m.watchers {
		m.sendHeartbeat(w)
	}
	for _, e := range m.sorted {
		until, ok := m.heartbeatSubscribers[e.name]
		if !ok {
			continue
		}
		if until < m.now {
			delete(m.heartbeatSubscribers, e.name)
			continue
		}
		if !slices.Contains(m.watchers, e) {
			m.sendHeartbeat(e)
		}
	}
}

func (m *Machine) sendHeartbeat(e *memberEntry) {
	g := &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT, Digest: m.digest}
	if m.now-m.changedAt < numberedAfterChange || m.heartbeatRounds%numberedEvery == 0 {
		g.Epoch = m.self.epoch
		g.UpTo = m.changes
	}
	m.send(e.peerAddress, g)
}
