package journaler

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/storer"
)

// callType is the kind of a store call.
type callType uint8

const (
	callGet callType = iota + 1
	callPut
	callDelete
)

// callPurpose is the part of the shard's work that a store call serves.
type callPurpose uint8

const (
	purposeHead callPurpose = iota + 1
	purposeFence
	purposeFenceReadback
	purposeLoad
	purposeCommit
	purposeCommitReadback
	purposeSegment
	purposeSegmentReadback
	purposeGarbage
	purposeCheck
)

// storeCall is one call to the store that a shard requests.
type storeCall struct {
	typ      callType
	purpose  callPurpose
	key      string
	value    []byte
	expected storer.Point
}

// storeResult is the answer to a storeCall.
type storeResult struct {
	object storer.Object
	// version is the new version after a write.
	version storer.Point
	err     error
}

func (s *shard) headKey() string { return fmt.Sprintf("journal/heads/%03d", s.number) }

func (s *shard) segmentKey(number uint64) string {
	return fmt.Sprintf("journal/segments/%03d/%016d", s.number, number)
}

// next returns the store call to make now, or else when to call next again; the zero time means not before an event.
func (s *shard) next(now time.Time) (storeCall, bool, time.Time) {
	s.expireTickets(now)
	if s.memoryOnly {
		s.sweep(now)
		return storeCall{}, false, s.earliestDeadline
	}
	if s.busy {
		return storeCall{}, false, s.earliestDeadline
	}
	if !s.wanted {
		return storeCall{}, false, time.Time{}
	}
	if now.Before(s.retryAt) {
		return storeCall{}, false, soonest(s.retryAt, s.earliestDeadline)
	}
	call, ok, wake := s.nextCallOfPhase(now)
	if ok {
		s.busy = true
	}
	return call, ok, soonest(wake, s.earliestDeadline)
}

func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (s *shard) nextCallOfPhase(now time.Time) (storeCall, bool, time.Time) {
	switch s.phase {
	case phaseClosed:
		s.phase = phaseReading
		return storeCall{typ: callGet, purpose: purposeHead, key: s.headKey()}, true, time.Time{}
	case phaseReading:
		return storeCall{typ: callGet, purpose: purposeHead, key: s.headKey()}, true, time.Time{}
	case phaseFencing:
		return s.commitCall(purposeFence, purposeFenceReadback), true, time.Time{}
	case phaseLoading:
		return storeCall{typ: callGet, purpose: purposeLoad, key: s.segmentKey(s.segmentsToLoad[0].Number)}, true, time.Time{}
	}
	switch {
	case s.commit != nil:
		return s.commitCall(purposeCommit, purposeCommitReadback), true, time.Time{}
	case s.segment != nil:
		return s.segmentCall(), true, time.Time{}
	}
	return s.nextCallWhenOpen(now)
}

// nextCallWhenOpen returns the next store call of an open shard with no write in progress.
func (s *shard) nextCallWhenOpen(now time.Time) (storeCall, bool, time.Time) {
	// A segment's write does not wait for the write rate; the batches after it do.
	if len(s.headRecords) >= s.limits.SealBytes {
		s.reserveWrite(now)
		s.seal()
		return s.segmentCall(), true, time.Time{}
	}
	if s.compactionDue(now) {
		s.reserveWrite(now)
		s.startCompaction(now)
		if s.segment != nil {
			return s.segmentCall(), true, time.Time{}
		}
		return s.commitCall(purposeCommit, purposeCommitReadback), true, time.Time{}
	}
	due := s.dueAt(now)
	checkAt := s.confirmedAt.Add(s.limits.CheckInterval)
	switch {
	case due.IsZero() && len(s.head.Garbage) > 0:
		return s.garbageCall(), true, time.Time{}
	case !due.IsZero() && !now.Before(due):
		s.startCommit(now)
		return s.commitCall(purposeCommit, purposeCommitReadback), true, time.Time{}
	case !now.Before(checkAt):
		return storeCall{typ: callGet, purpose: purposeCheck, key: s.headKey()}, true, time.Time{}
	}
	return storeCall{}, false, soonest(due, soonest(checkAt, s.compactionAt()))
}

// handleCheck handles an idle owner's read of the head; an older version is a stale read and proves nothing.
func (s *shard) handleCheck(now time.Time, res storeResult) {
	switch {
	case res.err != nil && !errors.Is(res.err, storer.ErrNotFound):
		s.recordStoreFailure(now)
	case res.object.Version > s.version:
		s.releaseFenced(now)
	default:
		s.recordStoreSuccess(now)
	}
}

// dueAt returns when the dirty records or a proof must be written; the zero time means never.
func (s *shard) dueAt(now time.Time) time.Time {
	if len(s.dirty) == 0 && len(s.waitingForProof) == 0 {
		return time.Time{}
	}
	if !s.urgent && len(s.waitingForProof) == 0 && now.Before(s.outcomesDueAt) {
		return s.outcomesDueAt
	}
	if s.writeAt.IsZero() {
		s.writeAt = s.reserveWrite(now)
	}
	return s.writeAt
}

// handleStoreResult handles the result of the last call that next returned.
func (s *shard) handleStoreResult(now time.Time, call storeCall, res storeResult) {
	s.busy = false
	if !s.expects(call.purpose) {
		return
	}
	switch call.purpose {
	case purposeHead:
		s.handleHeadRead(now, res)
	case purposeFence, purposeCommit:
		s.handleCommitWrite(now, res)
	case purposeFenceReadback, purposeCommitReadback:
		s.handleCommitReadBack(now, res)
	case purposeLoad:
		s.handleSegmentLoad(now, res)
	case purposeSegment:
		s.handleSegmentWrite(now, res)
	case purposeSegmentReadback:
		s.handleSegmentReadBack(now, res)
	case purposeGarbage:
		s.handleGarbageResult(now, call, res)
	case purposeCheck:
		s.handleCheck(now, res)
	}
}

// expects reports whether the shard still needs the result of a call; a shard that was closed meanwhile drops it.
func (s *shard) expects(p callPurpose) bool {
	switch p {
	case purposeHead:
		return s.phase == phaseReading
	case purposeFence, purposeFenceReadback:
		return s.phase == phaseFencing && s.commit != nil
	case purposeLoad:
		return s.phase == phaseLoading
	case purposeCommit, purposeCommitReadback:
		return s.phase == phaseOpen && s.commit != nil
	case purposeSegment, purposeSegmentReadback:
		return s.phase == phaseOpen && s.segment != nil
	}
	return s.phase == phaseOpen
}
