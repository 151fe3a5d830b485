package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// handleHeadRead starts the takeover from the head that was read; after a stale read the fencing write fails and the head
// is read again.
func (s *shard) handleHeadRead(now time.Time, res storeResult) {
	head := &peerv1.JournalHead{}
	var records []*peerv1.JournalRecord
	s.version = 0
	switch {
	case errors.Is(res.err, storer.ErrNotFound):
	case res.err != nil:
		s.recordStoreFailure(now)
		return
	default:
		var err error
		head, records, err = decodeHead(res.object.Value)
		if err != nil {
			s.recordStoreFailure(now)
			return
		}
		s.version = res.object.Version
	}
	s.head = head
	s.headRecordsToLoad = records
	s.headRecords = nil
	s.headRecordsExpire = 0
	for _, r := range records {
		s.headRecords = append(s.headRecords, mustMarshal(&peerv1.JournalSegment{Records: []*peerv1.JournalRecord{r}})...)
	}
	s.head.Epoch++
	s.head.Owner = s.self.Member
	s.head.Incarnation = s.self.Incarnation
	s.phase = phaseFencing
	s.chargeTakeover(now)
	s.prepareCommit(nil, nil)
}

// startLoading starts to load the segments once no predecessor can write any more.
func (s *shard) startLoading(now time.Time) {
	s.stats.Takeovers++
	s.table = newTable(s.limits, func(d Dispatcher) bool { return s.alive(d) })
	s.table.horizon = s.head.HorizonMs
	s.segmentsToLoad = append(append([]*peerv1.JournalSegmentRef{}, s.head.Archive...), s.head.Segments...)
	s.archiveSegmentsToLoad = len(s.head.Archive)
	s.phase = phaseLoading
	if len(s.segmentsToLoad) == 0 {
		s.finishTakeover(now)
	}
}

// handleSegmentLoad loads the records of one segment; a read older than the head's reference is repeated.
func (s *shard) handleSegmentLoad(now time.Time, res storeResult) {
	ref := s.segmentsToLoad[0]
	if res.err != nil || res.object.Version < storer.Point(ref.Version) {
		s.recordStoreFailure(now)
		return
	}
	seg := &peerv1.JournalSegment{}
	if err := proto.Unmarshal(res.object.Value, seg); err != nil {
		s.recordStoreFailure(now)
		return
	}
	if err := s.loadAll(seg.Records); err != nil {
		s.recordStoreFailure(now)
		return
	}
	s.recordStoreSuccess(now)
	last := growingSegment{number: ref.Number, version: res.object.Version, bytes: recordBytes(seg), expires: ref.ExpiresMs}
	if s.archiveSegmentsToLoad > 0 {
		s.archive = last
		s.archiveSegmentsToLoad--
	} else {
		s.tail = last
	}
	s.segmentsToLoad = s.segmentsToLoad[1:]
	if len(s.segmentsToLoad) == 0 {
		s.finishTakeover(now)
	}
}

func recordBytes(seg *peerv1.JournalSegment) []byte {
	return mustMarshal(&peerv1.JournalSegment{Records: seg.Records})
}

func (s *shard) loadAll(records []*peerv1.JournalRecord) error {
	for _, p := range records {
		key, r, err := decodeRecord(p)
		if err != nil {
			return err
		}
		s.table.load(key, r)
	}
	return nil
}

// finishTakeover opens the shard and handles the calls that waited for it.
func (s *shard) finishTakeover(now time.Time) {
	if err := s.loadAll(s.headRecordsToLoad); err != nil {
		s.recordStoreFailure(now)
		s.phase = phaseReading
		return
	}
	for _, p := range s.headRecordsToLoad {
		s.headRecordsExpire = max(s.headRecordsExpire, s.expiresOf(p))
	}
	s.headRecordsToLoad = nil
	s.phase = phaseOpen
	for _, t := range s.sortedTickets() {
		s.remove(t)
		if t.claim != nil {
			s.submitClaim(now, t.id, *t.claim)
		} else {
			s.submitReport(now, t.id, *t.report)
		}
	}
}

func (s *shard) expiresOf(p *peerv1.JournalRecord) int64 {
	r := record{issued: p.GetIssuedMs(), claimed: p.GetClaimedMs()}
	return r.expiresAt(s.limits.Window.Milliseconds())
}
