package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// headRead begins the takeover with the head as read; a stale read makes the fence fail and is read again.
func (s *shard) headRead(now time.Time, res storeResult) {
	head := &peerv1.JournalHead{}
	var records []*peerv1.JournalRecord
	s.version = 0
	switch {
	case errors.Is(res.err, storer.ErrNotFound):
	case res.err != nil:
		s.failed(now)
		return
	default:
		var err error
		head, records, err = decodeHead(res.object.Value)
		if err != nil {
			s.failed(now)
			return
		}
		s.version = res.object.Version
	}
	s.head = head
	s.loadRecords = records
	s.open = nil
	s.openExpires = 0
	for _, r := range records {
		s.open = append(s.open, mustMarshal(&peerv1.JournalSegment{Records: []*peerv1.JournalRecord{r}})...)
	}
	s.head.Epoch++
	s.head.Owner = s.self.Member
	s.head.Incarnation = s.self.Incarnation
	s.phase = phaseFencing
	s.charge(now)
	s.prepare(nil, nil)
}

// fencedOff goes on to load once no predecessor can write any more.
func (s *shard) fencedOff(now time.Time) {
	s.stats.Takeovers++
	s.table = newTable(s.limits, func(d Dispatcher) bool { return s.alive(d) })
	s.table.horizon = s.head.HorizonMs
	s.loading = append(append([]*peerv1.JournalSegmentRef{}, s.head.Archive...), s.head.Segments...)
	s.loadArchive = len(s.head.Archive)
	s.phase = phaseLoading
	if len(s.loading) == 0 {
		s.opened(now)
	}
}

// segmentLoaded takes the records of one segment; a read that is older than the head is made again.
func (s *shard) segmentLoaded(now time.Time, res storeResult) {
	ref := s.loading[0]
	if res.err != nil || res.object.Version < storer.Point(ref.Version) {
		s.failed(now)
		return
	}
	seg := &peerv1.JournalSegment{}
	if err := proto.Unmarshal(res.object.Value, seg); err != nil {
		s.failed(now)
		return
	}
	if err := s.loadAll(seg.Records); err != nil {
		s.failed(now)
		return
	}
	s.succeeded(now)
	last := tail{number: ref.Number, version: res.object.Version, bytes: recordBytes(seg), expires: ref.ExpiresMs}
	if s.loadArchive > 0 {
		s.archive = last
		s.loadArchive--
	} else {
		s.tail = last
	}
	s.loading = s.loading[1:]
	if len(s.loading) == 0 {
		s.opened(now)
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

// opened ends the takeover and serves the calls that waited for it.
func (s *shard) opened(now time.Time) {
	if err := s.loadAll(s.loadRecords); err != nil {
		s.failed(now)
		s.phase = phaseReading
		return
	}
	for _, p := range s.loadRecords {
		s.openExpires = max(s.openExpires, s.expiresOf(p))
	}
	s.loadRecords = nil
	s.phase = phaseOpen
	for _, t := range s.sorted() {
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
	return r.expires(s.limits.Window.Milliseconds())
}
