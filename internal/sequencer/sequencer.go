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

// Shards is the number of shards over which ordering keys are distributed; each shard has one owner.
const Shards = 64

// ShardOf returns the shard of an ordering key.
func ShardOf(workspace cataloger.Workspace, key string) uint32 {
	return uint32(xxhash.Sum64String(string(workspace)+"\x00"+key) % Shards)
}

// Place is the position of a request under an ordering key.
type Place struct {
	Workspace cataloger.Workspace
	Key       string
	// Sequence counts from 1.
	Sequence  uint64
	RequestID string
	Deadline  time.Time
	// Wait is the maximum time that an answer waits for a predecessor that has not arrived.
	Wait time.Duration
	// BufferBytes is the maximum size of the answers held back under the key.
	BufferBytes int
}

// Turn controls the delivery of one answer in its order.
type Turn struct {
	// Wait blocks until the answer may be delivered; size is its size in memory, in bytes.
	Wait func(ctx context.Context, size int) error
	// Done reports that the answer was delivered, or that there is none; it has no effect after Cut.
	Done func()
	// Cut reports that the delivery was interrupted: the place is kept for Limits.ReattachGrace, so that the rest can be
	// delivered in order.
	Cut func()
}

// Sequencer orders answers, as the entry of ordered requests and as the owner of ordering keys.
type Sequencer struct {
	Clock  timer.Clock
	Link   linker.Link
	Log    zerolog.Logger
	Rand   *rand.Rand
	Limits Limits
	// Registry registers the metrics.
	Registry metrics.Registry
	// Self returns this daemon.
	Self func() cataloger.Member
	// Owner returns the live member that a shard belongs to.
	Owner func(shard uint32) (cataloger.Member, bool)
	// View returns a number that changes with the live members; owners are looked up only when it changes, or always if it is
	// nil.
	View func() uint64
	// Alive reports whether an incarnation of a member may still be running.
	Alive func(name string, incarnation uint64) bool

	once    sync.Once
	owners  assigner.Table
	nonce   atomic.Uint64
	mu      sync.Mutex
	queues  map[queueKey]*ownedQueue
	sweptAt time.Time
	// ownedSince is when this daemon became the owner of each shard; zero if it is not.
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
	// refreshInterval is the interval at which the owners of the shards are looked up.
	refreshInterval = 200 * time.Millisecond
	// sweepInterval is the interval at which idle queues are removed and the entries of open places are checked.
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
		s.entry = entryState{open: map[*openPlace]bool{}, floors: map[queueKey]recordedFloor{}}
		s.ctx = context.Background()
	})
}

// Run tracks the ownership of the shards until ctx is done, then discards all queues.
func (s *Sequencer) Run(ctx context.Context) error {
	s.init()
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	for {
		s.refreshOwnedShards()
		s.reportToNewOwners(ctx)
		if s.Clock.Sleep(ctx, refreshInterval) != nil {
			break
		}
	}
	s.tasks.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, q := range s.queues {
		q.discard()
		delete(s.queues, key)
	}
	s.ownedSince = [Shards]time.Time{}
	return nil
}

// refreshOwnedShards records the shards that this daemon owns and removes idle queues and those of other shards.
func (s *Sequencer) refreshOwnedShards() {
	now := s.Clock.Now()
	self := s.Self()
	owners := s.owners.All()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, owner := range owners {
		switch {
		case !owner.Is(self) && !s.ownedSince[i].IsZero():
			s.ownedSince[i] = time.Time{}
			s.discardShard(uint32(i))
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

// discardShard removes the queues of a shard that has another owner, so that no old state remains if the shard returns. The
// caller holds mu.
func (s *Sequencer) discardShard(shard uint32) {
	for key, q := range s.queues {
		if key.shard() == shard {
			q.discard()
			delete(s.queues, key)
		}
	}
}

// sweep removes idle queues and checks whether the entries of open places are alive; the caller holds mu.
func (s *Sequencer) sweep(now time.Time) {
	places, held := 0, 0
	for key, q := range s.queues {
		if len(q.places) > 0 {
			s.advanceQueue(now, q)
		}
		if q.idle(now) {
			q.discarded = true
			delete(s.queues, key)
			continue
		}
		places += len(q.places)
		held += q.heldBytes
	}
	s.gauge("ordering-keys", len(s.queues))
	s.gauge("ordering-places", places)
	s.gauge("ordering-held-bytes", held)
}

func (s *Sequencer) gauge(name string, value int) {
	metrics.GetOrRegisterGauge(name, s.Registry).Update(int64(value))
}
