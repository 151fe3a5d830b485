package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	text := "goos: linux\nBenchmarkPick/accelerators=40-10 \t 100\t 7645 ns/op\t 2.5 MB/s\nBenchmarkBroken\nPASS\nok  \tx\t1.0s\n"
	require.Equal(t, []result{{
		Name: "BenchmarkPick/accelerators=40-10", Iterations: 100, Metrics: map[string]float64{"ns/op": 7645, "MB/s": 2.5},
	}}, parse(text))
}
