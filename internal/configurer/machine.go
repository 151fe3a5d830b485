package configurer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

// Timings of the machine.
const (
	// exchangeInterval is the time between a daemon's comparisons of digests.
	exchangeInterval = time.Second
	// fleetListInterval is the time between two lists of the store over all watchers together.
	fleetListInterval = 5 * time.Second
	minListInterval   = 5 * time.Second
	maxListInterval   = time.Minute
	// watchRetry is the wait before a watch that ended starts again; it doubles up to maxWatchRetry.
	watchRetry    = 250 * time.Millisecond
	maxWatchRetry = 5 * time.Second
	// watchSilence is how long a watch may show neither event nor bookmark before it starts anew;
	// the connection of a watch can die without a sign.
	watchSilence = 30 * time.Second
	// bootWait bounds how long a starting daemon waits for the first bookmark of its watch after its list.
	bootWait = 2 * time.Second
	// bootPeers is how many daemons a starting daemon asks.
	bootPeers = 8
	// maxReconcilePushes bounds the items sent after one exchange; the peer pulls the rest.
	maxReconcilePushes = 8
	// farEvery is how often an exchange goes to another data centre.
	farEvery = 4
)

// machine decides how service documents spread; it does no I/O and takes time as an argument.
type machine struct {
	self   peer
	random *rand.Rand
	// watchers is the seam of Configurer.Watchers.
	watchers func([]cataloger.Member, cataloger.DataCentre) []cataloger.Member

	set     *set
	covered map[string]coverage
	members []cataloger.Member
	peers   []peer

	isWatcher    bool
	watching     bool
	heardAt      time.Time
	watchAt      time.Time
	watchRetry   time.Duration
	cursor       storer.Point
	listing      bool
	listAt       time.Time
	listInterval time.Duration
	exchangeAt   time.Time
	exchanges    int

	boot bootState
	// completeAt is the latest time as of which the set was known to be complete.
	completeAt time.Time
}

func newMachine(self cataloger.Member, random *rand.Rand) *machine {
	return &machine{
		self:         newPeer(self),
		random:       random,
		watchers:     Watchers,
		set:          newSet(),
		covered:      map[string]coverage{},
		watchRetry:   watchRetry,
		listInterval: minListInterval,
		boot:         bootState{asked: map[string]bool{}},
	}
}

// start lists the store and asks peers.
func (m *machine) start(now time.Time, members []cataloger.Member) []effect {
	out := m.setMembers(now, members)
	m.listing = true
	out = append(out, effectList{})
	order := m.random.Perm(len(m.peers))
	for _, i := range order[:min(bootPeers, len(order))] {
		m.boot.asked[m.peers[i].name] = true
		out = append(out, m.ask(m.peers[i]))
	}
	m.exchangeAt = now.Add(m.jitter(exchangeInterval))
	return out
}

func (m *machine) ask(p peer) effect { return effectAsk{to: p, digest: m.set.digest} }

// setMembers takes in the fleet, and becomes or stops being a watcher.
func (m *machine) setMembers(now time.Time, members []cataloger.Member) []effect {
	m.members = members
	m.peers = newPeers(members, m.self.name)
	isWatcher, total := m.countWatchers()
	m.listInterval = min(max(time.Duration(total)*fleetListInterval, minListInterval), maxListInterval)
	if isWatcher && !m.isWatcher {
		m.listAt = now
	}
	m.isWatcher = isWatcher
	if !isWatcher && m.watching && m.boot.ready {
		m.watching = false
		return []effect{effectUnwatch{}}
	}
	return nil
}

// countWatchers tells whether this daemon is a watcher and how many there are in all.
func (m *machine) countWatchers() (bool, int) {
	isWatcher, total := false, 0
	for _, dc := range dataCentres(m.members) {
		for _, w := range m.watchers(m.members, dc) {
			total++
			isWatcher = isWatcher || w.Name == m.self.name
		}
	}
	return isWatcher, total
}

func dataCentres(members []cataloger.Member) []cataloger.DataCentre {
	var out []cataloger.DataCentre
	for _, m := range members {
		if !slices.Contains(out, m.DataCentre) {
			out = append(out, m.DataCentre)
		}
	}
	return out
}

// tick starts what is due.
func (m *machine) tick(now time.Time) []effect {
	var out []effect
	if m.isWatcher && !m.listing && !now.Before(m.listAt) {
		m.listing = true
		out = append(out, effectList{})
	}
	if m.watching && now.Sub(m.heardAt) >= watchSilence {
		m.watching = false
		out = append(out, effectUnwatch{})
	}
	wanted := m.isWatcher || !m.boot.ready
	if wanted && !m.watching && m.boot.listed && !now.Before(m.watchAt) {
		m.watching = true
		m.heardAt = now
		out = append(out, effectWatch{after: m.cursor})
	}
	if !now.Before(m.exchangeAt) {
		m.exchangeAt = now.Add(m.jitter(exchangeInterval))
		if p, ok := m.partner(); ok {
			out = append(out, m.ask(p))
		}
	}
	return append(out, m.checkBoot(now)...)
}

// partner picks a random daemon, mostly of this data centre.
func (m *machine) partner() (peer, bool) {
	m.exchanges++
	var near, far []peer
	for _, p := range m.peers {
		if p.dataCentre == m.self.dataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	pool := near
	if len(near) == 0 || len(far) > 0 && m.exchanges%farEvery == 0 {
		pool = far
	}
	if len(pool) == 0 {
		return peer{}, false
	}
	return pool[m.random.IntN(len(pool))], true
}

// jitter spreads d over [3d/4, 5d/4].
func (m *machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)))
}
