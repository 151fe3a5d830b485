package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// commit is one conditional write of the head: the group commit of a batch of records.
type commit struct {
	head     *peerv1.JournalHead
	value    []byte
	expected storer.Point
	batch    []change
	records  []byte
	expires  int64
	// forget lists the keys whose fingerprints the head's archive holds from this write on.
	forget []Key
	// horizon is the head's horizon after this write.
	horizon  int64
	readBack bool
}

// change is one record as it is in a batch.
type change struct {
	key   Key
	count uint32
}

// begin makes a batch of the dirty records.
func (s *shard) begin(now time.Time) {
	s.writeAt = time.Time{}
	var batch []change
	var records []byte
	taken := 0
	for _, key := range s.dirty {
		if len(records) >= s.limits.BatchBytes {
			break
		}
		taken++
		r, ok := s.table.records[key]
		if !ok {
			continue
		}
		r.queued = false
		batch = append(batch, change{key: key, count: r.changes})
		records = append(records, encodeRecord(key, r)...)
	}
	s.dirty = append([]Key{}, s.dirty[taken:]...)
	s.urgent = len(s.dirty) > 0
	s.lazyAt = time.Time{}
	if s.urgent {
		s.lazyAt = now
	}
	s.prepare(batch, records)
}

// prepare makes the write of the next head; its epoch, owner and commit number are the nonce that settles a lost answer.
func (s *shard) prepare(batch []change, records []byte) {
	s.head.Commit++
	c := &commit{
		head:     proto.CloneOf(s.head),
		expected: s.version,
		batch:    batch,
		records:  records,
		horizon:  s.head.HorizonMs,
	}
	for _, ch := range batch {
		c.expires = max(c.expires, s.table.records[ch.key].expires(s.limits.Window.Milliseconds()))
	}
	c.value = encodeHead(c.head, s.open, records)
	s.commit = c
}

func (s *shard) commitCall(write, readBack callPurpose) storeCall {
	if s.commit.readBack {
		return storeCall{typ: callGet, purpose: readBack, key: s.headKey()}
	}
	return storeCall{typ: callPut, purpose: write, key: s.headKey(), value: s.commit.value, expected: s.commit.expected}
}

// commitWritten takes the answer of the head's write. A lost answer is settled by writing the same bytes on the same
// version again: either one of the two writes takes effect, or the conflict makes the shard read back whose write did.
func (s *shard) commitWritten(now time.Time, res storeResult) {
	switch {
	case res.err == nil:
		s.committed(now, res.version)
	case errors.Is(res.err, storer.ErrConflict):
		s.commit.readBack = true
	default:
		s.failed(now)
	}
}

func (s *shard) commitReadBack(now time.Time, res storeResult) {
	if res.err != nil || res.object.Version <= s.commit.expected {
		s.failed(now)
		return
	}
	head, _, err := decodeHead(res.object.Value)
	if err != nil {
		s.failed(now)
		return
	}
	if !sameNonce(head, s.commit.head) {
		s.fenced(now)
		return
	}
	s.committed(now, res.object.Version)
}

func sameNonce(a, b *peerv1.JournalHead) bool {
	return a.Epoch == b.Epoch && a.Owner == b.Owner && a.Incarnation == b.Incarnation && a.Commit == b.Commit
}

// committed takes a write of the head that is known to have taken effect.
func (s *shard) committed(now time.Time, version storer.Point) {
	c := s.commit
	s.commit = nil
	s.version = version
	s.stats.Commits++
	s.succeeded(now)
	if s.phase == phaseFencing {
		s.fencedOff(now)
		return
	}
	s.open = append(s.open, c.records...)
	s.openExpires = max(s.openExpires, c.expires)
	for _, ch := range c.batch {
		if r, ok := s.table.records[ch.key]; ok {
			r.stored = ch.count
		}
	}
	s.table.forget(millis(s.compactTo), c.forget)
	s.table.advance(c.horizon)
	s.proved(c.head.Commit)
	for _, ch := range c.batch {
		s.stored(now, ch.key)
	}
}
