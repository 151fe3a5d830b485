package tracker

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// mismatchWait is how long digests may differ before tables are compared; news in flight settles most differences.
const mismatchWait = 300 * time.Millisecond

// syncState is how far this daemon has read another one's table.
type syncState struct {
	epoch         uint64
	seen          uint64
	mismatched    bool
	mismatchSince time.Duration
	lastSync      time.Duration
}

// agree notes that nothing which the peer had when it sent its digest is missing here.
func (s *syncState) agree(g *peerv1.Gossip) {
	if g.Epoch == 0 || g.Kind != peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT {
		return
	}
	if s.epoch != g.Epoch {
		s.epoch = g.Epoch
		s.seen = 0
	}
	s.seen = max(s.seen, g.UpTo)
}

// compare asks for a peer's changes where the tables have differed for a while.
func (m *Machine) compare(from string, g *peerv1.Gossip) {
	peer := m.members[from]
	if peer == nil {
		return
	}
	s := m.syncs[from]
	if s == nil {
		s = &syncState{lastSync: m.now - m.options.MinSyncInterval}
		m.syncs[from] = s
	}
	if g.Digest == m.digest {
		s.agree(g)
		s.mismatched = false
		m.synced = true
		return
	}
	if !s.mismatched {
		s.mismatched = true
		s.mismatchSince = m.now
	}
	if m.readsOther(from) {
		return
	}
	settled := m.now-s.mismatchSince >= mismatchWait || !m.synced
	if settled && m.now-s.lastSync >= m.options.MinSyncInterval {
		m.sendSync(peer, s)
	}
}

func (m *Machine) sendSync(peer *memberEntry, s *syncState) {
	s.lastSync = m.now
	m.send(peer.peerAddress, &peerv1.Gossip{
		Kind:   peerv1.GossipKind_GOSSIP_KIND_SYNC,
		Digest: m.digest,
		Epoch:  s.epoch,
		Since:  s.seen,
	})
}

// receiveSync answers with the entries that changed after what the peer has seen.
func (m *Machine) receiveSync(from string, g *peerv1.Gossip) {
	peer := m.members[from]
	if peer == nil {
		return
	}
	since := g.Since
	if g.Epoch != m.self.epoch {
		since = 0
	}
	delta := m.delta(since)
	m.send(peer.peerAddress, delta)
	m.compare(from, g)
}

func (m *Machine) delta(since uint64) *peerv1.Gossip {
	type item struct {
		changed uint64
		member  *memberEntry
		target  *targetEntry
	}
	var items []item
	for _, e := range m.order {
		if e.changed > since {
			items = append(items, item{changed: e.changed, member: e})
		}
	}
	for _, e := range m.targets {
		if e.changed > since {
			items = append(items, item{changed: e.changed, target: e})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.changed, b.changed) })
	g := &peerv1.Gossip{
		Kind:  peerv1.GossipKind_GOSSIP_KIND_DELTA,
		Epoch: m.self.epoch,
		Since: since,
		UpTo:  m.changes,
	}
	if len(items) > m.options.MaxMessageEntries {
		items = items[:m.options.MaxMessageEntries]
		g.UpTo = items[len(items)-1].changed
		g.More = true
	}
	for _, it := range items {
		if it.member != nil {
			g.Members = append(g.Members, it.member.proto(m.now))
			continue
		}
		g.Targets = append(g.Targets, it.target.TargetEntry)
	}
	return g
}

// receiveDelta takes a peer's changes; bad news about members that seem to live waits for a refutation.
func (m *Machine) receiveDelta(from string, g *peerv1.Gossip) {
	peer := m.members[from]
	s := m.syncs[from]
	if peer == nil || s == nil {
		return
	}
	if s.epoch != g.Epoch {
		s.epoch = g.Epoch
		s.seen = 0
	}
	if g.Since > s.seen {
		return
	}
	for _, p := range g.Members {
		if !m.hold(p) {
			m.learn(p)
		}
	}
	for _, p := range g.Targets {
		m.learnTarget(p)
	}
	s.seen = max(s.seen, g.UpTo)
	switch {
	case !g.More:
		m.synced = true
		if m.reading == from {
			m.reading = ""
		}
	case !m.readsOther(from):
		m.reading, m.readAt = from, m.now
		m.sendSync(peer, s)
	}
}

// readsOther tells whether a long table of another peer is being read: the tables of all peers hold mostly the same.
func (m *Machine) readsOther(from string) bool {
	return m.reading != "" && m.reading != from && m.now-m.readAt < m.options.MinSyncInterval
}
