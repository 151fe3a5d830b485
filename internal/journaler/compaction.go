package journaler

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/storer"
)

// compactionAt returns when the oldest segment is expired as a whole; the zero time is never.
func (s *shard) compactionAt() time.Time {
	if len(s.head.Segments) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.head.Segments[0].ExpiresMs)
}

// crowdedShare is the part of the room for ids at which the oldest are dropped before the window is over.
const crowdedShare = 0.9

// crowded tells whether the oldest segment is to be dropped early, so that new ids are not refused. Its ids are refused
// by the horizon from then on, as after the window.
func (s *shard) crowded(now time.Time) bool {
	if !s.crowdedTable() {
		return false
	}
	at := s.compactionAt()
	return !at.IsZero() && !at.Add(-s.limits.Window).After(now.Add(-s.limits.MinWindow))
}

// crowdedTable tells whether there is little room left, and ids that can be dropped.
func (s *shard) crowdedTable() bool {
	room := float64(s.table.limits.MaxRecords)
	known := len(s.table.records)
	return float64(known) >= crowdedShare*room && float64(known-s.table.untimed) >= (1-crowdedShare)*room
}

func (s *shard) compactionDue(now time.Time) bool {
	at := s.compactionAt()
	return !at.IsZero() && !now.Before(at) || s.crowded(now)
}

// compact drops expired segments, or the oldest one where the shard is crowded. Ids that carry their time are refused by
// the horizon from then on; of the others a fingerprint is kept in the archive, so that an id once claimed is never
// taken for a new one.
func (s *shard) compact(now time.Time) {
	s.compactTo = now
	if at := s.compactionAt(); at.After(now) {
		s.compactTo = at
	}
	s.forgetting = s.table.expired(millis(s.compactTo), s.limits.FingerprintBatch)
	var prints []byte
	for _, key := range s.forgetting {
		r := s.table.records[key]
		if r.state != stateNotRun {
			prints = append(prints, encodeRecord(key, &record{state: stateForgotten})...)
		}
	}
	if len(prints) == 0 {
		s.finishCompaction()
		return
	}
	s.beginSegment(&s.archive, prints, 0, true)
}

// finishCompaction writes a head without the expired segments, once the fingerprints are stored.
func (s *shard) finishCompaction() {
	at := millis(s.compactTo)
	if len(s.forgetting) < s.limits.FingerprintBatch {
		s.head.HorizonMs = max(s.head.HorizonMs, at-s.limits.Window.Milliseconds())
		s.dropExpired(at)
	}
	s.prepare(nil, nil)
	s.commit.forget = s.forgetting
	s.forgetting = nil
}

func (s *shard) dropExpired(at int64) {
	for len(s.head.Segments) > 0 && s.head.Segments[0].ExpiresMs <= at {
		dropped := s.head.Segments[0]
		s.head.Segments = s.head.Segments[1:]
		s.head.Garbage = append(s.head.Garbage, dropped.Number)
		if dropped.Number == s.tail.number {
			s.tail = tail{}
		}
	}
}

// garbageCall deletes a segment that is out of use: it reads the segment's version first.
func (s *shard) garbageCall() storeCall {
	key := s.segmentKey(s.head.Garbage[0])
	if s.deleting == 0 {
		return storeCall{typ: callGet, purpose: purposeGarbage, key: key}
	}
	return storeCall{typ: callDelete, purpose: purposeGarbage, key: key, expected: s.deleting}
}

func (s *shard) garbageDone(now time.Time, call storeCall, res storeResult) {
	deleted := call.typ == callDelete && res.err == nil
	switch {
	case deleted || errors.Is(res.err, storer.ErrNotFound):
		s.deleting = 0
		s.head.Garbage = slices.Clone(s.head.Garbage[1:])
		s.succeeded(now)
	case call.typ == callGet && res.err == nil:
		s.deleting = res.object.Version
	default:
		s.deleting = 0
		s.failed(now)
	}
}
