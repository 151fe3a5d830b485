package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// assignedBound returns the bound of an assignment, with each data centre as one group.
func assignedBound(s State, spans []span) float64 {
	s = withHoldings(s, spans)
	byCentre := map[cataloger.DataCentre][]int{}
	for i, t := range s.Targets {
		byCentre[t.DataCentre] = append(byCentre[t.DataCentre], i)
	}
	bound := 0.0
	for _, members := range byCentre {
		bound += s.solveBound(group{members: members})
	}
	return bound
}

// uniform gives every target an equal part of the layers that fits into the smallest memory.
func uniform(s State) []span {
	smallest := s.Model.Layers
	for _, t := range s.Targets {
		smallest = min(smallest, s.Model.capacity(t))
	}
	parts := (s.Model.Layers + smallest - 1) / smallest
	next := map[cataloger.DataCentre]uint32{}
	spans := make([]span, len(s.Targets))
	for i, t := range s.Targets {
		p := next[t.DataCentre]
		next[t.DataCentre] = (p + 1) % parts
		spans[i] = span{p * s.Model.Layers / parts, (p + 1) * s.Model.Layers / parts}
	}
	return spans
}

// greedy gives every target as many layers as fit, starting where the previous one ended.
func greedy(s State) []span {
	next := map[cataloger.DataCentre]uint32{}
	spans := make([]span, len(s.Targets))
	for i, t := range s.Targets {
		first := next[t.DataCentre] % s.Model.Layers
		end := min(s.Model.Layers, first+s.Model.capacity(t))
		spans[i] = span{first, end}
		next[t.DataCentre] = end
	}
	return spans
}

func TestPlacementAgainstBaselines(t *testing.T) {
	sizes := []struct{ targets, dataCentres int }{{40, 3}, {660, 13}}
	if *large {
		sizes = append(sizes, struct{ targets, dataCentres int }{6600, 13})
	}
	for _, size := range sizes {
		seeds := uint64(1)
		if *large {
			seeds = 3
		}
		for seed := range seeds {
			s := fleet(size.targets, size.dataCentres, seed)
			upper := 0.0
			for _, target := range s.Targets {
				upper += target.DecodeRate / float64(s.Model.Layers)
			}
			planShare, uniformShare, greedyShare := assignedBound(s, planned(s))/upper, assignedBound(s, uniform(s))/upper, assignedBound(s, greedy(s))/upper
			t.Logf("%d targets, seed %d: upper bound %.0f tokens/s, reached %.3f, uniform split %.3f, greedy %.3f",
				size.targets, seed, upper, planShare, uniformShare, greedyShare)
			require.GreaterOrEqual(t, planShare, 0.85)
			require.GreaterOrEqual(t, planShare, max(uniformShare, greedyShare))
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{40, 400, 1600, 6600} {
		b.Run(fmt.Sprint("fresh/targets=", n), func(b *testing.B) {
			s := fleet(n, 13, 1)
			for range b.N {
				Plan(s)
			}
		})
		b.Run(fmt.Sprint("held/targets=", n), func(b *testing.B) {
			s := withPlannedHoldings(fleet(n, 13, 1))
			b.ResetTimer()
			for range b.N {
				Plan(s)
			}
		})
		b.Run(fmt.Sprint("steady/targets=", n), func(b *testing.B) {
			s := withPlannedHoldings(fleet(n, 13, 1))
			p := New()
			p.Plan(s)
			b.ResetTimer()
			for range b.N {
				p.Plan(s)
			}
		})
		b.Run(fmt.Sprint("loss/targets=", n), func(b *testing.B) {
			s := withPlannedHoldings(fleet(n, 13, 1))
			p := New()
			b.StopTimer()
			b.ResetTimer()
			for i := range b.N {
				p.Plan(s)
				lost := s
				lost.Targets = slices.Clone(s.Targets)
				lost.Targets[i%n].State = cataloger.StateDead
				b.StartTimer()
				p.Plan(lost)
				b.StopTimer()
			}
		})
	}
}
