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

// callPurpose says which part of the shard's work a store call is for.
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

// storeCall is one call of the store that a shard asks for.
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

// next returns the store call to make now, or when to ask again; the zero time is when something happens.
func (s *shard) next(now time.Time) (storeCall, bool, time.Time) {
	s.expire(now)
	if s.volatile {
		s.sweep(now)
		return storeCall{}, false, s.earliest
	}
	if s.busy {
		return storeCall{}, false, s.earliest
	}
	if !s.wanted {
		return storeCall{}, false, time.Time{}
	}
	if now.Before(s.retryAt) {
		return storeCall{}, false, soonest(s.retryAt, s.earliest)
	}
	call, ok, wake := s.nextCall(now)
	if ok {
		s.busy = true
	}
	return call, ok, soonest(wake, s.earliest)
}

func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (s *shard) nextCall(now time.Time) (storeCall, bool, time.Time) {
	switch s.phase {
	case phaseClosed:
		s.phase = phaseReading
		return storeCall{typ: callGet, purpose: purposeHead, key: s.headKey()}, true, time.Time{}
	case phaseReading:
		return storeCall{typ: callGet, purpose: purposeHead, key: s.headKey()}, true, time.Time{}
	case phaseFencing:
		return s.commitCall(purposeFence, purposeFenceReadback), true, time.Time{}
	case phaseLoading:
		return storeCall{typ: callGet, purpose: purposeLoad, key: s.segmentKey(s.loading[0].Number)}, true, time.Time{}
	}
	switch {
	case s.commit != nil:
		return s.commitCall(purposeCommit, purposeCommitReadback), true, time.Time{}
	case s.segment != nil:
		return s.segmentCall(), true, time.Time{}
	}
	return s.nextOpen(now)
}

// nextOpen picks what an open shard with no write under way does next.
func (s *shard) nextOpen(now time.Time) (storeCall, bool, time.Time) {
	// A segment's write does not wait for the budget; the batches after it do.
	if len(s.open) >= s.limits.SealBytes {
		s.reserve(now)
		s.seal()
		return s.segmentCall(), true, time.Time{}
	}
	if s.compactionDue(now) {
		s.reserve(now)
		s.compact(now)
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
		s.begin(now)
		return s.commitCall(purposeCommit, purposeCommitReadback), true, time.Time{}
	case !now.Before(checkAt):
		return storeCall{typ: callGet, purpose: purposeCheck, key: s.headKey()}, true, time.Time{}
	}
	return storeCall{}, false, soonest(due, soonest(checkAt, s.compactionAt()))
}

// checked takes the head as an idle owner reads it; an older version is a stale read and says nothing.
func (s *shard) checked(now time.Time, res storeResult) {
	switch {
	case res.err != nil && !errors.Is(res.err, storer.ErrNotFound):
		s.failed(now)
	case res.object.Version > s.version:
		s.fenced(now)
	default:
		s.succeeded(now)
	}
}

// dueAt returns when the dirty records or a proof are to be written; the zero time is never.
func (s *shard) dueAt(now time.Time) time.Time {
	if len(s.dirty) == 0 && len(s.proofs) == 0 {
		return time.Time{}
	}
	if !s.urgent && len(s.proofs) == 0 && now.Before(s.lazyAt) {
		return s.lazyAt
	}
	if s.writeAt.IsZero() {
		s.writeAt = s.reserve(now)
	}
	return s.writeAt
}

// done takes the answer to the last call that next returned.
func (s *shard) done(now time.Time, call storeCall, res storeResult) {
	s.busy = false
	if !s.expects(call.purpose) {
		return
	}
	switch call.purpose {
	case purposeHead:
		s.headRead(now, res)
	case purposeFence, purposeCommit:
		s.commitWritten(now, res)
	case purposeFenceReadback, purposeCommitReadback:
		s.commitReadBack(now, res)
	case purposeLoad:
		s.segmentLoaded(now, res)
	case purposeSegment:
		s.segmentWritten(now, res)
	case purposeSegmentReadback:
		s.segmentReadBack(now, res)
	case purposeGarbage:
		s.garbageDone(now, call, res)
	case purposeCheck:
		s.checked(now, res)
	}
}

// expects tells whether the call still belongs to what the shard is doing; a shard that was closed meanwhile drops the answer.
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
