package breaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLimitStaysAtItsFloorWhereTargetsShareTheirRate(t *testing.T) {
	for _, floor := range []float64{0, 32} {
		l := NewLimit(64)
		if floor > 0 {
			l.SetFloor(floor)
		}
		now := time.Unix(0, 0)
		// The target shares its rate: the time of a request is in proportion to the requests in progress.
		for range 20000 {
			running := max(1, l.Value())
			now = now.Add(time.Millisecond)
			l.Observe(now, time.Duration(running)*5*time.Millisecond, 256, running, false)
		}
		if floor > 0 {
			require.GreaterOrEqual(t, l.Value(), int(floor))
			continue
		}
		require.Less(t, l.Value(), 32, "only the floor keeps the limit up")
	}
}
