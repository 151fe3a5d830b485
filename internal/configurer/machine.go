package configurer

import (
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
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

// effect is something that the machine wants done.
type effect interface{ isEffect() }

type (
	// effectList asks for a list of the store.
	effectList struct{}
	// effectWatch starts the watch after a revision.
	effectWatch struct{ after uint64 }
	// effectUnwatch ends the watch.
	effectUnwatch struct{}
	// effectPush sends an item to a peer; base is what a splice may be made from.
	effectPush struct {
		to   peer
		item Item
		base Item
		rest span
	}
	// effectAsk compares digests with a peer.
	effectAsk struct {
		to     peer
		digest uint64
	}
	// effectPull fetches names from a peer.
	effectPull struct {
		from peer
		have []*peerv1.ConfigVersion
	}
	// effectUnreadable reports a document that cannot be read.
	effectUnreadable struct {
		item Item
		err  error
	}
)

func (effectList) isEffect()       {}
func (effectWatch) isEffect()      {}
func (effectUnwatch) isEffect()    {}
func (effectPush) isEffect()       {}
func (effectAsk) isEffect()        {}
func (effectPull) isEffect()       {}
func (effectUnreadable) isEffect() {}

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
	cursor       uint64
	listing      bool
	listAt       time.Time
	listInterval time.Duration
	exchangeAt   time.Time
	exchanges    int

	boot bootState
	// completeAt is the latest time as of which the set was known to be complete.
	completeAt time.Time
}

// bootState is what a starting daemon has learned so far.
type bootState struct {
	ready      bool
	listed     bool
	listedAt   time.Time
	listFailed bool
	caughtUp   bool
	asked      map[string]bool
	answered   int
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

// listed takes in a list of the store that was asked for at sent.
func (m *machine) listed(now, sent time.Time, items []Item, revision uint64) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(m.listInterval))
	m.boot.listed = true
	m.boot.listedAt = now
	if m.cursor == 0 {
		m.cursor = revision
	}
	m.complete(sent)
	var out []effect
	for _, i := range items {
		out = append(out, m.install(i, everyone)...)
	}
	return append(out, m.checkBoot(now)...)
}

func (m *machine) listFailed(now time.Time) []effect {
	m.listing = false
	m.listAt = now.Add(m.jitter(minListInterval))
	m.boot.listFailed = true
	if !m.boot.ready {
		m.listAt = now.Add(m.jitter(watchRetry))
	}
	return m.checkBoot(now)
}

// watched takes in an event of the watch; item is nil on a bookmark.
func (m *machine) watched(now time.Time, item *Item, revision uint64) []effect {
	m.heardAt = now
	m.cursor = max(m.cursor, revision)
	m.watchRetry = watchRetry
	if item != nil {
		return m.install(*item, everyone)
	}
	m.boot.caughtUp = true
	m.complete(now)
	return m.checkBoot(now)
}

// watchEnded plans the next watch; after a compaction it follows a list.
func (m *machine) watchEnded(now time.Time, err error) []effect {
	m.watching = false
	m.watchAt = now.Add(m.jitter(m.watchRetry))
	m.watchRetry = min(2*m.watchRetry, maxWatchRetry)
	if isCompacted(err) {
		m.cursor = 0
		m.boot.listed = false
		m.listAt = now
		if !m.listing {
			m.listing = true
			return []effect{effectList{}}
		}
	}
	return nil
}

// accepted takes in what this daemon itself has stored; it goes to the watchers of the other data centres as well,
// so that it does not depend on their watches.
func (m *machine) accepted(item Item) []effect {
	out := m.install(item, everyone)
	e := m.set.entries[item.Name]
	if e.newest.Version != item.Version {
		return out
	}
	for _, p := range m.farWatchers() {
		out = append(out, effectPush{to: p, item: item, base: e.previous, rest: nobody})
	}
	return out
}

// farWatchers returns the watchers of the other data centres.
func (m *machine) farWatchers() []peer {
	var out []peer
	for _, dc := range dataCentres(m.members) {
		if dc == m.self.dataCentre {
			continue
		}
		for _, w := range m.watchers(m.members, dc) {
			out = append(out, newPeer(w))
		}
	}
	return out
}

// pushed takes in an item from a peer and passes on the part of its range that is new to this daemon.
// Pushes of several daemons cross, and a daemon that is in all their trees has another range in each.
// Only a range that a push brought counts as covered, not one that this daemon started to spread:
// a push goes from lower to higher hashes, so that no two daemons leave a range to each other.
func (m *machine) pushed(p pushedItem) []effect {
	if p.from != m.self.dataCentre {
		return m.install(p.item, everyone)
	}
	held := m.set.version(p.item.Name)
	if p.item.Version < held {
		return nil
	}
	covered, fresh := m.covered[p.item.Name].with(p.item.Version, p.rest)
	m.covered[p.item.Name] = covered
	out := m.install(p.item, nobody)
	e := m.set.entries[p.item.Name]
	for _, s := range fresh {
		out = append(out, m.spread(e.newest, e.previous, s)...)
	}
	return out
}

