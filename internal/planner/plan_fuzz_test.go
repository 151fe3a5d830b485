package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// The oracle keeps the pace, the memory and the bound under every change, and wants an end of changes.
func TestPlanFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet(rapid.IntRange(1, 12).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "dcs"), rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		s.Pace = Pace{MaxLoads: rapid.IntRange(1, 6).Draw(t, "loads"), StoreRate: 1e9, MaxMoves: 2}
		planner := New()
		names := len(s.Targets)
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				before := planner.Plan(s)
				require.Equal(t, before, Plan(s), "the same state, the same placement")
				pulling, bytes := underWay(s)
				for _, c := range before.Changes {
					if c.Kind == ChangeLoad {
						pulling++
						bytes += c.Bytes
						require.Equal(t, s.Model.Version, c.Holding.Version)
					}
				}
				require.LessOrEqual(t, pulling, max(s.Pace.MaxLoads, countPulling(s)))
				if pulling > 1 && len(before.Changes) > 0 {
					require.LessOrEqual(t, float64(bytes), max(s.Pace.withDefaults().bytes(), float64(bytesPulling(s))))
				}
				after := apply(t, s, before.Changes, func() bool { return false })
				left := exactBound(after)
				if before.Bound > 0 {
					require.Positive(t, left, "uncovered by its own changes")
				}
				if before.Bound >= s.OfferedLoad*(1+margin) {
					require.GreaterOrEqual(t, left, s.OfferedLoad*0.99, "below the offered load")
				} else if !droppedNothing(before.Changes) {
					require.GreaterOrEqual(t, left, before.Bound*0.99)
				}
				s = apply(t, after, nil, func() bool { return rapid.Bool().Draw(t, "ready") })
			},
			"lose": func(t *rapid.T) {
				if len(s.Targets) > 1 {
					i := rapid.IntRange(0, len(s.Targets)-1).Draw(t, "lost")
					s.Targets = slices.Delete(slices.Clone(s.Targets), i, i+1)
				}
			},
			"join": func(t *rapid.T) {
				names++
				k := kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")]
				s.Targets = append(slices.Clone(s.Targets), cataloger.Target{
					Name: fmt.Sprintf("t%04d", names), DataCentre: "dc00", DecodeRate: k.rate, MemoryBytes: k.memory, State: cataloger.StateLive,
				})
			},
			"version": func(t *rapid.T) {
				s.Model.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			},
			"load": func(t *rapid.T) {
				s.OfferedLoad = rapid.Float64Range(0, 1.2).Draw(t, "part") * exactBound(s)
			},
		})
		s.OfferedLoad = 0
		settled, placement := settle(t, s)
		require.Empty(t, Plan(settled).Changes, "no change without a cause")
		require.LessOrEqual(t, placement.Bound, placement.UpperBound*(1+1e-6))
		everyone := group{}
		for i := range settled.Targets {
			everyone.members = append(everyone.members, i)
		}
		if settled.canCover(everyone) {
			require.Positive(t, placement.Bound, "every layer fits and some is not held")
		}
	})
}

func droppedNothing(changes []Change) bool {
	return !slices.ContainsFunc(changes, func(c Change) bool { return c.Kind == ChangeUnload })
}

// exactBound is the max-flow of what is ready over the groups of the planner, versions apart.
func exactBound(s State) float64 {
	s.Bandwidth = s.bandwidth()
	var usable []int
	for i, t := range s.Targets {
		if s.Model.capacity(t) > 0 {
			usable = append(usable, i)
		}
	}
	bound := 0.0
	for _, g := range groups(s, usable) {
		bound += s.solve(g)
	}
	return bound
}

func underWay(s State) (int, uint64) { return countPulling(s), bytesPulling(s) }

func countPulling(s State) int {
	n := 0
	for _, t := range s.Targets {
		if slices.ContainsFunc(t.Holdings, func(h cataloger.Holding) bool { return !h.Ready }) {
			n++
		}
	}
	return n
}

func bytesPulling(s State) uint64 {
	bytes := uint64(0)
	for _, t := range s.Targets {
		for _, h := range t.Holdings {
			if !h.Ready {
				bytes += uint64(h.EndLayer-h.FirstLayer) * s.Model.LayerBytes
			}
		}
	}
	return bytes
}
