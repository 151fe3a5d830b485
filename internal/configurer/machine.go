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
	// minWatchRetry is the wait before a watch that ended starts again; it doubles up to maxWatchRetry.
	minWatchRetry = 250 * time.Millisecond
	maxWatchRetry = 5 * time.Second
	// watchIdleTimeout is how long a watch may deliver neither event nor bookmark before it is restarted, as the
	// connection of a watch can die without an error.
	watchIdleTimeout = 30 * time.Second
	// bookmarkTimeout bounds how long a starting daemon waits for the first bookmark of its watch after its list.
	bookmarkTimeout = 2 * time.Second
	// bootPeerCount is how many daemons a starting daemon compares digests with.
	bootPeerCount = 8
	// maxReconcilePushes bounds the items pushed after one exchange; the peer pulls the remaining ones.
	maxReconcilePushes = 8
	// remoteExchangeInterval is the number of exchanges of which one goes to another data centre.
	remoteExchangeInterval = 4
)

// machine decides which documents to fetch and to forward; it does no I/O and takes the time as an argument.
type machine struct {
	self   peer
	random *rand.Rand
	// watchers is Configurer.Watchers.
	watchers func([]cataloger.Member, cataloger.DataCentre) []cataloger.Member

	set       *set
	coverages map[string]coverage
	members   []cataloger.Member
	peers     []peer

	isWatcher    bool
	watching     bool
	lastEventAt  time.Time
	watchAt      time.Time
	watchBackoff time.Duration
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
		coverages:    map[string]coverage{},
		watchBackoff: minWatchRetry,
		listInterval: minListInterval,
		boot:         bootState{pendingPeers: map[string]bool{}},
	}
}

// start lists the store and compares digests with random peers.
func (m *machine) start(now time.Time, members []cataloger.Member) []effect {
	out := m.setMembers(now, members)
	m.listing = true
	out = append(out, effectList{})
	order := m.random.Perm(len(m.peers))
	for _, i := range order[:min(bootPeerCount, len(order))] {
		m.boot.pendingPeers[m.peers[i].name] = true
		out = append(out, m.exchangeWith(m.peers[i]))
	}
	m.exchangeAt = now.Add(m.jitter(exchangeInterval))
	return out
}

func (m *machine) exchangeWith(p peer) effect { return effectExchange{to: p, digest: m.set.digest} }

// setMembers replaces the fleet, and starts or stops being a watcher accordingly.
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

// countWatchers returns whether this daemon is a watcher and the number of watchers in the fleet.
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

// tick starts the lists, watches and exchanges that are due.
func (m *machine) tick(now time.Time) []effect {
	var out []effect
	if m.isWatcher && !m.listing && !now.Before(m.listAt) {
		m.listing = true
		out = append(out, effectList{})
	}
	if m.watching && now.Sub(m.lastEventAt) >= watchIdleTimeout {
		m.watching = false
		out = append(out, effectUnwatch{})
	}
	wanted := m.isWatcher || !m.boot.ready
	if wanted && !m.watching && m.boot.listed && !now.Before(m.watchAt) {
		m.watching = true
		m.lastEventAt = now
		out = append(out, effectWatch{after: m.cursor})
	}
	if !now.Before(m.exchangeAt) {
		m.exchangeAt = now.Add(m.jitter(exchangeInterval))
		if p, ok := m.pickPartner(); ok {
			out = append(out, m.exchangeWith(p))
		}
	}
	return append(out, m.checkBoot(now)...)
}

// pickPartner picks a random daemon for an exchange, mostly of this data centre.
func (m *machine) pickPartner() (peer, bool) {
	m.exchanges++
	var local, remote []peer
	for _, p := range m.peers {
		if p.dataCentre == m.self.dataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	pool := local
	if len(local) == 0 || len(remote) > 0 && m.exchanges%remoteExchangeInterval == 0 {
		pool = remote
	}
	if len(pool) == 0 {
		return peer{}, false
	}
	return pool[m.random.IntN(len(pool))], true
}

// jitter returns a random duration in [3d/4, 5d/4).
func (m *machine) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(m.random.Int64N(int64(d/2)))
}
