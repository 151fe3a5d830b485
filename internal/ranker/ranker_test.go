package ranker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever arrives, more is ahead of a later rank, and all shares are in [0,1].
func TestAheadGrowsWithRank(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r Ranker
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 50).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "pause")))
			r.Record("llm", rapid.IntRange(-1, 20).Draw(rt, "rank"), rapid.Float64Range(0, 5000).Draw(rt, "amount"), now)
		}
		last := 0.0
		for rank := range maxRank + 1 {
			ahead := r.Record("llm", rank, 0, now)
			require.GreaterOrEqual(rt, ahead, last)
			require.LessOrEqual(rt, ahead, 1.0)
			last = ahead
		}
	})
}

// A burst of the least urgent rank lowers what is ahead of it, and the share is back some seconds later.
func TestBurstOfTheLeastUrgent(t *testing.T) {
	var r Ranker
	now := time.Unix(1000, 0)
	arrive := func(seconds, perSecond int) (ahead float64) {
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			r.Record("llm", 0, 100, now)
			for range perSecond {
				ahead = r.Record("llm", 1, 100, now)
			}
		}
		return ahead
	}
	require.InDelta(t, 0.5, arrive(20, 1), 0.02)
	require.Less(t, arrive(8, 4), 0.3)
	require.InDelta(t, 0.5, arrive(16, 1), 0.02)
	require.Zero(t, r.Record("other", 3, 100, now), "services are apart")
}
