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
	steady := GenerationStats{TimeToFirstToken: 200 * time.Millisecond, DecodeTime: 900 * time.Millisecond, Tokens: 10, RequestedTokens: 10, Complete: true}
	short := GenerationStats{TimeToFirstToken: 200 * time.Millisecond, DecodeTime: 400 * time.Millisecond, Tokens: 5, RequestedTokens: 10, Complete: true}
	interrupted := GenerationStats{TimeToFirstToken: 200 * time.Millisecond, DecodeTime: 900 * time.Millisecond, Tokens: 10, RequestedTokens: 100}
	cases := []struct {
		name      string
		observed  []GenerationStats
		maxTokens int
		want      time.Duration
	}{
		{"no observation", nil, 10, 0},
		{"answers of the same length", []GenerationStats{steady, steady}, 10, 1100 * time.Millisecond},
		{"a longer answer", []GenerationStats{steady, steady}, 21, 2200 * time.Millisecond},
		{"one token", []GenerationStats{steady}, 1, 200 * time.Millisecond},
		{"answers shorter than requested", []GenerationStats{short, short}, 20, 1100 * time.Millisecond},
		{"interrupted answers only", []GenerationStats{interrupted}, 10, 0},
		{"an interrupted answer does not shorten the estimate", []GenerationStats{steady, interrupted}, 10, 1100 * time.Millisecond},
		{"no token", []GenerationStats{steady, {TimeToFirstToken: time.Hour, RequestedTokens: 10}}, 10, 1100 * time.Millisecond},
		{"bounded", []GenerationStats{{TimeToFirstToken: time.Hour, DecodeTime: time.Hour, Tokens: 2, RequestedTokens: 2, Complete: true}}, 1000, maxExpectedDuration},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := NewEstimator(timer.NewManual(time.Unix(0, 0)))
			for _, g := range c.observed {
				e.Observe("s", g)
			}
			require.InDelta(t, c.want, e.ExpectedDuration("s", 1, c.maxTokens), float64(time.Microsecond))
			require.Zero(t, e.ExpectedDuration("other", 1, c.maxTokens))
		})
	}
}

func TestEstimatorDecaysAndEvicts(t *testing.T) {
	clock := timer.NewManual(time.Unix(0, 0))
	e := NewEstimator(clock)
	e.Observe("s", GenerationStats{TimeToFirstToken: time.Minute, Tokens: 1, RequestedTokens: 1, Complete: true})
	require.Equal(t, time.Minute, e.ExpectedDuration("s", 1, 1))
	clock.Advance(2 * estimateHalfLife)
	require.Equal(t, 15*time.Second, e.ExpectedDuration("s", 1, 1))
	for i := range maxEstimates + 10 {
		e.Observe(fmt.Sprint(i), GenerationStats{Tokens: 1, RequestedTokens: 1, Complete: true})
	}
	require.Len(t, e.services, maxEstimates)
}

func TestGenerationsAreObserved(t *testing.T) {
	b := newTestBench(t)
	var observed []GenerationStats
	b.ObserveGeneration = func(service string, g GenerationStats) {
		require.Equal(t, "assistant", service)
		observed = append(observed, g)
	}
	b.ExpectedDuration = func(service string, prompt, maxTokens int) time.Duration {
		require.Equal(t, []any{"assistant", 2, 3}, []any{service, prompt, maxTokens})
		return 70 * time.Millisecond
	}
	require.NoError(t, b.send(t.Context(), modelRequest()))
	require.Equal(t, 70*time.Millisecond, b.admissions[0].Expected)
	require.Len(t, observed, 1)
	require.True(t, observed[0].Complete)
	require.Equal(t, []int{3, 3}, []int{observed[0].Tokens, observed[0].RequestedTokens})
	require.NoError(t, b.send(t.Context(), modify(plainRequest("GET /status"), func(r *v1.Request) { r.Idempotent = nil })))
	require.Len(t, observed, 1)
}
