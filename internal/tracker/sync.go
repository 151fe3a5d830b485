package tracker

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

// mismatchWait is how long digests may differ before a sync; news in flight resolves most differences.
const mismatchWait = 300 * time.Millisecond

// syncState tracks how far this daemon has read another one's table.
type syncState struct {
	epoch         uint64
	readUpTo      uint64
	mismatched    bool
	mismatchSince time.Duration
	lastSync      time.Duration
}

// recordAgreement records that this table has all changes that the peer had when it sent its digest.
func (s *syncState) recordAgreement(g *peerv1.Gossip) {
	if g.Epoch == 0 || g.Kind != peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT {
		return
	}
	if s.epoch != g.Epoch {
		s.epoch = g.Epoch
		s.readUpTo = 0
	}
	s.readUpTo = max(s.readUpTo, g.UpTo)
}

// compareDigest requests a peer's changes if the tables have differed for a while.
func (m *Machine) compareDigest(from string, g *peerv1.Gossip) {
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
		s.recordAgreement(g)
		s.mismatched = false
		m.synced = true
		return
	}
	if !s.mismatched {
		s.mismatched = true
		s.mismatchSince = m.now
	}
	if m.readingOther(from) {
		return
	}
	persistent := m.now-s.mismatchSince >= mismatchWait || !m.synced
	if persistent && m.now-s.lastSync >= m.options.MinSyncInterval {
		m.sendSync(peer, s)
	}
}

func (m *Machine) sendSync(peer *memberEntry, s *syncState) {
	s.lastSync = m.now
	m.send(peer.peerAddress, &peerv1.Gossip{
		Kind:   peerv1.GossipKind_GOSSIP_KIND_SYNC,
		Digest: m.digest,
		Epoch:  s.epoch,
		Since:  s.readUpTo,
	})
}

// receiveSync answers with the entries that changed after the last change that the peer has read.
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
	m.compareDigest(from, g)
}

func (m *Machine) delta(since uint64) *peerv1.Gossip {
	type item struct {
		changeNumber uint64
		member       *memberEntry
		target       *targetEntry
	}
	var items []item
	for _, e := range m.sorted {
		if e.changeNumber > since {
			items = append(items, item{changeNumber: e.changeNumber, member: e})
		}
	}
	for _, e := range m.targets {
		if e.changeNumber > since {
			items = append(items, item{changeNumber: e.changeNumber, target: e})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	g := &peerv1.Gossip{
		Kind:  peerv1.GossipKind_GOSSIP_KIND_DELTA,
		Epoch: m.self.epoch,
		Since: since,
		UpTo:  m.changes,
	}
	if len(items) > m.options.MaxMessageEntries {
		items = items[:m.options.MaxMessageEntries]
		g.UpTo = items[len(items)-1].changeNumber
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

// receiveDelta applies a peer's changes; a suspect or dead status of a working member is held back for a refutation.
func (m *Machine) receiveDelta(from string, g *peerv1.Gossip) {
	peer := m.members[from]
	s := m.syncs[from]
	if peer == nil || s == nil {
		return
	}
	if s.epoch != g.Epoch {
		s.epoch = g.Epoch
		s.readUpTo = 0
	}
	if g.Since > s.readUpTo {
		return
	}
	for _, p := range g.Members {
		if !m.holdFailureStatus(p) {
			m.applyMember(p)
		}
	}
	for _, p := range g.Targets {
		m.applyTarget(p)
	}
	s.readUpTo = max(s.readUpTo, g.UpTo)
	switch {
	case !g.More:
		m.synced = true
		if m.readingFrom == from {
			m.readingFrom = ""
		}
	case !m.readingOther(from):
		m.readingFrom, m.lastPartAt = from, m.now
		m.sendSync(peer, s)
	}
}

// readingOther reports whether the table of another peer is being read in parts. A second read would bring little, as the
// tables of all peers hold mostly the same entries.
func (m *Machine) readingOther(from string) bool {
	return m.readingFrom != "" && m.readingFrom != from && m.now-m.lastPartAt < m.options.MinSyncInterval
}
