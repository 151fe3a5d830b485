package journaler

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// phase says how far the takeover of a shard has come.
type phase uint8

const (
	// phaseClosed holds nothing.
	phaseClosed phase = iota
	// phaseReading reads the head.
	phaseReading
	// phaseFencing writes the head under a new epoch, so that the predecessor's next write fails.
	phaseFencing
	// phaseLoading reads the segments.
	phaseLoading
	// phaseOpen takes claims.
	phaseOpen
)

// shard is one daemon's part in one journal shard: events and time go in, store calls and verdicts come out; it does no I/O.
type shard struct {
	number uint32
	// self is the daemon incarnation, without a nonce.
	self   Dispatcher
	limits Limits
	// reserve books a write of the budget and returns when it may be made.
	reserve func(now time.Time) time.Time
	// charge counts the write of a takeover, as far as the budget has room: a daemon that takes many shards is not in debt.
	charge func(now time.Time)
	alive  func(Dispatcher) bool
	rng    *rand.Rand

	phase  phase
	wanted bool
	// volatile is true for bound mode, where nothing is written.
	volatile bool
	table    *table
	// version is the store version of the head, and head what will be written next, without records.
	version storer.Point
	head    *peerv1.JournalHead
	// open holds the serialized records that the stored head holds and no segment yet.
	open []byte
	// openExpires is when every record of open is expired, in Unix milliseconds.
	openExpires int64
	tail        tail
	archive     tail
	loading     []*peerv1.JournalSegmentRef
	loadRecords []*peerv1.JournalRecord
	loadArchive int

	// dirty lists the keys whose newest change is not in a batch, in the order of the changes.
	dirty []Key
	// urgent is true while a claim is among the dirty ones; lazyAt is when outcomes alone are written.
	urgent  bool
	lazyAt  time.Time
	writeAt time.Time
	commit  *commit
	segment *segmentWrite
	// forgetting lists keys whose fingerprints are in the archive write under way or in the next commit.
	forgetting []Key
	// compactTo is the time whose expired ids the compaction drops; it is ahead of the clock where the shard is crowded.
	compactTo time.Time
	// sweptAt is when bound mode last dropped old ids.
	sweptAt  time.Time
	deleting storer.Point

	busy     bool
	retryAt  time.Time
	failures int
	// downSince is when the present run of store failures began.
	downSince time.Time
	// confirmedAt is when the store last answered.
	confirmedAt time.Time
	fencedAt    time.Time
	fencedInRow int

	tickets map[uint64]*ticket
	// proofs lists the waiting calls of the kind waitProof, and some that ended.
	proofs   []*ticket
	byKey    map[Key][]*ticket
	earliest time.Time
	replies  []reply
	stats    shardStats
}

// tail is the segment that is still growing.
type tail struct {
	number  uint64
	version storer.Point
	bytes   []byte
	expires int64
}

// shardStats counts what a shard did.
type shardStats struct {
	Commits, Segments, Claims, Outcomes, Voided, Takeovers, Fenced uint64
}

func newShard(number uint32, self Dispatcher, limits Limits, rng *rand.Rand) *shard {
	return &shard{
		number:  number,
		self:    self,
		limits:  limits,
		rng:     rng,
		reserve: func(now time.Time) time.Time { return now },
		charge:  func(time.Time) {},
		alive:   func(Dispatcher) bool { return true },
		tickets: map[uint64]*ticket{},
		byKey:   map[Key][]*ticket{},
	}
}

// want sets whether this daemon should own the shard.
func (s *shard) want(now time.Time, wanted bool) {
	if s.wanted == wanted {
		return
	}
	s.wanted = wanted
	s.retryAt = now
	if !wanted {
		s.close()
	}
}

// close forgets the shard; every waiting call is sent to the next owner.
func (s *shard) close() {
	s.phase = phaseClosed
	s.table = nil
	s.head = nil
	s.open = nil
	s.tail = tail{}
	s.archive = tail{}
	s.dirty = nil
	s.urgent = false
	s.lazyAt = time.Time{}
	s.writeAt = time.Time{}
	s.commit = nil
	s.segment = nil
	s.forgetting = nil
	s.loading = nil
	s.loadRecords = nil
	s.deleting = 0
	s.proofs = nil
	for _, t := range s.sorted() {
		s.finish(t, verdict{kind: verdictNotOwner})
	}
}

// fenced gives the shard up because another owner wrote the head; the delay grows where that happens again and again,
// so that two daemons that both believe to be the owner do not take the shard from each other all the time.
func (s *shard) fenced(now time.Time) {
	s.stats.Fenced++
	if now.Sub(s.fencedAt) > fencedMemory {
		s.fencedInRow = 0
	}
	s.fencedAt = now
	s.close()
	s.retryAt = now.Add(s.backoff(s.fencedInRow))
	s.fencedInRow++
}

// fencedMemory is how long a fenced owner counts against the next one.
const fencedMemory = 10 * time.Second

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

func (s *shard) backoff(failures int) time.Duration {
	d := minBackoff << min(failures, 10)
	d = min(d, maxBackoff)
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

func (s *shard) failed(now time.Time) {
	s.failures++
	if s.downSince.IsZero() {
		s.downSince = now
	}
	s.retryAt = now.Add(s.backoff(s.failures))
	s.refuseInOutage(now)
}

func (s *shard) succeeded(now time.Time) {
	s.confirmedAt = now
	s.failures = 0
	s.downSince = time.Time{}
}

// outage tells whether the store has failed for longer than the grace.
func (s *shard) outage(now time.Time) bool {
	return !s.downSince.IsZero() && now.Sub(s.downSince) >= s.limits.OutageGrace
}

// markDirty queues the newest change of a record for the next batch.
func (s *shard) markDirty(now time.Time, key Key, r *record, urgent bool) {
	if s.volatile {
		r.stored = r.changes
		return
	}
	if !r.queued {
		r.queued = true
		s.dirty = append(s.dirty, key)
	}
	if urgent {
		s.urgent = true
	} else if s.lazyAt.IsZero() {
		s.lazyAt = now.Add(s.limits.OutcomeDelay)
	}
}

// hurry makes outcomes due that wait for a claim to share a write with.
func (s *shard) hurry(now time.Time) {
	if len(s.dirty) > 0 {
		s.lazyAt = now
	}
}

// setRoom sets how many ids the shard may remember; what it remembers already stays.
func (s *shard) setRoom(records int) {
	s.limits.MaxRecords = records
	if s.table != nil {
		s.table.limits.MaxRecords = records
	}
}
