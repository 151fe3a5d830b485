package journaler

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// commit is one conditional write of the head, which commits a batch of records.
type commit struct {
	head     *peerv1.JournalHead
	value    []byte
	expected storer.Point
	batch    []change
	records  []byte
	expires  int64
	// fingerprinted lists the keys whose fingerprints the head's archive holds from this write on.
	fingerprinted []Key
	// horizon is the head's horizon after this write.
	horizon  int64
	readBack bool
}

// change identifies the state of one record that a batch holds, by the record's count of changes.
type change struct {
	key   Key
	count uint32
}

// startCommit makes a batch of the dirty records and prepares its write.
func (s *shard) startCommit(now time.Time) {
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
	s.outcomesDueAt = time.Time{}
	if s.urgent {
		s.outcomesDueAt = now
	}
	s.prepareCommit(batch, records)
}

// prepareCommit prepares the write of the next head. The head's epoch, owner and commit number serve as a nonce, which
// shows on a read back whether a write with a lost answer took effect.
func (s *shard) prepareCommit(batch []change, records []byte) {
	s.head.Commit++
	c := &commit{
		head:     proto.CloneOf(s.head),
		expected: s.version,
		batch:    batch,
		records:  records,
		horizon:  s.head.HorizonMs,
	}
	for _, ch := range batch {
		c.expires = max(c.expires, s.table.records[ch.key].expiresAt(s.limits.Window.Milliseconds()))
	}
	c.value = encodeHead(c.head, s.headRecords, records)
	s.commit = c
}

func (s *shard) commitCall(write, readBack callPurpose) storeCall {
	if s.commit.readBack {
		return storeCall{typ: callGet, purpose: readBack, key: s.headKey()}
	}
	return storeCall{typ: callPut, purpose: write, key: s.headKey(), value: s.commit.value, expected: s.commit.expected}
}

// handleCommitWrite handles the answer to the head's write. After a lost answer the shard writes the same bytes on the
// same version again: either one of the two writes takes effect, or on a conflict the shard reads back whose write did.
func (s *shard) handleCommitWrite(now time.Time, res storeResult) {
	switch {
	case res.err == nil:
		s.finishCommit(now, res.version)
	case errors.Is(res.err, storer.ErrConflict):
		s.commit.readBack = true
	default:
		s.recordStoreFailure(now)
	}
}

func (s *shard) handleCommitReadBack(now time.Time, res storeResult) {
	if res.err != nil || res.object.Version <= s.commit.expected {
		s.recordStoreFailure(now)
		return
	}
	head, _, err := decodeHead(res.object.Value)
	if err != nil {
		s.recordStoreFailure(now)
		return
	}
	if !sameNonce(head, s.commit.head) {
		s.releaseFenced(now)
		return
	}
	s.finishCommit(now, res.object.Version)
}

func sameNonce(a, b *peerv1.JournalHead) bool {
	return a.Epoch == b.Epoch && a.Owner == b.Owner && a.Incarnation == b.Incarnation && a.Commit == b.Commit
}

// finishCommit applies a write of the head that is known to have taken effect.
func (s *shard) finishCommit(now time.Time, version storer.Point) {
	c := s.commit
	s.commit = nil
	s.version = version
	s.stats.Commits++
	s.recordStoreSuccess(now)
	if s.phase == phaseFencing {
		s.startLoading(now)
		return
	}
	s.headRecords = append(s.headRecords, c.records...)
	s.headRecordsExpire = max(s.headRecordsExpire, c.expires)
	for _, ch := range c.batch {
		if r, ok := s.table.records[ch.key]; ok {
			r.storedChanges = ch.count
		}
	}
	s.table.replaceWithFingerprints(millis(s.compactTo), c.fingerprinted)
	s.table.advanceHorizon(c.horizon)
	s.answerProofs(c.head.Commit)
	for _, ch := range c.batch {
		s.settleTickets(now, ch.key)
	}
}
