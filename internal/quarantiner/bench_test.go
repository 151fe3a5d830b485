package quarantiner

import (
	"testing"
	"time"
)

// BenchmarkRecordCrash measures a crash with as many suspects as are kept, and the further streams that broke with it.
func BenchmarkRecordCrash(b *testing.B) {
	q, c := newTest()
	for i := range uint32(maxSuspects) {
		for target := range uint32(3) {
			q.RecordCrash([]Key{Key(i)}, target, i)
		}
		c.advance(time.Millisecond)
	}
	b.Run("new", func(b *testing.B) {
		for n := uint32(10); b.Loop(); n++ {
			c.advance(time.Second)
			q.RecordCrash([]Key{Key(n % maxSuspects)}, n, n)
		}
	})
	b.Run("known", func(b *testing.B) {
		q.RecordCrash(nil, 1<<31, 0)
		for b.Loop() {
			q.RecordCrash(nil, 1<<31, 0)
		}
	})
}
