package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOutageIsLoggedLessAndLessOften(t *testing.T) {
	var o outage
	require.False(t, o.recordSuccess(), "nothing has failed yet")
	var logged []time.Duration
	for now := time.Duration(0); now <= time.Hour; now += time.Second {
		if o.recordFailure(now) {
			logged = append(logged, now)
		}
	}
	want := []time.Duration{0, 10, 30, 70, 150, 310, 630, 1230, 1830, 2430, 3030}
	for i := range want {
		want[i] *= time.Second
	}
	require.Equal(t, want, logged)
	require.True(t, o.recordSuccess())
	require.False(t, o.recordSuccess(), "the end is reported once")
	require.True(t, o.recordFailure(2*time.Hour), "the next outage is logged immediately")
	require.False(t, o.recordFailure(2*time.Hour+time.Second))
}
