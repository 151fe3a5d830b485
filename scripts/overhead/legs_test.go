package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/bencher"
)

func TestSummarizeKeepsTheWorstCallerAndExcludesTheWarmUp(t *testing.T) {
	caller := func(p99 float64) *bencher.Report {
		return &bencher.Report{TokenRate: 1000, Kinds: []*bencher.KindReport{{
			Sent: 10, Answered: 9, Refusals: map[string]int64{"queue-full/not-run": 1}, FromSent: bencher.Quantiles{P99: p99},
		}}}
	}
	at := time.Unix(0, 0)
	before := usage{at: at}
	after := usage{at: at.Add(5 * time.Second), machine: 20 * time.Second, own: 10 * time.Second, router: 5 * time.Second}
	got := summarize([]*bencher.Report{caller(2), caller(7)}, load{duration: 4 * time.Second, warmUp: time.Second}, before, after)
	require.Equal(t, int64(18), got.Answered)
	require.Equal(t, int64(2), got.Refused)
	require.Equal(t, map[string]int64{"queue-full/not-run": 2}, got.Refusals)
	require.Equal(t, 7.0, got.P99)
	require.InDelta(t, 2, got.OthersCores, 1e-9)
	require.InDelta(t, 1, got.RouterCores, 1e-9)
	// 4 of 5 s of the router's processor time for 8,000 tokens.
	require.InDelta(t, 500, got.RouterMicros, 1e-9)
	require.InDelta(t, 1000, got.ProcessorMicros, 1e-9)
}