// pushedItem is an item with the range of hashes that it is to be passed on to.
type pushedItem struct {
	item Item
	from cataloger.DataCentre
	rest span
}

// pushFailed passes the item on to the range of a daemon that could not be reached.
func (m *machine) pushFailed(e effectPush) []effect { return m.spread(e.item, e.base, e.rest) }

// exchanged takes in a peer's answer to a comparison of digests.
func (m *machine) exchanged(now, sent time.Time, from peer, digest uint64, r *peerv1.ConfigExchangeResponse) []effect {
	if r.Ready {
		m.boot.answered++
	}
	delete(m.boot.asked, from.name)
	if r.Same {
		if r.AgeMs != nil && digest == m.set.digest {
			m.complete(sent.Add(-time.Duration(*r.AgeMs) * time.Millisecond))
		}
		return m.checkBoot(now)
	}
	out := m.reconcile(from, r.Versions)
	return append(out, m.checkBoot(now)...)
}

// reconcile pulls what the peer has newer and pushes what it has older.
func (m *machine) reconcile(from peer, versions []*peerv1.ConfigVersion) []effect {
	theirs := make(map[string]uint64, len(versions))
	var pull []*peerv1.ConfigVersion
	for _, v := range versions {
		theirs[v.Name] = v.Version
		if have := m.set.version(v.Name); have < v.Version {
			pull = append(pull, &peerv1.ConfigVersion{Name: v.Name, Version: have})
		}
	}
	var out []effect
	if len(pull) > 0 {
		m.boot.asked[from.name] = true
		out = append(out, effectPull{from: from, have: pull})
	}
	for _, v := range m.set.versions() {
		if len(out) >= maxReconcilePushes {
			break
		}
		if e := m.set.entries[v.Name]; theirs[v.Name] < v.Version {
			out = append(out, effectPush{to: from, item: e.newest, base: e.previous, rest: nobody})
		}
	}
	return out
}

func (m *machine) askFailed(now time.Time, to peer) []effect {
	delete(m.boot.asked, to.name)
	return m.checkBoot(now)
}

// pulled takes in items from a peer, and asks for the rest where the answer was cut short.
func (m *machine) pulled(now time.Time, from peer, wanted []*peerv1.ConfigVersion, items []Item) []effect {
	delete(m.boot.asked, from.name)
	rest := nobody
	if from.dataCentre != m.self.dataCentre {
		rest = everyone
	}
	var out []effect
	got := map[string]bool{}
	for _, i := range items {
		got[i.Name] = true
		out = append(out, m.install(i, rest)...)
	}
	var missing []*peerv1.ConfigVersion
	for _, w := range wanted {
		if !got[w.Name] {
			missing = append(missing, w)
		}
	}
	if len(items) > 0 && len(missing) > 0 {
		m.boot.asked[from.name] = true
		out = append(out, effectPull{from: from, have: missing})
	}
	return append(out, m.checkBoot(now)...)
}

// install takes in an item and, where it is news, passes it on within a span of this data centre.
func (m *machine) install(i Item, s span) []effect {
	base := m.set.entries[i.Name].newest
	news, err := m.set.install(i)
	if !news {
		return nil
	}
	if !m.boot.ready {
		// What a starting daemon learns is known to others; the exchanges pass on what is not.
		s = nobody
	}
	var out []effect
	if err != nil {
		out = append(out, effectUnreadable{item: i, err: err})
	}
	return append(out, m.spread(i, base, s)...)
}

func (m *machine) spread(i, base Item, s span) []effect {
	var out []effect
	for _, h := range split(m.peers, m.self.dataCentre, s) {
		out = append(out, effectPush{to: h.to, item: i, base: base, rest: h.rest})
	}
	return out
}

// checkBoot becomes ready once the state is from the store or, in an outage, the newest that reachable peers have.
func (m *machine) checkBoot(now time.Time) []effect {
	b := &m.boot
	if b.ready || len(b.asked) > 0 {
		return nil
	}
	fromStore := b.listed && (b.caughtUp || now.Sub(b.listedAt) >= bootWait)
	fromPeers := b.listFailed && b.answered > 0
	if !fromStore && !fromPeers {
		if !m.listing && !b.listed && !now.Before(m.listAt) {
			m.listing = true
			return []effect{effectList{}}
		}
		return nil
	}
	b.ready = true
	if m.watching && !m.isWatcher {
		m.watching = false
		return []effect{effectUnwatch{}}
	}
	return nil
}

// complete notes that the set held everything as of t.
func (m *machine) complete(t time.Time) {
	if t.After(m.completeAt) {
		m.completeAt = t
	}
}

func isCompacted(err error) bool { return err != nil && storer.ErrorName(err) == "compacted" }
