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

// remote returns a placement over data centres that each have the same kinds of targets, empty.
func remote(e *matcher.Engine, dataCentres int, kinds ...string) Problem {
	p := Problem{Layers: e.Layers, SlowPipes: SlowPipes(e)}
	tokens, whole := ReserveFor(e, kinds)
	if !whole {
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

// done returns the placement after some moves.
func done(p Problem, moves []Move) Problem {
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

// wholeCentres returns how many data centres hold all layers.
func wholeCentres(p Problem) int {
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
		whole := true
		for _, holders := range c {
			whole = whole && holders > 0
		}
		if whole {
			n++
		}
	}
	return n
}

// crossings returns the fewest crossings between data centres of a pipeline over all layers.
func crossings(p Problem) int {
	const none = 1 << 20
	best := map[cataloger.DataCentre]int{}
	for _, t := range p.Targets {
		best[t.DataCentre] = 0
	}
	for l := range p.Layers {
		least := none
		for _, n := range best {
			least = min(least, n)
		}
		next := map[cataloger.DataCentre]int{}
		for _, t := range p.Targets {
			if t.First <= l && l < t.End {
				n, ok := best[t.DataCentre]
				if !ok || l > 0 && n > least+1 {
					n = least + 1
				}
				if known, ok := next[t.DataCentre]; !ok || n < known {
					next[t.DataCentre] = n
				}
			}
		}
		best = next
	}
	least := none
	for _, n := range best {
		least = min(least, n)
	}
	return least
}

// TestPipelineInEachDataCentreWherePipesAreSlow: six targets that hold 80 layers with memory for a few requests, and 60 with that
// for the usual number, lie end to end.
func TestPipelineInEachDataCentreWherePipesAreSlow(t *testing.T) {
	e := slowEngine()
	require.True(t, SlowPipes(e))
	kinds := []string{"a100s", "l4", "t4", "l4", "a100s", "t4"}
	tokens, whole := ReserveFor(e, kinds)
	require.True(t, whole)
	require.GreaterOrEqual(t, tokens, leastRequests*900.0)
	p := remote(e, 5, kinds...)
	p = done(p, p.NextMoves(0))
	require.Equal(t, 5, wholeCentres(p))
	require.Zero(t, crossings(p))

	lost := p.Targets[7]
	p.Targets[7].Leaving = true
	require.Equal(t, 4, wholeCentres(p))
	p.Keep = true
	require.Empty(t, p.NextMoves(0), "nothing is moved for it")
	p.Targets = append(p.Targets, Target{Name: "new", DataCentre: lost.DataCentre, Capacity: lost.Capacity})
	require.Equal(t, []Move{{Target: "new", First: lost.First, End: lost.End}}, p.NextMoves(0), "its replacement fills the gap")
}

func TestUsualMemoryWhereItIsEnough(t *testing.T) {
	e := slowEngine()
	tokens, whole := ReserveFor(e, []string{"a100s", "a100s", "a100s", "l4", "l4", "l4", "l4", "l4"})
	require.True(t, whole)
	require.InDelta(t, Reserve(e), tokens, 1e-6)
	_, whole = ReserveFor(e, []string{"a100s", "l4"})
	require.False(t, whole)
	e.PipeBytesPerSecond = 987e6
	require.False(t, SlowPipes(e))
	require.InDelta(t, 100, float64(slowTransfer/time.Millisecond), 0)
}

// TestLayoutsThatCross: data centres of one accelerator each, and one kind only, all far from the daemons.
func TestLayoutsThatCross(t *testing.T) {
	e := slowEngine()
	single := remote(e, 7, "a100s")
	require.Equal(t, 5, crossings(done(single, single.NextMoves(0))), "six of 15 layers are the fewest")
	pairs := remote(e, 4, "l4", "l4", "l4", "l4", "l4")
	require.Equal(t, uint32(9), pairs.Targets[0].Capacity)
	pairs = done(pairs, pairs.NextMoves(0))
	require.Equal(t, 1, crossings(pairs))
	groups := pairs.group()
	require.Equal(t, []int{1, 2, 2, 1}, []int{groups[0], groups[5], groups[10], groups[15]}, "two pairs")
	one := remote(e, 1, "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4", "t4")
	require.Zero(t, crossings(done(one, one.NextMoves(0))))
}

// TestGroupsAreMadeWhole: wherever targets that hold nothing fit a group's layers, they make it whole.
func TestGroupsAreMadeWhole(t *testing.T) {
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
		after := done(p, moves)
		s := newState(after)
		for i, g := range s.groups {
			if g == 0 {
				continue
			}
			_, _, gap := s.gap(g)
			require.False(t, gap, "group of %s", s.Targets[i].DataCentre)
		}
		for _, m := range moves {
			require.LessOrEqual(t, m.End, p.Layers)
		}
		fits := 0
		for _, room := range p.room() {
			if room >= p.Layers {
				fits++
			}
		}
		require.Equal(t, fits, wholeCentres(after))
	})
}
