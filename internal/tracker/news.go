package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// newsRepeats is how often an entry is told again after it was published or passed on.
	newsRepeats    = 2
	repeatInterval = 200 * time.Millisecond
)

// delegateKey is what the delegates of a data centre are ranked by.
var delegateKey = xxhash.Sum64String("delegate")

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

// passOn tells the own data centre of an entry that was received for it.
// What ends a member is told at once and again, whoever told this daemon first; that a member lives can wait for others of its kind.
func (m *Machine) passOn(p *peerv1.MemberEntry, learned bool) {
	e := m.members[p.Name]
	if e == nil || e == m.self || e.passedOn || !sameForm(p, e) {
		return
	}
	if e.status == peerv1.MemberStatus_MEMBER_STATUS_LIVE {
		if learned {
			m.relays[e.name] = struct{}{}
		}
		return
	}
	e.passedOn = true
	m.urgent[e.name] = struct{}{}
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
	if len(m.relays)+len(m.targetRelays) > 0 {
		m.tellNear(m.newsMessages(m.relays, m.targetRelays), nil)
		clear(m.relays)
		clear(m.targetRelays)
	}
}

// flushUrgent passes on what does not wait for the next tick.
func (m *Machine) flushUrgent() {
	if len(m.urgent) > 0 {
		m.tellNear(m.newsMessages(m.urgent, nil), nil)
		clear(m.urgent)
	}
}

// newsMessages packs entries into messages of a bounded size.
func (m *Machine) newsMessages(members, targets map[string]struct{}) []*peerv1.Gossip {
	var out []*peerv1.Gossip
	room := 0
	next := func() *peerv1.Gossip {
		if room == 0 {
			out = append(out, &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_NEWS})
			room = m.options.MaxMessageEntries
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

// receiveNews takes news; a delegate passes it on.
func (m *Machine) receiveNews(from string, g *peerv1.Gossip) {
	for _, p := range g.Members {
		learned := m.learn(p)
		if g.Relay {
			m.passOn(p, learned)
		}
	}
	sender := m.members[from]
	near := sender != nil && sender.dataCentre == m.self.dataCentre
	for _, p := range g.Targets {
		if m.learnTarget(p) && g.Relay && !near {
			m.targetRelays[p.Name] = struct{}{}
		}
	}
	m.flushUrgent()
}
