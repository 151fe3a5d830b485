package planner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// TestPlanFuzz changes the state at random and requires that the pace, the memory and the bound are kept after every
// change, and that changes come to an end.
func TestPlanFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fleet(rapid.IntRange(1, 12).Draw(t, "targets"), rapid.IntRange(1, 3).Draw(t, "dcs"), rapid.Uint64Range(1, 1000).Draw(t, "seed"))
		s.Pace = Pace{MaxLoads: rapid.IntRange(1, 6).Draw(t, "loads"), StoreRate: 1e9, MaxMoves: 2}
		planner := New()
		names := len(s.Targets)
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				before := planner.Plan(s)
				require.Equal(t, before, Plan(s), "the same state must give the same placement")
				pulling, bytes := inProgress(s)
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
				remaining := maxFlowBound(after)
				if before.Bound > 0 {
					require.Positive(t, remaining, "the changes left layers uncovered")
				}
				if before.Bound >= s.OfferedLoad*(1+loadMargin) {
					require.GreaterOrEqual(t, remaining, s.OfferedLoad*0.99, "bound below the offered load")
				} else if !dropsNothing(before.Changes) {
					require.GreaterOrEqual(t, remaining, before.Bound*0.99)
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
				s.OfferedLoad = rapid.Float64Range(0, 1.2).Draw(t, "part") * maxFlowBound(s)
			},
		})
		s.OfferedLoad = 0
		settled, placement := applyUntilStable(t, s)
		require.Empty(t, Plan(settled).Changes, "changes in a stable state")
		require.LessOrEqual(t, placement.Bound, placement.UpperBound*(1+1e-6))
		everyone := group{}
		for i := range settled.Targets {
			everyone.members = append(everyone.members, i)
		}
		if settled.canCover(everyone) {
			require.Positive(t, placement.Bound, "every layer fits, but some are not held")
		}
	})
}

func dropsNothing(changes []Change) bool {
	return !slices.ContainsFunc(changes, func(c Change) bool { return c.Kind == ChangeUnload })
}

// maxFlowBound returns the max-flow bound of the ready holdings over the planner's groups, with versions kept apart.
func maxFlowBound(s State) float64 {
	s.Bandwidth = s.bandwidthFunc()
	var usable []int
	for i, t := range s.Targets {
		if s.Model.capacity(t) > 0 {
			usable = append(usable, i)
		}
	}
	bound := 0.0
	for _, g := range formGroups(s, usable) {
		bound += s.solveBound(g)
	}
	return bound
}

func inProgress(s State) (int, uint64) { return countPulling(s), bytesPulling(s) }

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
