package linker

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestGateFollowsTheTimeOfHandshakes(t *testing.T) {
	begin := time.Unix(100, 0)
	tests := map[string]struct {
		took []time.Duration
		ok   bool
		want int
	}{
		"fast ones raise the limit by one":     {[]time.Duration{100 * time.Millisecond}, true, 9},
		"failures that come fast tell nothing": {[]time.Duration{100 * time.Millisecond}, false, 8},
		"neither fast nor slow":                {[]time.Duration{700 * time.Millisecond}, true, 8},
		"slow ones halve it":                   {[]time.Duration{time.Second}, true, 4},
		"those of one time halve it once":      {[]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}, false, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := newGate(2 * time.Second)
			g.limit = 8
			for range tt.took {
				require.NoError(t, g.enter(context.Background()))
			}
			for _, took := range tt.took {
				g.leave(begin, begin.Add(took), tt.ok)
			}
			require.Equal(t, tt.want, g.limit)
			require.Zero(t, g.inside)
		})
	}
}

func TestGateKeepsItsBounds(t *testing.T) {
	g := newGate(2 * time.Second)
	now := time.Unix(100, 0)
	run := func(took time.Duration) {
		require.NoError(t, g.enter(context.Background()))
		now = now.Add(took + time.Millisecond)
		g.leave(now.Add(-took), now, true)
	}
	run(time.Millisecond)
	require.Equal(t, maxHandshakes, g.limit)
	for range 20 {
		run(2 * time.Second)
	}
	require.Equal(t, minHandshakes, g.limit)
}

func TestGateGivesTurnsInOrderAndForgetsThoseWhoLeave(t *testing.T) {
	g := newGate(time.Second)
	g.limit = 1
	require.NoError(t, g.enter(context.Background()))
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, g.enter(canceled), errGate)
	require.Empty(t, g.waiting)
	done := make(chan error)
	go func() { done <- g.enter(context.Background()) }()
	now := time.Unix(100, 0)
	g.leave(now, now.Add(300*time.Millisecond), true)
	require.NoError(t, <-done)
	require.Equal(t, 1, g.inside)
}
