package tracker

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/timer"
)

// Method is the name of the peer handler for Gossip messages.
const Method = "gossip"

const (
	inboxSize       = 1024
	loadInterval    = time.Second
	rebuildInterval = 50 * time.Millisecond
)

// Tracker runs the membership of one daemon; set the exported fields before Run.
type Tracker struct {
	// Local is this daemon; its Incarnation must grow with each start.
	Local cataloger.Member
	// Seeds are the peer addresses to try first.
	Seeds []string
	// Link carries the messages; register Handle under Method at the same peer.
	Link linker.Link
	// ListVMs reads the platform's list; nil where there is none.
	ListVMs func(ctx context.Context) ([]cataloger.VM, error)
	// PeerAddress returns the peer address of an entry VM; where nil, the VM's host with the port of Local.PeerAddress.
	PeerAddress func(cataloger.VM) string
	// Load returns this daemon's work in progress as a share of its capacity; may be nil.
	Load    func() float64
	Options Options
	Clock   timer.Clock
	Random  *rand.Rand
	Log     zerolog.Logger

	once       sync.Once
	started    time.Time
	machine    *Machine
	loadSentAt time.Duration
	inbox      *queuer.Ring[func(now time.Duration) []Message]
	fleet      atomic.Pointer[cataloger.Fleet]
	liveHash   atomic.Uint64
	live       atomic.Pointer[[]cataloger.Member]
	status     atomic.Pointer[Status]
	dropped    atomic.Uint64
	sent       atomic.Uint64
	received   atomic.Uint64

	mu           sync.Mutex
	subscribers  map[chan struct{}]struct{}
	builtChanges uint64
	builtAt      time.Duration
}

// Status is the state of this daemon's membership.
type Status struct {
	Incarnation uint64
	// Synced is true once this table has matched another daemon's, or has taken over all of it.
	Synced bool
	// Leaving is true once this daemon is marked as leaving.
	Leaving bool
	// Superseded is true once another process has taken this daemon's name.
	Superseded bool
	Digest     uint64
	Counts     Counts
	// Sent, Received and Dropped count messages.
	Sent     uint64
	Received uint64
	Dropped  uint64
}

func (t *Tracker) init() {
	t.once.Do(func() {
		if t.Clock == nil {
			t.Clock = timer.System{}
		}
		if t.Random == nil {
			t.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if t.PeerAddress == nil {
			t.PeerAddress = t.peerAddressByPort
		}
		t.Options = t.Options.withDefaults()
		t.started = t.Clock.Now()
		t.inbox = queuer.NewRing[func(time.Duration) []Message](inboxSize)
		t.subscribers = map[chan struct{}]struct{}{}
		t.machine = NewMachine(t.Options, t.Local, t.epoch(), t.Seeds, t.Random, 0)
		t.rebuild()
	})
}

// epoch returns a number for this process that grows with its start time.
func (t *Tracker) epoch() uint64 {
	if t.Local.Epoch != 0 {
		return t.Local.Epoch
	}
	const randomBits = 16
	return uint64(t.started.UnixMilli())<<randomBits | t.Random.Uint64()&(1<<randomBits-1)
}

func (t *Tracker) peerAddressByPort(vm cataloger.VM) string {
	host, _, err := net.SplitHostPort(vm.Address)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(t.Local.PeerAddress)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Run takes part in membership until ctx is done, and returns the error of ctx.
func (t *Tracker) Run(ctx context.Context) error {
	t.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := make(chan struct{})
	wg.Go(func() { t.tick(ctx, ticks) })
	if t.ListVMs != nil {
		wg.Go(func() { t.pollVMs(ctx) })
	}
	// The first tick contacts the seeds, which need not wait.
	t.apply(t.machine.Tick)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			t.apply(t.machine.Tick)
			t.propagateLoad()
			t.rebuild()
		case event := <-t.inbox.Values():
			t.apply(event)
		}
	}
}

// propagateLoad passes the load to the machine at most once per loadInterval.
func (t *Tracker) propagateLoad() {
	if t.Load == nil || t.now()-t.loadSentAt < loadInterval {
		return
	}
	t.loadSentAt = t.now()
	load := t.Load()
	t.apply(func(now time.Duration) []Message { return t.machine.SetLoad(now, load) })
}

// apply runs one event and all queued ones on the machine.
func (t *Tracker) apply(event func(now time.Duration) []Message) {
	for ok := true; ok; event, ok = t.inbox.Poll() {
		for _, msg := range event(t.now()) {
			t.send(msg)
		}
	}
	// Under many changes the snapshots are rebuilt only at an interval and with the ticks, except while the daemon joins.
	if t.now()-t.builtAt >= rebuildInterval || !t.status.Load().Synced {
		t.rebuild()
	}
}

func (t *Tracker) send(msg Message) {
	if err := t.Link.Notify(msg.To, Method, msg.Gossip); err != nil {
		t.dropped.Add(1)
		return
	}
	t.sent.Add(1)
}

func (t *Tracker) now() time.Duration { return t.Clock.Now().Sub(t.started) }

