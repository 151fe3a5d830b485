package repairer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamsLeaveOneAfterTheOther: a target that leaves while hundreds of streams pass it never makes many pause together.
func TestStreamsLeaveOneAfterTheOther(t *testing.T) {
	const streams, parts = 10_000, 20
	serves := 2500 * time.Millisecond
	var counts [parts]int
	for i := range streams {
		after := LeaveAfter(fmt.Sprint("request-", i), serves)
		require.GreaterOrEqual(t, after, time.Duration(0))
		require.Less(t, after, serves)
		counts[int(after*parts/serves)]++
	}
	for part, n := range counts {
		// The share of a part grows evenly with its place.
		require.InDelta(t, float64(2*part+1)/(parts*parts), float64(n)/streams, 0.01, "part %d", part)
	}
}
