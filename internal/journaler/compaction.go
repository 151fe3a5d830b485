package journaler

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/storer"
)

// compactionAt returns when all records of the oldest segment have expired; the zero time means never.
func (s *shard) compactionAt() time.Time {
	if len(s.head.Segments) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.head.Segments[0].ExpiresMs)
}

// nearlyFullShare is the part of the capacity for ids from which on the oldest are dropped before their window ends.
const nearlyFullShare = 0.9

// earlyDropDue reports whether to drop the oldest segment early, so that new ids are not refused. From then on the
// horizon refuses its ids, as it does after the window.
func (s *shard) earlyDropDue(now time.Time) bool {
	if !s.nearlyFull() {
		return false
	}
	at := s.compactionAt()
	return !at.IsZero() && !at.Add(-s.limits.Window).After(now.Add(-s.limits.MinWindow))
}

// nearlyFull reports whether little capacity is left and enough ids can be dropped.
func (s *shard) nearlyFull() bool {
	capacity := float64(s.table.limits.MaxRecords)
	count := len(s.table.records)
	return float64(count) >= nearlyFullShare*capacity && float64(count-s.table.untimed) >= (1-nearlyFullShare)*capacity
}

func (s *shard) compactionDue(now time.Time) bool {
	at := s.compactionAt()
	return !at.IsZero() && !now.Before(at) || s.earlyDropDue(now)
}

// startCompaction drops expired segments, or the oldest one when the shard is nearly full. From then on the horizon
// refuses the ids that carry a time; of the others the archive keeps a fingerprint, so that an id once claimed is never
// taken for a new one.
func (s *shard) startCompaction(now time.Time) {
	s.compactTo = now
	if at := s.compactionAt(); at.After(now) {
		s.compactTo = at
	}
	s.fingerprinting = s.table.expiredUntimed(millis(s.compactTo), s.limits.FingerprintBatch)
	var fingerprints []byte
	for _, key := range s.fingerprinting {
		r := s.table.records[key]
		if r.state != stateNotRun {
			fingerprints = append(fingerprints, encodeRecord(key, &record{state: stateFingerprint})...)
		}
	}
	if len(fingerprints) == 0 {
		s.finishCompaction()
		return
	}
	s.startSegment(&s.archive, fingerprints, 0, true)
}

// finishCompaction writes a head without the expired segments, once the fingerprints are stored.
func (s *shard) finishCompaction() {
	cutoff := millis(s.compactTo)
	if len(s.fingerprinting) < s.limits.FingerprintBatch {
		s.head.HorizonMs = max(s.head.HorizonMs, cutoff-s.limits.Window.Milliseconds())
		s.dropExpiredSegments(cutoff)
	}
	s.prepareCommit(nil, nil)
	s.commit.fingerprinted = s.fingerprinting
	s.fingerprinting = nil
}

func (s *shard) dropExpiredSegments(cutoff int64) {
	for len(s.head.Segments) > 0 && s.head.Segments[0].ExpiresMs <= cutoff {
		dropped := s.head.Segments[0]
		s.head.Segments = s.head.Segments[1:]
		s.head.Garbage = append(s.head.Garbage, dropped.Number)
		if dropped.Number == s.tail.number {
			s.tail = growingSegment{}
		}
	}
}

// garbageCall returns the next call to delete an unused segment: a read of its version, then the deletion.
func (s *shard) garbageCall() storeCall {
	key := s.segmentKey(s.head.Garbage[0])
	if s.garbageVersion == 0 {
		return storeCall{typ: callGet, purpose: purposeGarbage, key: key}
	}
	return storeCall{typ: callDelete, purpose: purposeGarbage, key: key, expected: s.garbageVersion}
}

func (s *shard) handleGarbageResult(now time.Time, call storeCall, res storeResult) {
	deleted := call.typ == callDelete && res.err == nil
	switch {
	case deleted || errors.Is(res.err, storer.ErrNotFound):
		s.garbageVersion = 0
		s.head.Garbage = slices.Clone(s.head.Garbage[1:])
		s.recordStoreSuccess(now)
	case call.typ == callGet && res.err == nil:
		s.garbageVersion = res.object.Version
	default:
		s.garbageVersion = 0
		s.recordStoreFailure(now)
	}
}
