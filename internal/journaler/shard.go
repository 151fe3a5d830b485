package journaler

import (
	"math/rand/v2"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// phase is the progress of a shard's takeover.
type phase uint8

const (
	// phaseClosed holds no state; the takeover has not begun.
	phaseClosed phase = iota
	// phaseReading reads the head.
	phaseReading
	// phaseFencing writes the head under a new epoch, so that the predecessor's next write fails.
	phaseFencing
	// phaseLoading reads the segments.
	phaseLoading
	// phaseOpen accepts claims.
	phaseOpen
)

// shard is one daemon's state machine for one journal shard: it turns events and time into store calls and verdicts, and
// does no I/O.
type shard struct {
	number uint32
	// self is the daemon incarnation, without a nonce.
	self   Dispatcher
	limits Limits
	// reserveWrite reserves a write of the write rate and returns when it may be made.
	reserveWrite func(now time.Time) time.Time
	// chargeTakeover counts the write of a takeover as far as the write rate allows, so that a daemon that acquires many
	// shards does not delay its later writes.
	chargeTakeover func(now time.Time)
	alive          func(Dispatcher) bool
	rng            *rand.Rand

	phase  phase
	wanted bool
	// memoryOnly is true for bound mode, where nothing is written.
	memoryOnly bool
	table      *table
	// version is the store version of the head, and head is the content of the next write, without records.
	version storer.Point
	head    *peerv1.JournalHead
	// headRecords holds the serialized records that are in the stored head and not yet in a segment.
	headRecords []byte
	// headRecordsExpire is when all headRecords have expired, in Unix milliseconds.
	headRecordsExpire     int64
	tail                  growingSegment
	archive               growingSegment
	segmentsToLoad        []*peerv1.JournalSegmentRef
	headRecordsToLoad     []*peerv1.JournalRecord
	archiveSegmentsToLoad int

	// dirty lists the keys whose newest change is not in a batch yet, in the order of the changes.
	dirty []Key
	// urgent is true while a dirty record must not wait, such as a claim; outcomesDueAt is when the others are written.
	urgent        bool
	outcomesDueAt time.Time
	writeAt       time.Time
	commit        *commit
	segment       *segmentWrite
	// fingerprinting lists keys whose fingerprints are in the archive write in progress or in the next commit.
	fingerprinting []Key
	// compactTo is the time up to which the compaction drops expired ids; it is ahead of the clock if the shard is nearly
	// full.
	compactTo time.Time
	// sweptAt is when bound mode last dropped old ids.
	sweptAt        time.Time
	garbageVersion storer.Point

	busy     bool
	retryAt  time.Time
	failures int
	// downSince is when the current series of store failures began.
	downSince time.Time
	// confirmedAt is when the store last answered.
	confirmedAt        time.Time
	lastFencedAt       time.Time
	fencedInSuccession int

	tickets map[uint64]*ticket
	// waitingForProof lists the waiting calls of the kind waitProof, and possibly some that have ended.
	waitingForProof  []*ticket
	byKey            map[Key][]*ticket
	earliestDeadline time.Time
	replies          []reply
	stats            shardStats
}

// growingSegment is a segment that later writes may still append to.
type growingSegment struct {
	number  uint64
	version storer.Point
	bytes   []byte
	expires int64
}

// shardStats counts the operations of a shard.
type shardStats struct {
	Commits, Segments, Claims, Outcomes, Voided, Takeovers, Fenced uint64
}

func newShard(number uint32, self Dispatcher, limits Limits, rng *rand.Rand) *shard {
	return &shard{
		number:         number,
		self:           self,
		limits:         limits,
		rng:            rng,
		reserveWrite:   func(now time.Time) time.Time { return now },
		chargeTakeover: func(time.Time) {},
		alive:          func(Dispatcher) bool { return true },
		tickets:        map[uint64]*ticket{},
		byKey:          map[Key][]*ticket{},
	}
}

// setWanted sets whether this daemon should own the shard.
func (s *shard) setWanted(now time.Time, wanted bool) {
	if s.wanted == wanted {
		return
	}
	s.wanted = wanted
	s.retryAt = now
	if !wanted {
		s.close()
	}
}

// close drops the state of the shard and refers every waiting call to the next owner.
func (s *shard) close() {
	s.phase = phaseClosed
	s.table = nil
	s.head = nil
	s.headRecords = nil
	s.tail = growingSegment{}
	s.archive = growingSegment{}
	s.dirty = nil
	s.urgent = false
	s.outcomesDueAt = time.Time{}
	s.writeAt = time.Time{}
	s.commit = nil
	s.segment = nil
	s.fingerprinting = nil
	s.segmentsToLoad = nil
	s.headRecordsToLoad = nil
	s.garbageVersion = 0
	s.waitingForProof = nil
	for _, t := range s.sortedTickets() {
		s.finish(t, verdict{kind: verdictNotOwner})
	}
}

// releaseFenced releases the shard because another owner wrote the head. The delay before the next takeover grows each
// time, so that two daemons that both consider themselves the owner do not keep taking the shard from each other.
func (s *shard) releaseFenced(now time.Time) {
	s.stats.Fenced++
	if now.Sub(s.lastFencedAt) > fencedStreakTimeout {
		s.fencedInSuccession = 0
	}
	s.lastFencedAt = now
	s.close()
	s.retryAt = now.Add(s.backoff(s.fencedInSuccession))
	s.fencedInSuccession++
}

// fencedStreakTimeout is the time without fencing after which the delay starts again from its minimum.
const fencedStreakTimeout = 10 * time.Second

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

func (s *shard) backoff(failures int) time.Duration {
	d := minBackoff << min(failures, 10)
	d = min(d, maxBackoff)
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

func (s *shard) recordStoreFailure(now time.Time) {
	s.failures++
	if s.downSince.IsZero() {
		s.downSince = now
	}
	s.retryAt = now.Add(s.backoff(s.failures))
	s.refuseInOutage(now)
}

func (s *shard) recordStoreSuccess(now time.Time) {
	s.confirmedAt = now
	s.failures = 0
	s.downSince = time.Time{}
}

// outage reports whether the store has failed for at least OutageGrace.
func (s *shard) outage(now time.Time) bool {
	return !s.downSince.IsZero() && now.Sub(s.downSince) >= s.limits.OutageGrace
}

// markDirty queues the newest change of a record for the next batch.
func (s *shard) markDirty(now time.Time, key Key, r *record, urgent bool) {
	if s.memoryOnly {
		r.storedChanges = r.changes
		return
	}
	if !r.queued {
		r.queued = true
		s.dirty = append(s.dirty, key)
	}
	if urgent {
		s.urgent = true
	} else if s.outcomesDueAt.IsZero() {
		s.outcomesDueAt = now.Add(s.limits.OutcomeDelay)
	}
}

// flushOutcomes makes outcomes due that wait to share a write with a claim.
func (s *shard) flushOutcomes(now time.Time) {
	if len(s.dirty) > 0 {
		s.outcomesDueAt = now
	}
}

// setCapacity sets how many ids the shard may keep; ids that it already keeps stay.
func (s *shard) setCapacity(capacity int) {
	s.limits.MaxRecords = capacity
	if s.table != nil {
		s.table.limits.MaxRecords = capacity
	}
}
