package tracker

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// Message is a Gossip to be sent to a peer address.
type Message struct {
	To     string
	Gossip *peerv1.Gossip
}

// Counts holds how many decisions a machine has made since its start.
type Counts struct {
	// Suspicions is how often this daemon announced a silent member as suspect, or as dead if it was leaving.
	Suspicions uint64
	// Refutations is how often it refuted what others reported about it.
	Refutations uint64
	// Losses is how many members became dead in its view.
	Losses uint64
}

// Machine is the membership state machine: it takes events and the time and returns the messages to send. It does no I/O
// and is not safe for concurrent use; times are monotonic durations since any fixed moment.
type Machine struct {
	options Options
	random  *rand.Rand
	// now is the machine's own time, which excludes pauses and jumps of the clock.
	now time.Duration
	// offset is added to the clock's time to get the machine's.
	offset time.Duration

	self    *memberEntry
	members map[string]*memberEntry
	// sorted holds the members by name, so that a run is reproducible under one seed.
	sorted  []*memberEntry
	targets map[string]*targetEntry
	// targetChanges is the change number of the last change of a target; cachedTargets is the list as of change number
	// cachedTargetsAt.
	targetChanges   uint64
	cachedTargetsAt uint64
	cachedTargets   []cataloger.Target

	seeds []string
	// listedAddresses holds the peer addresses of the entry VMs on the platform's list, by VM name.
	listedAddresses map[string]string

	// changes is the number of the last change of the table.
	changes uint64
	digest  uint64

	watchers []*memberEntry
	watched  map[string]*livenessCheck
	// started is when the machine was created.
	started      time.Duration
	watchesStale bool
	// leaversWatch is set while leaving members have to watch as well, since too few others are left.
	leaversWatch  bool
	lastHeartbeat time.Duration
	lastContact   time.Duration
	// contactedAt is when each absent address was last contacted.
	contactedAt          map[string]time.Duration
	heartbeatSubscribers map[string]time.Duration
	pendingVotes         map[string]*pendingVote
	syncs                map[string]*syncState
	held                 map[string]heldEntry

	news       map[string]struct{}
	targetNews map[string]struct{}
	// repeats and relayRepeats hold the entries that are still to be sent again.
	repeats      map[string]repetition
	relayRepeats map[string]repetition
	// urgent, relays and targetRelays are relayed inside the data centre only.
	urgent       map[string]struct{}
	relays       map[string]struct{}
	targetRelays map[string]struct{}

	// readingFrom is the peer whose table is being read in several parts, and lastPartAt when the last part arrived.
	readingFrom string
	lastPartAt  time.Duration

	superseded bool
	synced     bool
	loadSentAt time.Duration
	// changedAt is when the table last changed, and heartbeatRounds counts the rounds of heartbeats.
	changedAt       time.Duration
	heartbeatRounds int
	// starvedUntil is until when the daemon counts as short of processor time and waits longer before it checks others.
	starvedUntil time.Duration
	// nameContests counts the entries of other processes of this name that conflicted with this daemon's own.
	nameContests int
	outbox       []Message
	counts       Counts
}

// NewMachine returns a machine whose table holds only self, and which tries the seed addresses; the epoch must be unique to
// the process and grow with its start time.
func NewMachine(o Options, self cataloger.Member, epoch uint64, seeds []string, random *rand.Rand, now time.Duration) *Machine {
	m := &Machine{
		options:              o.withDefaults(),
		random:               random,
		now:                  now,
		started:              now,
		members:              map[string]*memberEntry{},
		targets:              map[string]*targetEntry{},
		seeds:                slices.Clone(seeds),
		listedAddresses:      map[string]string{},
		contactedAt:          map[string]time.Duration{},
		watched:              map[string]*livenessCheck{},
		heartbeatSubscribers: map[string]time.Duration{},
		pendingVotes:         map[string]*pendingVote{},
		syncs:                map[string]*syncState{},
		held:                 map[string]heldEntry{},
		news:                 map[string]struct{}{},
		targetNews:           map[string]struct{}{},
		repeats:              map[string]repetition{},
		relayRepeats:         map[string]repetition{},
		urgent:               map[string]struct{}{},
		relays:               map[string]struct{}{},
		targetRelays:         map[string]struct{}{},
	}
	m.self = &memberEntry{
		name:          self.Name,
		nameHash:      xxhash.Sum64String(self.Name),
		incarnation:   self.Incarnation,
		epoch:         epoch,
		address:       self.Address,
		peerAddress:   self.PeerAddress,
		dataCentre:    self.DataCentre,
		region:        self.Region,
		statusSince:   now,
		lastMessageAt: now,
	}
	m.insert(m.self)
	m.lastContact = now - m.options.ContactInterval
	m.lastHeartbeat = now - time.Duration(random.Int64N(int64(m.options.HeartbeatInterval)))
	return m
}

