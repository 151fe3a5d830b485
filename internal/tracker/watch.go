package tracker

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	// subscription is how long a daemon that sent a ping gets heartbeats.
	subscription = 3 * time.Second
	// maxPings bounds the pings of one doubt.
	maxPings = 3
	// retryDoubt is the wait after a doubt on which nobody voted.
	retryDoubt = time.Second
	// recentDeath is how long the address of a dead member is tried again.
	recentDeath = 2 * time.Hour
	// firstContacts is how many addresses a daemon tries at once while it knows nobody.
	firstContacts = 3
	// numberedAfterChange is for how long after a change heartbeats carry the change number, and numberedEvery how often they do else.
	numberedAfterChange = 2 * time.Second
	numberedEvery       = 16
)

// doubt is a watcher's question whether a member still lives.
type doubt struct {
	// graceFrom stands in for the last message of a member that has only just come to be watched.
	graceFrom time.Duration
	active    bool
	since     time.Duration
	notBefore time.Duration
	pings     int
	voters    []*memberEntry
	silent    map[string]struct{}
	heard     bool
}

// vote is a question of others that waits for an ack.
type vote struct {
	deadline time.Duration
	askers   map[string]string
}

// refreshWatches recomputes who watches this daemon and whom it watches.
func (m *Machine) refreshWatches() {
	if !m.stale {
		return
	}
	m.stale = false
	m.scarce = m.scarceWorkers()
	counts := m.countEligible()
	m.watchers = m.watchersOf(m.self)
	for name := range m.watched {
		if e := m.members[name]; e == nil || !e.present() || !m.isWatcher(e, counts) {
			delete(m.watched, name)
			if e != nil {
				m.setUnreachable(e, false)
			}
		}
	}
	for _, e := range m.order {
		if e == m.self || !e.present() || m.watched[e.name] != nil || !m.isWatcher(e, counts) {
			continue
		}
		m.watched[e.name] = &doubt{graceFrom: m.now}
	}
}

// scarceWorkers tells whether there are too few working members to watch everybody.
func (m *Machine) scarceWorkers() bool {
	working := 0
	for _, e := range m.order {
		if e.working() {
			working++
		}
	}
	return working <= m.options.NearWatchers+m.options.FarWatchers
}

func (m *Machine) countEligible() map[cataloger.DataCentre]int {
	counts := map[cataloger.DataCentre]int{}
	for _, e := range m.order {
		if m.eligible(e) {
			counts[e.dataCentre]++
		}
	}
	return counts
}

// quotas returns how many watchers of a member are inside and outside its data centre.
func (m *Machine) quotas(nearMembers, farMembers int) (near, far int) {
	total := m.options.NearWatchers + m.options.FarWatchers
	near = min(m.options.NearWatchers, nearMembers)
	far = min(total-near, farMembers)
	near = min(total-far, nearMembers)
	return near, far
}

// isWatcher tells whether this daemon is among the watchers of e.
func (m *Machine) isWatcher(e *memberEntry, counts map[cataloger.DataCentre]int) bool {
	if !m.eligible(m.self) {
		return false
	}
	nearMembers := counts[e.dataCentre]
	if m.eligible(e) {
		nearMembers--
	}
	all := 0
	for _, n := range counts {
		all += n
	}
	near, far := m.quotas(nearMembers, all-counts[e.dataCentre])
	isNear := m.self.dataCentre == e.dataCentre
	quota := far
	if isNear {
		quota = near
	}
	own := pairScore(m.self.hash, e.hash)
	better := 0
	for _, other := range m.order {
		if better >= quota {
			return false
		}
		if other == e || other == m.self || !m.eligible(other) || (other.dataCentre == e.dataCentre) != isNear {
			continue
		}
		if pairScore(other.hash, e.hash) > own {
			better++
		}
	}
	return better < quota
}

// watchersOf returns the daemons that watch e.
func (m *Machine) watchersOf(e *memberEntry) []*memberEntry {
	var nearby, distant []*memberEntry
	for _, other := range m.order {
		switch {
		case other == e || !m.eligible(other):
		case other.dataCentre == e.dataCentre:
			nearby = append(nearby, other)
		default:
			distant = append(distant, other)
		}
	}
	near, far := m.quotas(len(nearby), len(distant))
	return append(topScores(nearby, e.hash, near), topScores(distant, e.hash, far)...)
}

