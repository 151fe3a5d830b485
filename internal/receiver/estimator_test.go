package receiver

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

func TestEstimator(t *testing.T) {
	steady := Generated{First: 200 * time.Millisecond, Rest: 900 * time.Millisecond, Tokens: 10, Asked: 10, Whole: true}
	short := Generated{First: 200 * time.Millisecond, Rest: 400 * time.Millisecond, Tokens: 5, Asked: 10, Whole: true}
	cut := Generated{First: 200 * time.Millisecond, Rest: 900 * time.Millisecond, Tokens: 10, Asked: 100}
	cases := []struct {
		name string
		seen []Generated
		most int
		want time.Duration
	}{
		{"nothing seen", nil, 10, 0},
		{"answers of the same length", []Generated{steady, steady}, 10, 1100 * time.Millisecond},
		{"a longer answer", []Generated{steady, steady}, 21, 2200 * time.Millisecond},
		{"one token", []Generated{steady}, 1, 200 * time.Millisecond},
		{"answers that end early", []Generated{short, short}, 20, 1100 * time.Millisecond},
		{"cut answers only", []Generated{cut}, 10, 0},
		{"a cut answer does not shorten answers", []Generated{steady, cut}, 10, 1100 * time.Millisecond},
		{"no token", []Generated{steady, {First: time.Hour, Asked: 10}}, 10, 1100 * time.Millisecond},
		{"bounded", []Generated{{First: time.Hour, Rest: time.Hour, Tokens: 2, Asked: 2, Whole: true}}, 1000, maxExpected},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimator(timer.NewManual(time.Unix(0, 0)))
			for _, g := range c.seen {
				e.Observe("s", g)
			}
			require.InDelta(t, c.want, e.Expected("s", 1, c.most), float64(time.Microsecond))
			require.Zero(t, e.Expected("other", 1, c.most))
		})
	}
}

func TestEstimatorForgets(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	e := NewEstimator(clock)
	e.Observe("s", Generated{First: time.Minute, Tokens: 1, Asked: 1, Whole: true})
	require.Equal(t, time.Minute, e.Expected("s", 1, 1))
	clock.Advance(2 * estimateHalfLife)
	require.Equal(t, 15*time.Second, e.Expected("s", 1, 1))
	for i := range maxEstimates + 10 {
		e.Observe(fmt.Sprint(i), Generated{Tokens: 1, Asked: 1, Whole: true})
	}
	require.Len(t, e.services, maxEstimates)
}

func TestGenerationsAreObserved(t *testing.T) {
	b := newBench(t)
	var seen []Generated
	b.Observe = func(service string, g Generated) {
		require.Equal(t, "assistant", service)
		seen = append(seen, g)
	}
	b.Expected = func(service string, prompt, most int) time.Duration {
		require.Equal(t, []any{"assistant", 2, 3}, []any{service, prompt, most})
		return 70 * time.Millisecond
	}
	require.NoError(t, b.send(t.Context(), modelRequest()))
	require.Equal(t, 70*time.Millisecond, b.admits[0].Expected)
	require.Len(t, seen, 1)
	require.True(t, seen[0].Whole)
	require.Equal(t, []int{3, 3}, []int{seen[0].Tokens, seen[0].Asked})
	require.NoError(t, b.send(t.Context(), with(plainRequest("GET /status"), func(r *v1.Request) { r.Idempotent = nil })))
	require.Len(t, seen, 1)
}
