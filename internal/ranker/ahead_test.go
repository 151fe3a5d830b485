package ranker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Ahead returns what Record returns next, however often it is asked.
func TestAheadIsWhatRecordReturns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r Ranker
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "pause")))
			rank, amount := rapid.IntRange(0, 20).Draw(rt, "rank"), rapid.Float64Range(0, 5000).Draw(rt, "amount")
			r.Ahead("llm", rank+1, amount, now)
			ahead := r.Ahead("llm", rank, amount, now)
			require.InDelta(rt, ahead, r.Record("llm", rank, amount, now), 1e-12)
		}
	})
	var r Ranker
	require.Zero(t, r.Ahead("llm", 2, 100, time.Unix(1000, 0)))
	require.Empty(t, r.services)
}
