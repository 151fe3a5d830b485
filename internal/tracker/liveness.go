package tracker

import (
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
)

const (
	// maxPings bounds the pings of one liveness check.
	maxPings = 3
	// checkRetryWait is the wait after a check that got no vote. It doubles up to maxCheckRetryWait, since queries load a
	// fleet that is short of processor time.
	checkRetryWait    = time.Second
	maxCheckRetryWait = 4 * time.Second
)

// livenessCheck is a watcher's check of a member that it watches: pings to the member and queries to other daemons.
type livenessCheck struct {
	// graceFrom counts as the time of the last message where it is later, such as for a member watched only recently.
	graceFrom      time.Duration
	active         bool
	startedAt      time.Duration
	notBefore      time.Duration
	pings          int
	voters         []*memberEntry
	silentVotes    map[string]struct{}
	confirmedAlive bool
	// unanswered is how many checks in a row got no vote.
	unanswered int
}

// checkWatched starts, continues and concludes the checks of silent members.
func (m *Machine) checkWatched() {
	for _, e := range m.sorted {
		check := m.watched[e.name]
		if check == nil || !e.present() || e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || m.inFirstMessageGrace(e) {
			continue
		}
		if m.now-max(e.lastMessageAt, check.graceFrom) < m.silenceTimeout() || m.now < check.notBefore {
			continue
		}
		if !check.active {
			m.startCheck(e, check)
			continue
		}
		if m.now-check.startedAt < m.options.ConfirmTimeout {
			m.continueCheck(e, check)
			continue
		}
		m.concludeCheck(e, check)
	}
}

// inFirstMessageGrace reports whether it is too early to judge a member that has never sent this daemon a message.
//
// Where many daemons start together, opening their connections takes longer than the silence timeout. Without this grace
// they suspect each other, and announcing that to everybody needs even more connections.
func (m *Machine) inFirstMessageGrace(e *memberEntry) bool {
	starting := !m.synced || m.now-m.started < m.options.StartupPeriod || len(m.sorted) >= m.options.LargeFleet
	return starting && e.lastMessageAt == never && m.now-e.learnedAt < m.options.FirstMessageGrace
}

func (m *Machine) startCheck(e *memberEntry, check *livenessCheck) {
	*check = livenessCheck{
		graceFrom:   check.graceFrom,
		active:      true,
		startedAt:   m.now,
		voters:      m.voters(e),
		silentVotes: map[string]struct{}{},
		unanswered:  check.unanswered,
	}
	m.continueCheck(e, check)
}

// continueCheck pings the member and queries the voters that have not voted.
func (m *Machine) continueCheck(e *memberEntry, check *livenessCheck) {
	if check.pings >= maxPings {
		return
	}
	check.pings++
	m.sendPing(e.peerAddress)
	for _, v := range check.voters {
		if _, voted := check.silentVotes[v.name]; voted {
			continue
		}
		m.send(v.peerAddress, &peerv1.Gossip{
			Kind:               peerv1.GossipKind_GOSSIP_KIND_QUERY,
			Subject:            e.name,
			SubjectIncarnation: e.incarnation,
		})
	}
}

// concludeCheck decides on a member that stayed silent: it becomes suspect, or dead if it was leaving, where a voter
// confirms the silence or there is none to ask; otherwise only this daemon avoids the member.
func (m *Machine) concludeCheck(e *memberEntry, check *livenessCheck) {
	switch {
	case check.confirmedAlive:
		m.setUnreachable(e, false)
		*check = livenessCheck{graceFrom: m.now - m.options.SilenceTimeout/2}
	case len(check.silentVotes) > 0 || len(check.voters) == 0:
		*check = livenessCheck{}
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
		wait := min(checkRetryWait<<check.unanswered, maxCheckRetryWait)
		*check = livenessCheck{graceFrom: check.graceFrom, notBefore: m.now + wait, unanswered: min(check.unanswered+1, maxPings)}
	}
}

// setUnreachable records whether this daemon alone avoids a member.
func (m *Machine) setUnreachable(e *memberEntry, unreachable bool) {
	if e.unreachable != unreachable {
		e.unreachable = unreachable
		m.changes++
	}
}

// voters returns the other watchers of a member and a few extra voters, preferring those that sent a message recently and
// then those in the same data centre.
func (m *Machine) voters(e *memberEntry) []*memberEntry {
	var out, recent, near, rest []*memberEntry
	for _, w := range m.watchersOf(e) {
		if w != m.self {
			out = append(out, w)
		}
	}
	for _, other := range m.sorted {
		if other == m.self || other == e || !m.canWatch(other) || other.unreachable || slices.Contains(out, other) {
			continue
		}
		switch {
		case m.now-other.lastMessageAt < m.options.SilenceTimeout:
			recent = append(recent, other)
		case other.dataCentre == m.self.dataCentre:
			near = append(near, other)
		default:
			rest = append(rest, other)
		}
	}
	m.shuffle(recent)
	m.shuffle(near)
	m.shuffle(rest)
	extra := slices.Concat(recent, near, rest)
	return append(out, extra[:min(m.options.ExtraVoters, len(extra))]...)
}

func (m *Machine) shuffle(s []*memberEntry) {
	m.random.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
