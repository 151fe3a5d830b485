package sequencer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/assigner"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/spawner"
	"github.com/rattantray/rattantray/internal/timer"
)

// Shards is the number of parts that ordering keys are spread over; each part has one owner.
const Shards = 64

// ShardOf returns the shard of an ordering key.
func ShardOf(workspace cataloger.Workspace, key string) uint32 {
	return uint32(xxhash.Sum64String(string(workspace)+"\x00"+key) % Shards)
}

// Place is a request's place under an ordering key.
type Place struct {
	Workspace cataloger.Workspace
	Key       string
	// Sequence counts from 1.
	Sequence  uint64
	RequestID string
	Deadline  time.Time
	// Wait bounds how long an answer waits for a predecessor that has not come.
	Wait time.Duration
	// BufferBytes bounds the answers held back under the key.
	BufferBytes int
}

// Turn lets a finished answer out in its order.
type Turn struct {
	// Wait returns when the answer may be delivered; size is what it takes in memory, in bytes.
	Wait func(ctx context.Context, size int) error
	// Done says that the answer was delivered, or that there is none; after Cut it does nothing.
	Done func()
	// Cut says that the delivery broke off: the place is kept for a while, so that the rest can be delivered in order.
	Cut func()
}

// Sequencer keeps the order of answers: the entry's side of every ordered request and the owner's side of its keys.
type Sequencer struct {
	Clock  timer.Clock
	Link   linker.Link
	Log    zerolog.Logger
	Rand   *rand.Rand
	Limits Limits
	// Registry takes the metrics.
	Registry metrics.Registry
	// Self returns this daemon.
	Self func() cataloger.Member
	// Owner returns the live member that a shard belongs to.
	Owner func(shard uint32) (cataloger.Member, bool)
	// View returns a number that changes with the live members, so that owners are looked up only then; nil always looks them up.
	View func() uint64
	// Alive tells whether an incarnation of a member may still be running.
	Alive func(name string, incarnation uint64) bool

	once    sync.Once
	owners  assigner.Table
	nonce   atomic.Uint64
	mu      sync.Mutex
	queues  map[queueKey]*ownedQueue
	sweptAt time.Time
	// ownedSince is when this daemon came to own each shard; zero where it does not.
	ownedSince [Shards]time.Time
	entry      entryState
	tasks      spawner.Group
	ctx        context.Context
}

type queueKey struct {
	workspace cataloger.Workspace
	key       string
}

func (k queueKey) shard() uint32 { return ShardOf(k.workspace, k.key) }

const (
	// refreshInterval is how often the owners of the shards are looked up.
	refreshInterval = 200 * time.Millisecond
	// sweepInterval is how often the queues look whether the entries of their places are alive.
	sweepInterval = 500 * time.Millisecond
)

func (s *Sequencer) init() {
	s.once.Do(func() {
		if s.Limits == (Limits{}) {
			s.Limits = DefaultLimits()
		}
		if s.Registry == nil {
			s.Registry = metrics.NewRegistry()
		}
		s.owners.Shards = Shards
		s.owners.Lookup = s.Owner
		s.owners.View = s.View
		s.queues = map[queueKey]*ownedQueue{}
		s.entry = entryState{open: map[*openPlace]bool{}, floors: map[queueKey]floorNote{}}
		s.ctx = context.Background()
	})
}

// Run follows the ownership of the shards until ctx is done.
func (s *Sequencer) Run(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	for {
		s.refreshOwned()
		s.refreshEntry(ctx)
		if s.Clock.Sleep(ctx, refreshInterval) != nil {
			break
		}
	}
	s.tasks.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, q := range s.queues {
		q.abandon()
		delete(s.queues, key)
	}
	s.ownedSince = [Shards]time.Time{}
	return nil
}

// refreshOwned takes note of the shards that this daemon owns, and forgets the queues of others and idle ones.
func (s *Sequencer) refreshOwned() {
	now := s.Clock.Now()
	self := s.Self()
	owners := s.owners.All()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, owner := range owners {
		switch {
		case !owner.Is(self) && !s.ownedSince[i].IsZero():
			s.ownedSince[i] = time.Time{}
			s.giveUp(uint32(i))
		case !owner.Is(self):
		case s.ownedSince[i].IsZero():
			s.ownedSince[i] = now
		}
	}
	if now.Sub(s.sweptAt) >= sweepInterval {
		s.sweptAt = now
		s.sweep(now)
	}
}

// giveUp forgets the queues of a shard that has another owner, so that nothing of them is left should it come back; the
// caller holds mu.
func (s *Sequencer) giveUp(shard uint32) {
	for key, q := range s.queues {
		if key.shard() == shard {
			q.abandon()
			delete(s.queues, key)
		}
	}
}

// sweep forgets idle queues and looks whether the entries of open places are alive; the caller holds mu.
func (s *Sequencer) sweep(now time.Time) {
	places, held := 0, 0
	for key, q := range s.queues {
		if len(q.places) > 0 {
			s.step(now, q)
		}
		if q.idle(now) {
			q.given = true
			delete(s.queues, key)
			continue
		}
		places += len(q.places)
		held += q.held
	}
	s.gauge("ordering-keys", len(s.queues))
	s.gauge("ordering-places", places)
	s.gauge("ordering-held-bytes", held)
}

func (s *Sequencer) gauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, s.Registry).Update(int64(value))
}