// Tick handles the passing of time and returns the messages to send; call it every Options.TickInterval.
func (m *Machine) Tick(now time.Duration) []Message {
	if m.advance(now) {
		m.resumeAfterPause()
	}
	m.refreshWatches()
	m.applyHeldStatuses()
	m.expireMembers()
	m.checkWatched()
	m.expireVotes()
	m.sendHeartbeats()
	m.contactAbsent()
	m.repeatNews()
	m.flushNews()
	return m.takeOutbox()
}

// Receive handles a message from a peer and returns the messages to send.
func (m *Machine) Receive(now time.Duration, from string, g *peerv1.Gossip) []Message {
	if now+m.offset-m.now <= m.options.PauseThreshold {
		// A longer gap counts as a pause, which Tick handles.
		m.advance(now)
	}
	if from == m.self.name {
		return nil
	}
	m.recordAlive(from, g)
	switch g.Kind {
	case peerv1.GossipKind_GOSSIP_KIND_HEARTBEAT:
		m.compareDigest(from, g)
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
	return m.takeOutbox()
}

// Leave marks this daemon as leaving and announces it.
func (m *Machine) Leave(now time.Duration) []Message {
	m.advance(now)
	if m.self.status < peerv1.MemberStatus_MEMBER_STATUS_LEAVING {
		m.setStatus(m.self, peerv1.MemberStatus_MEMBER_STATUS_LEAVING)
		m.publish(m.self)
		m.flushNews()
	}
	return m.takeOutbox()
}

// SetTraits announces the traits of this daemon; a change raises its incarnation, so that the newest traits win.
func (m *Machine) SetTraits(now time.Duration, traits uint32) []Message {
	m.advance(now)
	if m.self.traits != traits && !m.superseded {
		m.self.traits = traits
		m.raiseIncarnation()
		m.flushNews()
	}
	return m.takeOutbox()
}

// AddSeeds adds peer addresses to try.
func (m *Machine) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
		}
	}
	m.seeds = m.seeds[max(len(m.seeds)-maxSeeds, 0):]
}

// raiseIncarnation gives this daemon's entry the next incarnation and publishes it.
func (m *Machine) raiseIncarnation() {
	m.digest ^= m.self.digest()
	m.self.incarnation++
	m.digest ^= m.self.digest()
	m.recordChange(m.self)
	m.publish(m.self)
}

// Leaving reports whether this daemon has been marked as leaving, or another process has taken its name.
func (m *Machine) Leaving() bool {
	return m.superseded || m.self.status >= peerv1.MemberStatus_MEMBER_STATUS_LEAVING
}

// Superseded reports whether another process has taken the name of this daemon.
func (m *Machine) Superseded() bool { return m.superseded }

// Counts returns how many decisions the machine has made since its start.
func (m *Machine) Counts() Counts { return m.counts }

// Changes returns a number that grows with every change of the table or of what this daemon can reach.
func (m *Machine) Changes() uint64 { return m.changes }

// Digest returns the digest of the table.
func (m *Machine) Digest() uint64 { return m.digest }

// Synced reports whether this table has matched another daemon's, or has taken over all of it, since the start.
func (m *Machine) Synced() bool { return m.synced }

// Incarnation returns the current incarnation of this daemon.
func (m *Machine) Incarnation() uint64 { return m.self.incarnation }

// recordAlive records a message from a member, and sends it its own entry where that is suspect or dead, so that it can refute.
func (m *Machine) recordAlive(from string, g *peerv1.Gossip) {
	e, ok := m.members[from]
	if !ok || g.Incarnation < e.incarnation {
		return
	}
	e.lastMessageAt = m.now
	m.setUnreachable(e, false)
	if check := m.watched[from]; check != nil {
		*check = livenessCheck{}
	}
	if v := m.pendingVotes[from]; v != nil {
		m.answerAskers(v, from, true)
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
	m.outbox = append(m.outbox, Message{To: address, Gossip: g})
}

func (m *Machine) takeOutbox() []Message {
	out := m.outbox
	m.outbox = nil
	return out
}
