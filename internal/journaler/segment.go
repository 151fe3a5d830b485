package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// segmentWrite is a write of a growing segment.
type segmentWrite struct {
	archive  bool
	next     growingSegment
	value    []byte
	expected storer.Point
	readBack bool
}

// seal starts to move the head's records to the newest segment; the head holds them until its next write.
func (s *shard) seal() {
	s.startSegment(&s.tail, s.headRecords, s.headRecordsExpire, false)
}

func (s *shard) startSegment(current *growingSegment, records []byte, expires int64, archive bool) {
	next := growingSegment{number: current.number, expires: max(current.expires, expires)}
	expected := current.version
	if current.version == 0 || len(current.bytes)+len(records) > s.limits.SegmentBytes {
		s.head.NextSegment++
		next = growingSegment{number: s.head.NextSegment, expires: expires}
		expected = 0
	} else {
		next.bytes = append(next.bytes, current.bytes...)
	}
	next.bytes = append(next.bytes, records...)
	header := mustMarshal(&peerv1.JournalSegment{
		Epoch:       s.head.Epoch,
		Owner:       s.head.Owner,
		Incarnation: s.head.Incarnation,
	})
	s.segment = &segmentWrite{
		archive:  archive,
		next:     next,
		value:    append(header, next.bytes...),
		expected: expected,
	}
}

func (s *shard) segmentCall() storeCall {
	w := s.segment
	key := s.segmentKey(w.next.number)
	if w.readBack {
		return storeCall{typ: callGet, purpose: purposeSegmentReadback, key: key}
	}
	return storeCall{typ: callPut, purpose: purposeSegment, key: key, value: w.value, expected: w.expected}
}

func (s *shard) handleSegmentWrite(now time.Time, res storeResult) {
	switch {
	case res.err == nil:
		s.finishSegment(now, res.version)
	case errors.Is(res.err, storer.ErrConflict):
		s.segment.readBack = true
	default:
		s.recordStoreFailure(now)
	}
}

// handleSegmentReadBack resolves a conflict: the stored segment is from this write, from a fenced owner and may be
// replaced, or from a successor.
func (s *shard) handleSegmentReadBack(now time.Time, res storeResult) {
	w := s.segment
	if res.err != nil || res.object.Version <= w.expected {
		w.readBack = false
		s.recordStoreFailure(now)
		return
	}
	seg := &peerv1.JournalSegment{}
	if err := proto.Unmarshal(res.object.Value, seg); err != nil {
		s.recordStoreFailure(now)
		return
	}
	switch {
	case seg.Epoch > s.head.Epoch:
		s.releaseFenced(now)
	case seg.Epoch == s.head.Epoch && seg.Owner == s.head.Owner && seg.Incarnation == s.head.Incarnation:
		s.finishSegment(now, res.object.Version)
	default:
		w.expected = res.object.Version
		w.readBack = false
	}
}

// finishSegment applies a segment's write that is known to have taken effect; the next head refers to the segment.
func (s *shard) finishSegment(now time.Time, version storer.Point) {
	w := s.segment
	s.segment = nil
	s.stats.Segments++
	s.recordStoreSuccess(now)
	w.next.version = version
	ref := &peerv1.JournalSegmentRef{
		Number:    w.next.number,
		Version:   uint64(version),
		ExpiresMs: w.next.expires,
		Bytes:     uint32(len(w.next.bytes)),
	}
	if w.archive {
		s.archive = w.next
		s.head.Archive = setRef(s.head.Archive, ref)
		s.finishCompaction()
		return
	}
	s.tail = w.next
	s.head.Segments = setRef(s.head.Segments, ref)
	s.headRecords = nil
	s.headRecordsExpire = 0
}

// setRef replaces the last reference if it is to the same segment, and otherwise appends one.
func setRef(refs []*peerv1.JournalSegmentRef, ref *peerv1.JournalSegmentRef) []*peerv1.JournalSegmentRef {
	if n := len(refs); n > 0 && refs[n-1].Number == ref.Number {
		refs = refs[:n-1]
	}
	return append(refs, ref)
}
