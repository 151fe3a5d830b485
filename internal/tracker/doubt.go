package tracker

import (
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// maxPings bounds the pings of one doubt.
	maxPings = 3
	// retryDoubt is the wait after a doubt on which nobody voted; it doubles up to maxRetryDoubt, since the questions load a fleet that is short of processor time.
	retryDoubt    = time.Second
	maxRetryDoubt = 4 * time.Second
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
	// unanswered is how many doubts in a row nobody voted on.
	unanswered int
}

// watch looks for silent members and settles the doubts about them.
func (m *Machine) watch() {
	for _, e := range m.order {
		d := m.watched[e.name]
		if d == nil || !e.present() || e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || m.unacquainted(e) {
			continue
		}
		if m.now-max(e.heard, d.graceFrom) < m.silence() || m.now < d.notBefore {
			continue
		}
		if !d.active {
			m.startDoubt(e, d)
			continue
		}
		if m.now-d.since < m.options.ConfirmTimeout {
			m.pursueDoubt(e, d)
			continue
		}
		m.settleDoubt(e, d)
	}
}

// unacquainted tells whether it is too early to judge a member that this daemon has not heard yet.
//
// Where many daemons start at once, their connections take longer to open than a silent member has to answer. Judged by
// that they suspect each other, and the news of it to everybody takes yet more connections.
func (m *Machine) unacquainted(e *memberEntry) bool {
	starting := !m.synced || m.now-m.started < m.options.StartupPeriod || len(m.order) >= m.options.LargeFleet
	return starting && e.heard == neverHeard && m.now-e.known < m.options.FirstMessageGrace
}

func (m *Machine) startDoubt(e *memberEntry, d *doubt) {
	*d = doubt{
		graceFrom:  d.graceFrom,
		active:     true,
		since:      m.now,
		voters:     m.voters(e),
		silent:     map[string]struct{}{},
		unanswered: d.unanswered,
	}
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
		*d = doubt{graceFrom: m.now - m.options.SilenceTimeout/2}
	case len(d.silent) > 0 || len(d.voters) == 0:
		*d = doubt{}
		e.unreachable = false
		next := peerv1.MemberStatus_MEMBER_STATUS_SUSPECT
		if e.status == peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
			next = peerv1.MemberStatus_MEMBER_STATUS_DEAD
		}
		m.counts.Suspicions++
		m.setStatus(e, next)
		m.publish(e)
	default:
		m.setUnreachable(e, true)
		wait := min(retryDoubt<<d.unanswered, maxRetryDoubt)
		*d = doubt{graceFrom: d.graceFrom, notBefore: m.now + wait, unanswered: min(d.unanswered+1, maxPings)}
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
		case m.now-o.heard < m.options.SilenceTimeout:
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
	return append(out, helpers[:min(m.options.ExtraVoters, len(helpers))]...)
}

func (m *Machine) shuffle(s []*memberEntry) {
	m.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