// tick sends ticks until ctx is done; the ticks missed by a late one are not made up for.
func (t *Tracker) tick(ctx context.Context, ticks chan<- struct{}) {
	for t.Clock.Sleep(ctx, t.Options.TickInterval) == nil {
		select {
		case ticks <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Tracker) enqueue(ctx context.Context, event func(now time.Duration) []Message) {
	_ = t.inbox.Put(ctx, event)
}

// Handle queues a Gossip message from a peer for the machine, and returns an error if it cannot be decoded or queued; it is
// a linker.Handler.
func (t *Tracker) Handle(_ context.Context, peer string, body []byte) (proto.Message, error) {
	t.init()
	var g peerv1.Gossip
	if err := proto.Unmarshal(body, &g); err != nil {
		return nil, errors.Wrap(err, "decode gossip")
	}
	t.received.Add(1)
	err := t.inbox.Offer(func(now time.Duration) []Message { return t.machine.Receive(now, peer, &g) })
	if err != nil {
		t.dropped.Add(1)
	}
	return nil, err
}

// ReportTarget publishes the result of a probe of a target.
func (t *Tracker) ReportTarget(ctx context.Context, name string, r TargetReport) {
	t.init()
	t.enqueue(ctx, func(now time.Duration) []Message { return t.machine.ReportTarget(now, name, r) })
}

// SetTraits announces the traits of this daemon to the fleet.
func (t *Tracker) SetTraits(ctx context.Context, traits uint32) {
	t.init()
	t.enqueue(ctx, func(now time.Duration) []Message { return t.machine.SetTraits(now, traits) })
}

// AddSeeds adds peer addresses to try.
func (t *Tracker) AddSeeds(ctx context.Context, addresses ...string) {
	t.init()
	t.enqueue(ctx, func(time.Duration) []Message {
		t.machine.AddSeeds(addresses)
		return nil
	})
}

// Leave announces to the fleet that this daemon leaves.
func (t *Tracker) Leave(ctx context.Context) {
	t.init()
	t.enqueue(ctx, func(now time.Duration) []Message { return t.machine.Leave(now) })
}

// rebuild publishes the status, and new snapshots if the table has changed.
func (t *Tracker) rebuild() {
	m := t.machine
	t.status.Store(&Status{
		Incarnation: m.Incarnation(),
		Synced:      m.Synced(),
		Leaving:     m.Leaving(),
		Superseded:  m.Superseded(),
		Digest:      m.Digest(),
		Counts:      m.Counts(),
	})
	if t.fleet.Load() != nil && t.builtChanges == m.Changes() {
		return
	}
	t.builtChanges = m.Changes()
	t.builtAt = t.now()
	f := m.Fleet(t.started.Add)
	t.fleet.Store(&f)
	t.updateLive(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	for ch := range t.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// updateLive replaces the list of live members and its hash, which View returns.
func (t *Tracker) updateLive(f cataloger.Fleet) {
	live := Live(f.Members)
	t.live.Store(&live)
	h := xxhash.New()
	for _, m := range live {
		_, _ = h.WriteString(m.Name)
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, m.Epoch))
	}
	t.liveHash.Store(h.Sum64())
}

// View returns a hash of the names and epochs of the live members, which changes when they do.
func (t *Tracker) View() uint64 {
	t.init()
	return t.liveHash.Load()
}

// Fleet returns the latest snapshot of the table; it must not be modified.
func (t *Tracker) Fleet() cataloger.Fleet {
	t.init()
	return *t.fleet.Load()
}

// Status returns the state of this daemon's membership.
func (t *Tracker) Status() Status {
	t.init()
	s := *t.status.Load()
	s.Sent = t.sent.Load()
	s.Received = t.received.Load()
	s.Dropped = t.dropped.Load()
	return s
}

// Self returns this daemon's entry in the latest snapshot, or Local where there is none.
func (t *Tracker) Self() cataloger.Member {
	for _, m := range t.Fleet().Members {
		if m.Name == t.Local.Name {
			return m
		}
	}
	return t.Local
}

// Subscribe returns a channel that receives a value after each change of the snapshot, and a function that ends the
// subscription.
func (t *Tracker) Subscribe() (<-chan struct{}, func()) {
	t.init()
	ch := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers[ch] = struct{}{}
	return ch, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, ch)
	}
}

// Owner returns the live member that owns a key of a kind of duty, or Local where no member is live.
func (t *Tracker) Owner(kind, key string) cataloger.Member {
	t.init()
	m, ok := Rendezvous(*t.live.Load(), kind+"/"+key)
	if !ok {
		return t.Local
	}
	return m
}

// Owners returns up to n live members for a duty, the owner first.
func (t *Tracker) Owners(kind, key string, n int) []cataloger.Member {
	t.init()
	return RankMembers(*t.live.Load(), kind+"/"+key, n)
}

// watchersPerDataCentre is how many daemons of a data centre watch the store.
const watchersPerDataCentre = 2

// Watchers returns the daemons that watch the store for a data centre.
func (t *Tracker) Watchers(dc cataloger.DataCentre) []cataloger.Member {
	t.init()
	var near []cataloger.Member
	for _, m := range *t.live.Load() {
		if m.DataCentre == dc {
			near = append(near, m)
		}
	}
	return RankMembers(near, "watcher", watchersPerDataCentre)
}
