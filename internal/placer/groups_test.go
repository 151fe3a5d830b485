package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// slowEngine is a model of 80 layers whose prompts take half a second from one data centre to another.
func slowEngine() *matcher.Engine {
	return &matcher.Engine{
		Layers: 80, LayerBytes: 1750e6, TokenBytes: 459e3, Slots: 192, UsualPrompt: 760, UsualAnswer: 140,
		ActivationBytes: 22_900, PipeBytesPerSecond: 36e6,
		Kinds: map[string]matcher.Accelerator{"a100s": {MemoryBytes: 36e9}, "l4": {MemoryBytes: 21.6e9}, "t4": {MemoryBytes: 14.4e9}},
	}
}

// uniformProblem returns a placement of empty targets, with the same kinds of targets in each data centre.
func uniformProblem(e *matcher.Engine, dataCentres int, kinds ...string) Problem {
	p := Problem{Layers: e.Layers, SlowPipes: SlowPipes(e)}
	tokens, fits := ReserveFor(e, kinds)
	if !fits {
		tokens = Reserve(e)
	}
	for dc := range dataCentres {
		for i, kind := range kinds {
			p.Targets = append(p.Targets, Target{
				Name: fmt.Sprintf("%d-%02d", dc, i), DataCentre: cataloger.DataCentre(fmt.Sprint(dc)), Capacity: MemoryOf(e, kind).Capacity(tokens),
			})
		}
	}
	return p
}

// withMoves returns the placement after some moves.
func withMoves(p Problem, moves []Move) Problem {
	out := p
	out.Targets = append([]Target{}, p.Targets...)
	for _, m := range moves {
		for i := range out.Targets {
			if out.Targets[i].Name == m.Target {
				out.Targets[i].First, out.Targets[i].End = m.First, m.End
			}
		}
	}
	return out
}

// completeDataCentres returns how many data centres hold all layers.
func completeDataCentres(p Problem) int {
	held := map[cataloger.DataCentre]coverage{}
	for _, t := range p.Targets {
		if held[t.DataCentre] == nil {
			held[t.DataCentre] = make(coverage, p.Layers)
		}
		if !t.Leaving {
			held[t.DataCentre].add(t.First, t.End, 1)
		}
	}
	n := 0
	for _, c := range held {
		complete := true
		for _, holders := range c {
			complete = complete && holders > 0
		}
		if complete {
			n++
		}
	}
	return n
}

// crossings returns the minimum number of crossings between data centres in a pipeline over all layers.
func crossings(p Problem) int {
	const none = 1 << 20
	best := map[cataloger.DataCentre]int{}
	for _, t := range p.Targets {
		best[t.DataCentre] = 0
	}
	for l := range p.Layers {
		fewest := none
		for _, n := range best {
			fewest = min(fewest, n)
		}
		next := map[cataloger.DataCentre]int{}
		for _, t := range p.Targets {
			if t.First <= l && l < t.End {
				n, ok := best[t.DataCentre]
				if !ok || l > 0 && n > fewest+1 {
					n = fewest + 1
				}
				if current, ok := next[t.DataCentre]; !ok || n < current {
					next[t.DataCentre] = n
				}
			}
		}
		best = next
	}
	fewest := none
	for _, n := range best {
		fewest = min(fewest, n)
	}
	return fewest
}

// TestPipelineInEachDataCentreWherePipesAreSlow: six targets, which hold 80 layers with memory for a few requests but only 60 with
// memory for the usual number, are placed end to end.
func TestPipelineInEachDataCentreWherePipesAreSlow(t *testing.T) {
	e := slowEngine()
	require.True(t, SlowPipes(e))
	kinds := []string{"a100s", "l4", "t4", "l4", "a100s", "t4"}
	tokens, fits := ReserveFor(e, kinds)
	require.True(t, fits)
	require.GreaterOrEqual(t, tokens, minRequests*900.0)
	p := uniformProblem(e, 5, kinds...)
	p = withMoves(p, p.NextMoves(0))
	require.Equal(t, 5, completeDataCentres(p))
	require.Zero(t, crossings(p))

	lost := p.Targets[7]
	p.Targets[7].Leaving = true
	require.Equal(t, 4, completeDataCentres(p))
	p.KeepHeld = true
	require.Empty(t, p.NextMoves(0), "no target that holds layers is moved")
	p.Targets = append(p.Targets, Target{Name: "new", DataCentre: lost.DataCentre, Capacity: lost.Capacity})
	require.Equal(t, []Move{{Target: "new", First: lost.First, End: lost.End}}, p.NextMoves(0), "its replacement fills the gap")
}

func TestUsualMemoryWhereItIsEnough(t *testing.T) {
	e := slowEngine()
	tokens, fits := ReserveFor(e, []string{"a100s", "a100s", "a100s", "l4", "l4", "l4", "l4", "l4"})
	require.True(t, fits)
	require.InDelta(t, Reserve(e), tokens, 1e-6)
	_, fits = ReserveFor(e, []string{"a100s", "l4"})
	require.False(t, fits)
	e.PipeBytesPerSecond = 987e6
	require.False(t, SlowPipes(e))
	require.InDelta(t, 100, float64(slowTransferTime/time.Millisecond), 0)
}

// TestLayoutsThatCross: data centres with one accelerator each, or one kind only, get pipelines with as few crossings as possible.
func TestLayoutsThatCross(t *testing.T) {
	e := slowEngine()
	single := uniformProblem(e, 7, "a100s")
	require.Equal(t, 5, crossings(withMoves(single, single.NextMoves(0))), "six of 15 layers are the fewest")
	pairs := uniformProblem(e, 4, "l4", "l4", "l4", "l4", "l4")
	require.Equal(t, uint32(9), pairs.Targets[0].Capacity)
	pairs = withMoves(pairs, pairs.NextMoves(0))
	require.Equal(t, 1, crossings(pairs))
	groups := pairs.assignGroups()
	require.Equal(t, []int{1, 2, 2, 1}, []int{groups[0], groups[5], groups[10], groups[15]}, "two pairs")
	one := uniformProblem(e, 1, "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4")
	require.Zero(t, crossings(withMoves(one, one.NextMoves(0))))
}

// TestGroupsBecomeComplete: where the empty targets of a group have capacity for all layers, they hold all layers.
func TestGroupsBecomeComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Problem{Layers: 40, SlowPipes: true}
		for dc := range rapid.IntRange(1, 5).Draw(t, "data-centres") {
			for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
				p.Targets = append(p.Targets, Target{
					Name: fmt.Sprintf("%d-%d", dc, i), DataCentre: cataloger.DataCentre(fmt.Sprint(dc)),
					Capacity: uint32(rapid.IntRange(1, 20).Draw(t, "capacity")),
				})
			}
		}
		moves := p.NextMoves(0)
		after := withMoves(p, moves)
		s := newState(after)
		for i, g := range s.groupOf {
			if g == 0 {
				continue
			}
			_, _, gap := s.firstGap(g)
			require.False(t, gap, "group of %s", s.Targets[i].DataCentre)
		}
		for _, m := range moves {
			require.LessOrEqual(t, m.End, p.Layers)
		}
		fits := 0
		for _, capacity := range p.capacities() {
			if capacity >= p.Layers {
				fits++
			}
		}
		require.Equal(t, fits, completeDataCentres(after))
	})
}
