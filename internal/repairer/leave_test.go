package repairer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamsLeaveOneAfterTheOther: a target that leaves with hundreds of streams must not make many of them pause
// together.
func TestStreamsLeaveOneAfterTheOther(t *testing.T) {
	const streams, parts = 10_000, 20
	serveTime := 2500 * time.Millisecond
	var counts [parts]int
	for i := range streams {
		after := LeaveAfter(fmt.Sprint("request-", i), serveTime)
		require.GreaterOrEqual(t, after, time.Duration(0))
		require.Less(t, after, serveTime)
		counts[int(after*parts/serveTime)]++
	}
	for part, n := range counts {
		// The share of a part grows linearly with its index.
		require.InDelta(t, float64(2*part+1)/(parts*parts), float64(n)/streams, 0.01, "part %d", part)
	}
}