// topScores returns the n members with the highest scores for a key.
func topScores(members []*memberEntry, key uint64, n int) []*memberEntry {
	slices.SortFunc(members, func(a, b *memberEntry) int {
		if c := cmp.Compare(pairScore(b.hash, key), pairScore(a.hash, key)); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	return members[:min(n, len(members))]
}

func (m *Machine) sendHeartbeats() {
	if m.now-m.lastHeartbeat < m.options.Heartbeat {
		return
	}
	m.lastHeartbeat = m.now
	m.heartbeats++
	for _, w := range m.watchers {
		m.sendHeartbeat(w)
	}
	for _, e := range m.order {
		until, ok := m.subscribers[e.name]
		if !ok {
			continue
		}
		if until < m.now {
			delete(m.subscribers, e.name)
			continue
		}
		if !slices.Contains(m.watchers, e) {
			m.sendHeartbeat(e)
		}
	}
}

func (m *Machine) sendHeartbeat(e *memberEntry) {
	g := &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT, Digest: m.digest}
	if m.now-m.changedAt < numberedAfterChange || m.heartbeats%numberedEvery == 0 {
		g.Epoch = m.self.epoch
		g.UpTo = m.changes
	}
	m.send(e.peerAddress, g)
}

// watch looks for silent members and settles the doubts about them.
func (m *Machine) watch() {
	for _, e := range m.order {
		d := m.watched[e.name]
		if d == nil || !e.present() || e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT {
			continue
		}
		if m.now-max(e.heard, d.graceFrom) < m.silence() || m.now < d.notBefore {
			continue
		}
		if !d.active {
			m.startDoubt(e, d)
			continue
		}
		if m.now-d.since < m.options.Confirm {
			m.pursueDoubt(e, d)
			continue
		}
		m.settleDoubt(e, d)
	}
}

func (m *Machine) startDoubt(e *memberEntry, d *doubt) {
	*d = doubt{graceFrom: d.graceFrom, active: true, since: m.now, voters: m.voters(e), silent: map[string]struct{}{}}
	m.pursueDoubt(e, d)
}

// pursueDoubt pings the member and asks those that have not voted.
func (m *Machine) pursueDoubt(e *memberEntry, d *doubt) {
	if d.pings >= maxPings {
		return
	}
	d.pings++
	m.sendPing(e.peerAddress)
	for _, v := range d.voters {
		if _, voted := d.silent[v.name]; voted {
			continue
		}
		m.send(v.peerAddress, &peerv1.Gossip{
			Kind:               peerv1.GossipKind_GOSSIP_KIND_QUERY,
			Subject:            e.name,
			SubjectIncarnation: e.incarnation,
		})
	}
}

// settleDoubt decides on a member that stayed silent: others must confirm it, else only this daemon avoids the member.
func (m *Machine) settleDoubt(e *memberEntry, d *doubt) {
	switch {
	case d.heard:
		m.setUnreachable(e, false)
		*d = doubt{graceFrom: m.now - m.options.Silence/2}
	case len(d.silent) > 0 || len(d.voters) == 0:
		*d = doubt{}
		e.unreachable = false
		next := peerv1.MemberStatus_MEMBER_STATUS_SUSPECT
		if e.status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
			next = peerv1.MemberStatus_MEMBER_STATUS_DEAD
		}
		m.setStatus(e, next)
		m.publish(e)
	default:
		m.setUnreachable(e, true)
		*d = doubt{graceFrom: d.graceFrom, notBefore: m.now + retryDoubt}
	}
}

// setUnreachable notes whether this daemon alone avoids a member.
func (m *Machine) setUnreachable(e *memberEntry, unreachable bool) {
	if e.unreachable != unreachable {
		e.unreachable = unreachable
		m.changes++
	}
}

// voters returns the other watchers of a member and a few helpers; those heard of late and those nearby come first.
func (m *Machine) voters(e *memberEntry) []*memberEntry {
	var out, fresh, near, rest []*memberEntry
	for _, w := range m.watchersOf(e) {
		if w != m.self {
			out = append(out, w)
		}
	}
	for _, o := range m.order {
		if o == m.self || o == e || !m.eligible(o) || o.unreachable || slices.Contains(out, o) {
			continue
		}
		switch {
		case m.now-o.heard < m.options.Silence:
			fresh = append(fresh, o)
		case o.dataCentre == m.self.dataCentre:
			near = append(near, o)
		default:
			rest = append(rest, o)
		}
	}
	m.shuffle(fresh)
	m.shuffle(near)
	m.shuffle(rest)
	helpers := slices.Concat(fresh, near, rest)
	return append(out, helpers[:min(m.options.Helpers, len(helpers))]...)
}

func (m *Machine) shuffle(s []*memberEntry) {
	m.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
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
	m.learnDirect(g)
	m.compare(from, g)
}

func (m *Machine) receiveQuery(from string, g *peerv1.Gossip) {
	asker := m.members[from]
	subject := m.members[g.Subject]
	if asker == nil || subject == nil {
		return
	}
	if subject == m.self || m.now-subject.heard < m.options.Silence/2 && subject.present() && !subject.unreachable {
		m.sendVote(asker.peerAddress, subject, true)
		return
	}
	v := m.votes[subject.name]
	if v == nil {
		v = &vote{deadline: m.now + m.options.VoteWait, askers: map[string]string{}}
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

// ageMembers turns old suspicions into deaths and forgets old deaths.
func (m *Machine) ageMembers() {
	var forgotten []*memberEntry
	for _, e := range m.order {
		age := m.now - e.since
		switch {
		case e == m.self:
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT && age >= m.options.Suspicion:
			m.setStatus(e, peerv1.MemberStatus_MEMBER_STATUS_DEAD)
		case e.status == peerv1.MemberStatus_MEMBER_STATUS_DEAD && age >= m.options.Tombstone:
			forgotten = append(forgotten, e)
		}
	}
	for _, e := range forgotten {
		m.forget(e)
	}
}

// contactAbsent tries an address that should have a daemon and has none in the table.
func (m *Machine) contactAbsent() {
	if m.now-m.lastContact < m.options.Contact {
		return
	}
	m.lastContact = m.now
	candidates := m.absentAddresses()
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := 1
	if !m.synced {
		count = firstContacts
	}
	for _, address := range candidates[:min(count, len(candidates))] {
		m.sendPing(address)
	}
}

func (m *Machine) absentAddresses() []string {
	present := map[string]struct{}{m.self.peerAddress: {}}
	wanted := map[string]struct{}{}
	for _, e := range m.order {
		if e.present() && !e.unreachable {
			present[e.peerAddress] = struct{}{}
		}
		if !e.present() && m.now-e.since < recentDeath {
			wanted[e.peerAddress] = struct{}{}
		}
	}
	for _, a := range m.seeds {
		wanted[a] = struct{}{}
	}
	for _, a := range m.listed {
		wanted[a] = struct{}{}
	}
	var out []string
	for a := range wanted {
		if _, ok := present[a]; !ok && a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}
