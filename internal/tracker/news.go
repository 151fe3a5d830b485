package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// newsRepeats is how often an entry is sent again after it was published or relayed.
	newsRepeats    = 2
	repeatInterval = 200 * time.Millisecond
)

// delegateKey is the key by which the delegates of a data centre are ranked.
var delegateKey = xxhash.Sum64String("delegate")

// repetition is when and how often an entry is still to be sent again.
type repetition struct {
	remaining int
	due       time.Duration
}

// publish queues an entry to be sent to the fleet with the next tick, and again later, since a message may be lost.
func (m *Machine) publish(e *memberEntry) {
	m.news[e.name] = struct{}{}
	m.repeats[e.name] = repetition{remaining: newsRepeats, due: m.now + repeatInterval}
}

// relayEntry queues a received entry to be relayed to this daemon's data centre. A suspect, leaving or dead status is sent
// immediately and repeated, whoever sent it first; a live status waits for the next tick, to be sent together with others.
func (m *Machine) relayEntry(p *peerv1.MemberEntry, applied bool) {
	e := m.members[p.Name]
	if e == nil || e == m.self || e.relayed || !sameVersion(p, e) {
		return
	}
	if e.status == peerv1.MemberStatus_MEMBER_STATUS_LIVE {
		if applied {
			m.relays[e.name] = struct{}{}
		}
		return
	}
	e.relayed = true
	m.urgent[e.name] = struct{}{}
	m.relayRepeats[e.name] = repetition{remaining: newsRepeats, due: m.now + repeatInterval}
}

// repeatNews queues the published and relayed entries that are due to be sent again.
func (m *Machine) repeatNews() {
	m.repeatDue(m.repeats, m.news)
	m.repeatDue(m.relayRepeats, m.relays)
}

func (m *Machine) repeatDue(repeats map[string]repetition, into map[string]struct{}) {
	for name, r := range repeats {
		if m.now < r.due {
			continue
		}
		into[name] = struct{}{}
		r.remaining--
		r.due = m.now + repeatInterval
		repeats[name] = r
		if r.remaining == 0 {
			delete(repeats, name)
		}
	}
}

// flushNews sends the pending entries: published ones to the own data centre and to delegates of the others, relayed ones
// to the own data centre only.
func (m *Machine) flushNews() {
	if len(m.news)+len(m.targetNews) > 0 {
		messages := m.newsMessages(m.news, m.targetNews)
		m.sendNear(messages, m.nearDelegates())
		m.sendToFarDelegates(messages)
		m.notifyFarSuspects()
		clear(m.news)
		clear(m.targetNews)
	}
	if len(m.relays)+len(m.targetRelays) > 0 {
		m.sendNear(m.newsMessages(m.relays, m.targetRelays), nil)
		clear(m.relays)
		clear(m.targetRelays)
	}
}

// flushUrgent relays the entries that do not wait for the next tick.
func (m *Machine) flushUrgent() {
	if len(m.urgent) > 0 {
		m.sendNear(m.newsMessages(m.urgent, nil), nil)
		clear(m.urgent)
	}
}

// newsMessages packs entries into messages of at most MaxMessageEntries.
func (m *Machine) newsMessages(members, targets map[string]struct{}) []*peerv1.Gossip {
	var out []*peerv1.Gossip
	capacity := 0
	next := func() *peerv1.Gossip {
		if capacity == 0 {
			out = append(out, &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_NEWS})
			capacity = m.options.MaxMessageEntries
		}
		capacity--
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

// sendNear sends messages to the own data centre, asking the given delegates to relay them.
func (m *Machine) sendNear(messages []*peerv1.Gossip, delegates []*memberEntry) {
	for _, e := range m.nearMembers() {
		m.sendAll(e, messages, slices.Contains(delegates, e))
	}
}

// nearDelegates returns the delegates of the own data centre, which relay news to members that missed it.
func (m *Machine) nearDelegates() []*memberEntry { return m.delegates(m.nearMembers()) }

// nearMembers returns the other members of the own data centre.
func (m *Machine) nearMembers() []*memberEntry {
	var out []*memberEntry
	for _, e := range m.sorted {
		if e != m.self && e.present() && e.dataCentre == m.self.dataCentre {
			out = append(out, e)
		}
	}
	return out
}

func (m *Machine) sendToFarDelegates(messages []*peerv1.Gossip) {
	for _, group := range m.farGroups() {
		for _, e := range m.delegates(group) {
			m.sendAll(e, messages, true)
		}
	}
}

// notifyFarSuspects sends suspects in other data centres their entry directly, so that they can refute it immediately.
func (m *Machine) notifyFarSuspects() {
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

// delegates returns the members of a data centre that relay news there: live and reachable ones where there are enough.
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

// farGroups returns the members of the other data centres, grouped by data centre.
func (m *Machine) farGroups() [][]*memberEntry {
	groups := map[cataloger.DataCentre][]*memberEntry{}
	for _, e := range m.sorted {
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

// receiveNews applies announced entries; a delegate also relays them.
func (m *Machine) receiveNews(from string, g *peerv1.Gossip) {
	for _, p := range g.Members {
		applied := m.applyMember(p)
		if g.Relay {
			m.relayEntry(p, applied)
		}
	}
	sender := m.members[from]
	near := sender != nil && sender.dataCentre == m.self.dataCentre
	for _, p := range g.Targets {
		if m.applyTarget(p) && g.Relay && !near {
			m.targetRelays[p.Name] = struct{}{}
		}
	}
	m.flushUrgent()
}
