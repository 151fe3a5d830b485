package tracker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// Message is a Gossip on its way to a peer address.
type Message struct {
	To     string
	Gossip *peerv1.Gossip
}

// Counts are the decisions of a machine since its start.
type Counts struct {
	// Suspicions is how often this daemon told the fleet that a member is silent.
	Suspicions uint64
	// Refutations is how often it refuted what others said of it.
	Refutations uint64
	// Losses is how many members became dead in its view.
	Losses uint64
}

// Machine decides on membership: events and time in, messages out; it does no I/O and is not safe for concurrent use.
// Time is the monotonic time since any fixed moment.
type Machine struct {
	options Options
	random  *rand.Rand
	// now is the machine's own time, which leaves out pauses and jumps of the clock.
	now time.Duration
	// offset is what is added to the clock's time.
	offset time.Duration

	self    *memberEntry
	members map[string]*memberEntry
	// order holds the members by name, so that a run repeats under one seed.
	order   []*memberEntry
	targets map[string]*targetEntry
	// targetChanges is the change number of the last change of a target, and targetViews the list as of listedAt.
	targetChanges uint64
	listedAt      uint64
	targetViews   []cataloger.Target

	seeds []string
	// listed holds the peer addresses of the entry VMs on the platform's list.
	listed map[string]string

	// changes numbers every change of the table.
	changes uint64
	digest  uint64

	watchers []*memberEntry
	watched  map[string]*doubt
	// started is when the machine began.
	started time.Duration
	stale   bool
	// scarce is set while leaving members have to watch as well.
	scarce        bool
	lastHeartbeat time.Duration
	lastContact   time.Duration
	subscribers   map[string]time.Duration
	votes         map[string]*vote
	syncs         map[string]*syncState
	held          map[string]heldEntry

	news       map[string]struct{}
	targetNews map[string]struct{}
	// repeats and relayRepeats hold what is still to be told again.
	repeats      map[string]retelling
	relayRepeats map[string]retelling
	// urgent, relays and targetRelays are passed on inside the data centre only.
	urgent       map[string]struct{}
	relays       map[string]struct{}
	targetRelays map[string]struct{}

	// reading is the peer whose long table is being read, and readAt when its last part came.
	reading string
	readAt  time.Duration

	superseded bool
	synced     bool
	lastLoad   time.Duration
	// changedAt is when the table changed last, and heartbeats counts the rounds of them.
	changedAt  time.Duration
	heartbeats int
	// strainedUntil is when the daemon trusts its own sense of time again.
	strainedUntil time.Duration
	// contests counts the incarnations of other processes of this name that this one had to raise its own over.
	contests int
	out      []Message
	counts   Counts
}

// NewMachine returns a machine that knows itself and some addresses to try; the epoch is unique to the process and grows with its start time.
func NewMachine(o Options, self cataloger.Member, epoch uint64, seeds []string, random *rand.Rand, now time.Duration) *Machine {
	m := &Machine{
		options:      o.withDefaults(),
		random:       random,
		now:          now,
		started:      now,
		members:      map[string]*memberEntry{},
		targets:      map[string]*targetEntry{},
		seeds:        slices.Clone(seeds),
		listed:       map[string]string{},
		watched:      map[string]*doubt{},
		subscribers:  map[string]time.Duration{},
		votes:        map[string]*vote{},
		syncs:        map[string]*syncState{},
		held:         map[string]heldEntry{},
		news:         map[string]struct{}{},
		targetNews:   map[string]struct{}{},
		repeats:      map[string]retelling{},
		relayRepeats: map[string]retelling{},
		urgent:       map[string]struct{}{},
		relays:       map[string]struct{}{},
		targetRelays: map[string]struct{}{},
	}
	m.self = &memberEntry{
		name:        self.Name,
		hash:        xxhash.Sum64String(self.Name),
		incarnation: self.Incarnation,
		epoch:       epoch,
		address:     self.Address,
		peerAddress: self.PeerAddress,
		dataCentre:  self.DataCentre,
		region:      self.Region,
		since:       now,
		heard:       now,
	}
	m.insert(m.self)
	m.lastContact = now - m.options.ContactInterval
	m.lastHeartbeat = now - time.Duration(random.Int64N(int64(m.options.HeartbeatInterval)))
	return m
}

