package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRemovedTargetIsDroppedThoughWatchesAreCutOff guards against requests that reach a target over drainTime after its removal: a
// watch that the store cuts off was taken for an outage, after which removed targets were kept in case they reappear.
func TestRemovedTargetIsDroppedThoughWatchesAreCutOff(t *testing.T) {
	cases := []struct {
		name string
		// The watches are cut off before and after the removal, each time gap after the last.
		before, after int
		gap, removeIn time.Duration
	}{
		{"once", 1, 0, 0, 100 * time.Millisecond},
		{"twice", 2, 0, 500 * time.Millisecond, 100 * time.Millisecond},
		{"removed as they are cut off", 2, 0, 500 * time.Millisecond, 0},
		{"removed long after", 2, 0, 500 * time.Millisecond, 2 * time.Second},
		{"many times", 12, 0, 300 * time.Millisecond, 100 * time.Millisecond},
		{"on and on", 8, 9, 200 * time.Millisecond, 50 * time.Millisecond},
		{"removed, then cut off", 0, 2, 100 * time.Millisecond, 0},
		{"at long intervals", 6, 0, 2500 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, 4)
				f.writeTarget("gone")
				f.writeTarget("stays")
				time.Sleep(5 * time.Second)
				require.Equal(t, 4, f.listing("gone"), "the fleet has started")
				cut := func(n int) {
					for range n {
						time.Sleep(c.gap)
						f.cutWatches()
					}
				}
				cut(c.before)
				time.Sleep(c.removeIn)
				removed := time.Now()
				f.removeTarget("gone")
				cut(c.after)
				time.Sleep(time.Until(removed.Add(drainTime)))
				require.Zero(t, f.listing("gone"))
				require.Equal(t, 4, f.listing("stays"))
			})
		})
	}
}
