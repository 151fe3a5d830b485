package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// maxContests is how often a daemon raises its incarnation over that of another process of its name.
const maxContests = 3

// mismatchWait is how long digests may differ before tables are compared; news in flight settles most differences.
const mismatchWait = 300 * time.Millisecond

const (
	// newsRepeats is how often an entry is told again after it was published or passed on.
	newsRepeats    = 2
	repeatInterval = 200 * time.Millisecond
)

// delegateKey is what the delegates of a data centre are ranked by.
var delegateKey = xxhash.Sum64String("delegate")

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

// heldEntry is bad news that waits for a refutation.
type heldEntry struct {
	entry *peerv1.MemberEntry
	due   time.Duration
}

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

// learn takes a received entry into the table if it is newer than the known one.
func (m *Machine) learn(p *peerv1.MemberEntry) bool {
	if p.Name == m.self.name {
		m.learnSelf(p)
		return false
	}
	known := m.members[p.Name]
	if known == nil {
		if p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && time.Duration(p.DeadSeconds)*time.Second >= m.options.Tombstone {
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
	fresh := memberFromProto(p, m.now)
	fresh.heard = known.heard
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
	m.digest ^= m.self.digest()
	m.self.incarnation = p.Incarnation + 1
	m.digest ^= m.self.digest()
	m.noteChange(m.self)
	m.publish(m.self)
}

// losesName tells whether a later process has the name: it raises its incarnation again and again, while what an ended process left does not.
func (m *Machine) losesName(p *peerv1.MemberEntry) bool {
	if p.Epoch == m.self.epoch || p.Status == peerv1.MemberStatus_MEMBER_STATUS_DEAD {
		return false
	}
	m.contests++
	return m.contests > maxContests && p.Epoch > m.self.epoch
}

// retelling is an entry that is still to be told again.
type retelling struct {
	left int
	due  time.Duration
}

// publish tells everybody about an entry with the next tick, and again later, since a message may be lost.
func (m *Machine) publish(e *memberEntry) {
	m.news[e.name] = struct{}{}
	m.repeats[e.name] = retelling{left: newsRepeats, due: m.now + repeatInterval}
}

// passOn tells the own data centre of an entry, once for each form of it, whoever told this daemon first.
func (m *Machine) passOn(p *peerv1.MemberEntry) {
	e := m.members[p.Name]
	if e == nil || e == m.self || e.passedOn || !sameForm(p, e) {
		return
	}
	e.passedOn = true
	m.relays[e.name] = struct{}{}
	m.relayRepeats[e.name] = retelling{left: newsRepeats, due: m.now + repeatInterval}
}

// repeatNews tells published and passed on entries again.
func (m *Machine) repeatNews() {
	m.repeatDue(m.repeats, m.news)
	m.repeatDue(m.relayRepeats, m.relays)
}

func (m *Machine) repeatDue(repeats map[string]retelling, into map[string]struct{}) {
	for name, r := range repeats {
		if m.now < r.due {
			continue
		}
		into[name] = struct{}{}
		r.left--
		r.due = m.now + repeatInterval
		repeats[name] = r
		if r.left == 0 {
			delete(repeats, name)
		}
	}
}

// flushNews sends what is to be told: own news to everybody near and to delegates elsewhere, relayed news near only.
func (m *Machine) flushNews() {
	if len(m.news)+len(m.targetNews) > 0 {
		messages := m.newsMessages(m.news, m.targetNews)
		m.tellNear(messages, m.nearDelegates())
		m.tellDelegates(messages)
		m.tellSuspects()
		clear(m.news)
		clear(m.targetNews)
	}
	m.flushRelays(m.targetRelays)
	clear(m.targetRelays)
}

// flushRelays tells the own data centre what others published of members, and of the given targets.
func (m *Machine) flushRelays(targets map[string]struct{}) {
	if len(m.relays)+len(targets) > 0 {
		m.tellNear(m.newsMessages(m.relays, targets), nil)
		clear(m.relays)
	}
}

// newsMessages packs entries into messages of a bounded size.
func (m *Machine) newsMessages(members, targets map[string]struct{}) []*peerv1.Gossip {
	var out []*peerv1.Gossip
	room := 0
	next := func() *peerv1.Gossip {
		if room == 0 {
			out = append(out, &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_NEWS})
			room = m.options.DeltaEntries
		}
		room--
		return out[len(out)-1]
	}
	for _, name := range sortedKeys(members) {
		if e := m.members[name]; e != nil {
			g := next()
			g.Members = append(g.Members, e.proto(m.now))
		}
	}
	for _, name := range sortedKeys(targets) {
		if e := m.targets[name]; e != nil {
			g := next()
			g.Targets = append(g.Targets, e.TargetEntry)
		}
	}
	return out
}

// tellNear tells the own data centre; the given delegates are to pass it on.
func (m *Machine) tellNear(messages []*peerv1.Gossip, delegates []*memberEntry) {
	for _, e := range m.nearGroup() {
		m.sendAll(e, messages, slices.Contains(delegates, e))
	}
}

// nearDelegates returns the delegates of the own data centre, who pass news on to those that missed it.
func (m *Machine) nearDelegates() []*memberEntry { return m.delegates(m.nearGroup()) }

// nearGroup returns the other members of the own data centre.
func (m *Machine) nearGroup() []*memberEntry {
	var out []*memberEntry
	for _, e := range m.order {
		if e != m.self && e.present() && e.dataCentre == m.self.dataCentre {
			out = append(out, e)
		}
	}
	return out
}

func (m *Machine) tellDelegates(messages []*peerv1.Gossip) {
	for _, group := range m.farGroups() {
		for _, e := range m.delegates(group) {
			m.sendAll(e, messages, true)
		}
	}
}

// tellSuspects gives suspects elsewhere the chance to refute at once.
func (m *Machine) tellSuspects() {
	for _, name := range sortedKeys(m.news) {
		e := m.members[name]
		if e == nil || e.status != peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || e.dataCentre == m.self.dataCentre {
			continue
		}
		m.send(e.peerAddress, &peerv1.Gossip{
			Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
			Members: []*peerv1.MemberEntry{e.proto(m.now)},
		})
	}
}

// delegates returns the members of a data centre that pass news on there: live ones where there are enough.
func (m *Machine) delegates(group []*memberEntry) []*memberEntry {
	var live, others []*memberEntry
	for _, e := range group {
		if e.status == peerv1.MemberStatus_MEMBER_STATUS_LIVE && !e.unreachable {
			live = append(live, e)
			continue
		}
		others = append(others, e)
	}
	out := topScores(live, delegateKey, m.options.Delegates)
	return append(out, topScores(others, delegateKey, m.options.Delegates-len(out))...)
}

// farGroups returns the members of each other data centre.
func (m *Machine) farGroups() [][]*memberEntry {
	groups := map[cataloger.DataCentre][]*memberEntry{}
	for _, e := range m.order {
		if e.dataCentre != m.self.dataCentre && e.present() {
			groups[e.dataCentre] = append(groups[e.dataCentre], e)
		}
	}
	out := make([][]*memberEntry, 0, len(groups))
	for _, dc := range sortedKeys(groups) {
		out = append(out, groups[dc])
	}
	return out
}

func (m *Machine) sendAll(e *memberEntry, messages []*peerv1.Gossip, relay bool) {
	for _, g := range messages {
		m.send(e.peerAddress, &peerv1.Gossip{
			Kind:    g.Kind,
			Relay:   relay,
			Members: g.Members,
			Targets: g.Targets,
		})
	}
}

// receiveNews takes news; a delegate passes on that of members at once, and that of targets from elsewhere with the next tick.
func (m *Machine) receiveNews(from string, g *peerv1.Gossip) {
	for _, p := range g.Members {
		m.learn(p)
		if g.Relay {
			m.passOn(p)
		}
	}
	sender := m.members[from]
	near := sender != nil && sender.dataCentre == m.self.dataCentre
	for _, p := range g.Targets {
		if m.learnTarget(p) && g.Relay && !near {
			m.targetRelays[p.Name] = struct{}{}
		}
	}
	m.flushRelays(nil)
}

// compare asks for a peer's changes where the tables have differed for a while.
func (m *Machine) compare(from string, g *peerv1.Gossip) {
	peer := m.members[from]
	if peer == nil {
		return
	}
	s := m.syncs[from]
	if s == nil {
		s = &syncState{lastSync: m.now - m.options.Sync}
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
	settled := m.now-s.mismatchSince >= mismatchWait || !m.synced
	if settled && m.now-s.lastSync >= m.options.Sync {
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
	if len(items) > m.options.DeltaEntries {
		items = items[:m.options.DeltaEntries]
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
	if g.More {
		m.sendSync(peer, s)
		return
	}
	m.synced = true
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
	m.held[p.Name] = heldEntry{entry: p, due: m.now + m.options.Hold}
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
