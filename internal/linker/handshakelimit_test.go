package linker

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHandshakeLimitFollowsDurations(t *testing.T) {
	begin := time.Unix(100, 0)
	tests := map[string]struct {
		took []time.Duration
		ok   bool
		want int
	}{
		"fast handshakes raise the limit by one":   {[]time.Duration{100 * time.Millisecond}, true, 9},
		"fast failures change nothing":             {[]time.Duration{100 * time.Millisecond}, false, 8},
		"neither fast nor slow":                    {[]time.Duration{700 * time.Millisecond}, true, 8},
		"a slow handshake halves it":               {[]time.Duration{time.Second}, true, 4},
		"concurrent slow handshakes halve it once": {[]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}, false, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHandshakeLimiter(2 * time.Second)
			g.limit = 8
			for range tt.took {
				require.NoError(t, g.acquire(context.Background()))
			}
			for _, took := range tt.took {
				g.release(begin, begin.Add(took), tt.ok)
			}
			require.Equal(t, tt.want, g.limit)
			require.Zero(t, g.inProgress)
		})
	}
}

func TestHandshakeLimitStaysWithinBounds(t *testing.T) {
	g := newHandshakeLimiter(2 * time.Second)
	now := time.Unix(100, 0)
	run := func(took time.Duration) {
		require.NoError(t, g.acquire(context.Background()))
		now = now.Add(took + time.Millisecond)
		g.release(now.Add(-took), now, true)
	}
	run(time.Millisecond)
	require.Equal(t, maxHandshakes, g.limit)
	for range 20 {
		run(2 * time.Second)
	}
	require.Equal(t, minHandshakes, g.limit)
}

func TestHandshakeSlotsAreGrantedInOrderAndSkipCanceledWaiters(t *testing.T) {
	g := newHandshakeLimiter(time.Second)
	g.limit = 1
	require.NoError(t, g.acquire(context.Background()))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, g.acquire(canceled), errTooManyHandshakes)
	require.Empty(t, g.waiters)
	done := make(chan error)
	go func() { done <- g.acquire(context.Background()) }()
	now := time.Unix(100, 0)
	g.release(now, now.Add(300*time.Millisecond), true)
	require.NoError(t, <-done)
	require.Equal(t, 1, g.inProgress)
}
