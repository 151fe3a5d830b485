package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Of any two requests, the one of the higher rank is admitted wherever the other is. Within a rank, streams that have begun go before
// returning clients, and these before new ones.
func TestMaxFillFollowsPrecedence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rank, draw := rapid.IntRange(0, 6).Draw(rt, "rank"), rapid.Float64Range(0, 0.999).Draw(rt, "draw")
		initial := Precedence{
			Rank: rank, Draw: draw, Contended: rapid.Bool().Draw(rt, "contended"), Ahead: rapid.Float64Range(0, 1).Draw(rt, "ahead"),
		}
		returning, begun, below := initial, initial, initial
		returning.Returning = true
		begun.Begun = true
		below.Rank += rapid.IntRange(0, 3).Draw(rt, "below")
		below.Ahead = rapid.Float64Range(below.Ahead, 1).Draw(rt, "ahead of below")
		surging := initial
		surging.Beyond = true
		require.Less(rt, surging.maxFill(), initial.maxFill())
		require.Less(rt, initial.maxFill(), returning.maxFill())
		require.LessOrEqual(rt, returning.maxFill(), begun.maxFill())
		require.LessOrEqual(rt, below.maxFill(), initial.maxFill())
		kept := initial.reserves()
		require.Greater(rt, below.maxFill(), maxFillShare-kept.begun-kept.ahead-kept.rank*maxRanks-2*kept.returning)
	})
}

// TestOverloadStarvesNoRankAndNoSize simulates an overload of one target: ten requests arrive for each that fits.
func TestOverloadStarvesNoRankAndNoSize(t *testing.T) {
	const capacity, layers, usual = 200_000.0, 2, 1000
	random := rand.New(rand.NewPCG(1, 2))
	engine := testEngine()
	engine.UsualPrompt, engine.UsualAnswer = usual, 0
	type class struct{ asked, served float64 }
	ranks, sizes := map[int]*class{0: {}, 1: {}, 2: {}}, map[bool]*class{true: {}, false: {}}
	returning := class{}
	used := 0.0
	var running []float64
	for range 50_000 {
		// About one running request, chosen at random, ends for every ten that arrive.
		if len(running) > 0 && random.IntN(10) == 0 {
			i := random.IntN(len(running))
			used -= running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		large := random.IntN(10) == 0
		d := Demand{Engine: engine, Tokens: usual * (0.5 + random.Float64()), Precedence: Precedence{Rank: random.IntN(3), Draw: random.Float64()}}
		if large {
			d.Tokens = usual * 2
		}
		d.Precedence.Returning = random.IntN(4) == 0
		ok := d.fits(used, capacity, layers)
		if ok {
			used += d.Tokens * layers
			running = append(running, d.Tokens*layers)
		}
		served := 0.0
		if ok {
			served = 1
		}
		for _, c := range []*class{ranks[d.Precedence.Rank], sizes[large]} {
			c.asked++
			c.served += served
		}
		if d.Precedence.Returning {
			returning.asked++
			returning.served += served
		}
	}
	share := func(c class) float64 { return c.served / c.asked }
	all := (ranks[0].served + ranks[1].served + ranks[2].served) / 50_000
	require.Greater(t, share(*ranks[0]), share(*ranks[1]))
	require.Greater(t, share(*ranks[0]), share(*ranks[2]))
	require.Greater(t, share(returning), all, "returning clients go before new ones")
	for rank, c := range ranks {
		require.Greater(t, share(*c), all/4, "rank %d is starved", rank)
	}
	require.Greater(t, share(*sizes[true]), share(*sizes[false])/2, "large requests are starved")
}

func TestSmallTargetsAcceptRequestsThatFit(t *testing.T) {
	engine := testEngine()
	engine.UsualPrompt = 1000
	d := Demand{Engine: engine, Tokens: 800}
	require.True(t, d.fits(0, 2*900, 2), "an empty target admits a request that fills it")
	require.False(t, d.fits(0, 2*700, 2))
}

// The last part of the memory is reserved for the first rank.
func TestLastMemoryIsReservedForTheFirstRank(t *testing.T) {
	now := time.Unix(100, 0)
	c := newTestChooser(&now, head, tail)
	d := testDemand()
	d.Precedence.Rank = 1
	n := 0
	for ; n < 1_000_000; n++ {
		path, ok := c.Path(d, nil)
		if !ok {
			break
		}
		c.Targets.Reserve(path, d.Tokens)
	}
	require.Less(t, n, 1_000_000)
	d.Precedence.Rank = 0
	_, ok := c.Path(d, nil)
	require.True(t, ok)
}