// Tick acts on the passing of time; it is to be called every Options.Tick.
func (m *Machine) Tick(now time.Duration) []Message {
	if m.advance(now) {
		m.resumeAfterPause()
	}
	m.refreshWatches()
	m.releaseHeld()
	m.ageMembers()
	m.watch()
	m.finishVotes()
	m.sendHeartbeats()
	m.contactAbsent()
	m.repeatNews()
	m.flushNews()
	return m.take()
}

// Receive takes a message of a peer.
func (m *Machine) Receive(now time.Duration, from string, g *peerv1.Gossip) []Message {
	if now+m.offset-m.now <= m.options.PauseThreshold {
		// A longer gap is for Tick to find.
		m.advance(now)
	}
	if from == m.self.name {
		return nil
	}
	m.hear(from, g)
	switch g.Kind {
	case peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT:
		m.compare(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_PING:
		m.receivePing(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_ACK:
		m.receiveAck(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_QUERY:
		m.receiveQuery(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_VOTE:
		m.receiveVote(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_NEWS:
		m.receiveNews(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_SYNC:
		m.receiveSync(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_DELTA:
		m.receiveDelta(from, g)
	case peerv1.GossipKind_GOSSIP_KIND_LOAD:
		m.receiveLoad(from, g)
	}
	return m.take()
}

// Leave announces that this daemon leaves.
func (m *Machine) Leave(now time.Duration) []Message {
	m.advance(now)
	if m.self.status < peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
		m.setStatus(m.self, peerv1.MemberStatus_MEMBER_STATUS_LEAVING)
		m.publish(m.self)
		m.flushNews()
	}
	return m.take()
}

// SetTraits tells the fleet what this daemon says of itself; a change raises its incarnation, so that the newest one counts.
func (m *Machine) SetTraits(now time.Duration, traits uint32) []Message {
	m.advance(now)
	if m.self.traits != traits && !m.superseded {
		m.self.traits = traits
		m.raise()
		m.flushNews()
	}
	return m.take()
}

// AddSeeds takes more addresses to try.
func (m *Machine) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
	m.seeds = m.seeds[max(len(m.seeds)-maxSeeds, 0):]
}

// raise gives this daemon's entry the next incarnation and tells the fleet.
func (m *Machine) raise() {
	m.digest ^= m.self.digest()
	m.self.incarnation++
	m.digest ^= m.self.digest()
	m.noteChange(m.self)
	m.publish(m.self)
}

// Leaving tells whether this daemon has been marked as leaving, or another process has taken its name.
func (m *Machine) Leaving() bool {
	return m.superseded || m.self.status >= peerv1.MemberStatus_MEMBER_STATUS_LEAVING
}

// Superseded tells whether another process has taken the name of this daemon.
func (m *Machine) Superseded() bool { return m.superseded }

// Counts returns what the machine has decided since its start.
func (m *Machine) Counts() Counts { return m.counts }

// Changes returns a number that grows with every change of the table or of what this daemon can reach.
func (m *Machine) Changes() uint64 { return m.changes }

// Digest returns the digest of the table.
func (m *Machine) Digest() uint64 { return m.digest }

// Synced tells whether the table of another daemon has been taken over since the start.
func (m *Machine) Synced() bool { return m.synced }

// Incarnation returns the current incarnation of this daemon.
func (m *Machine) Incarnation() uint64 { return m.self.incarnation }

// hear notes that a member lives, and tells it bad news about itself.
func (m *Machine) hear(from string, g *peerv1.Gossip) {
	e, ok := m.members[from]
	if !ok || g.Incarnation < e.incarnation {
		return
	}
	e.heard = m.now
	m.setUnreachable(e, false)
	if d := m.watched[from]; d != nil {
		*d = doubt{}
	}
	if v := m.votes[from]; v != nil {
		m.answerVote(v, from, true)
	}
	bad := e.status == peerv1.MemberStatus_MEMBER_STATUS_SUSPECT || e.status == peerv1.MemberStatus_MEMBER_STATUS_DEAD
	if bad && g.Incarnation == e.incarnation {
		m.send(e.peerAddress, &peerv1.Gossip{
			Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
			Members: []*peerv1.MemberEntry{e.proto(m.now)},
		})
	}
}

func (m *Machine) send(address string, g *peerv1.Gossip) {
	if address == "" || address == m.self.peerAddress || m.superseded {
		return
	}
	g.Incarnation = m.self.incarnation
	m.out = append(m.out, Message{To: address, Gossip: g})
}

func (m *Machine) take() []Message {
	out := m.out
	m.out = nil
	return out
}
