package chooser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// raceEngine is a model of 40 layers on two kinds of accelerators, one five times as fast as the other.
func raceEngine() *matcher.Engine {
	return &matcher.Engine{
		Layers: 40, LayerBytes: 1e9, TokenBytes: 4e5, StepTime: time.Millisecond, UsualPrompt: 700, UsualAnswer: 140,
		Kinds: map[string]matcher.Accelerator{
			"slow": {MemoryBytes: 20e9, Pace: 15}, "fast": {MemoryBytes: 20e9, Pace: 3}, "best": {MemoryBytes: 20e9, Pace: 14},
			"small": {MemoryBytes: 13.3e9, Pace: 15},
		},
	}
}

// raceFleet returns the choosers of so many daemons over pipelines of four stages in two data centres.
func raceFleet(daemons, pipelines int, kind func(pipeline int) string) []*Chooser {
	var out []*Chooser
	now := time.Unix(1000, 0)
	for d := range daemons {
		a := assessor.New(func() time.Time { return now })
		for i := range 4 * pipelines {
			first := uint32(i%4) * 10
			a.Put(cataloger.Target{
				Name: fmt.Sprintf("p%02d-%d", i/4, i%4), Service: "llm", Address: fmt.Sprint(i), State: cataloger.StateLive, Kind: kind(i / 4),
				DataCentre: cataloger.DataCentre(fmt.Sprint(i / 4 % 2)), Incarnation: 1,
				Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: first + 10, Ready: true}},
			})
		}
		c := New(a, func() time.Time { return now })
		c.DataCentre = cataloger.DataCentre(fmt.Sprint(d % 2))
		c.Daemons = func() int { return daemons }
		c.HasFleetLoads = func() bool { return daemons <= 9 }
		c.Draw = rand.New(rand.NewPCG(uint64(d), 9)).ExpFloat64
		out = append(out, c)
	}
	return out
}

// send has each daemon in turn choose paths for requests, of which the last few hundred are in progress, and returns how many each target received first.
func send(t *testing.T, fleet []*Chooser, requests int) map[string]int {
	e := raceEngine()
	out := map[string]int{}
	held := make([]func(), 300)
	for i := range requests {
		c := fleet[i%len(fleet)]
		path, ok := c.Path(Demand{Service: "llm", Engine: e, Tokens: 840, PrefillTokens: 700}, nil)
		require.True(t, ok)
		out[path[0].Target]++
		if release := held[i%len(held)]; release != nil {
			release()
		}
		held[i%len(held)] = c.Targets.Reserve(path, 840)
	}
	return out
}

// TestDaemonsWithoutFiguresSpread: many daemons that know nothing of each other send to equal first stages alike, at any size of
// the fleet; the plain costs would send all requests of a data centre over one pipeline.
func TestDaemonsWithoutFiguresSpread(t *testing.T) {
	const pipelines, requests = 12, 6000
	for _, daemons := range []int{4, 31, 118, 400} {
		got := send(t, raceFleet(daemons, pipelines, func(int) string { return "slow" }), requests)
		busiest := 0
		for _, n := range got {
			busiest = max(busiest, n)
		}
		require.Len(t, got, pipelines, "%d daemons use all first stages", daemons)
		require.LessOrEqual(t, float64(busiest), 1.5*requests/pipelines, "%d daemons", daemons)
	}
	still := raceFleet(400, pipelines, func(p int) string { return map[bool]string{true: "best", false: "slow"}[p < 2] })
	for _, c := range still {
		c.Draw = func() float64 { return 1 }
	}
	got := send(t, still, requests)
	require.Greater(t, got["p00-0"]+got["p01-0"], requests/2, "without the draw two that are a little better get most")
}

// TestChainsGetWhatTheyHaveMemoryFor: the spread of a fleet without figures follows the memory of the chains, and leaves alone
// what is slower than its kind.
func TestChainsGetWhatTheyHaveMemoryFor(t *testing.T) {
	share := func(fleet []*Chooser) (first, rest float64) {
		for name, n := range send(t, fleet, 6000) {
			if strings.HasPrefix(name, "p00") || strings.HasPrefix(name, "p01") {
				first += float64(n) / 2
			} else {
				rest += float64(n) / 10
			}
		}
		return first, rest
	}
	kinds := func(name string) func(int) string {
		return func(p int) string { return map[bool]string{true: name, false: "slow"}[p < 2] }
	}
	fast, slow := share(raceFleet(400, 12, kinds("fast")))
	require.Greater(t, fast, slow, "a fast one is a little better")
	require.Less(t, fast, 5*slow, "less than in proportion to its speed, as it has no more memory than the others")
	small, large := share(raceFleet(400, 12, kinds("small")))
	require.Less(t, small, 0.6*large, "a third of the memory")
	require.Greater(t, small, 0.1*large)
	fleet := raceFleet(400, 12, kinds("slow"))
	for _, c := range fleet {
		for i := range 4 {
			for p := range 2 {
				c.Targets.SetPace(fmt.Sprintf("p%02d-%d", p, i), 6, c.Now())
			}
		}
	}
	strained, well := share(fleet)
	require.Less(t, strained, 0.35*well, "six times as slow as usual")
}

// TestLoadOfAFleetIsGuessed: a daemon that does not know the others' loads takes them to be like its own, drawn towards the mean.
func TestLoadOfAFleetIsGuessed(t *testing.T) {
	c := raceFleet(100, 2, func(int) string { return "slow" })[0]
	e := raceEngine()
	d := Demand{Service: "llm", Engine: e, Tokens: 800}
	load := func(name string) float64 {
		v, ok := c.Targets.Get(name)
		require.True(t, ok)
		return c.load(c.Targets.Service("llm"), d)(&v, 1e6, 10)
	}
	require.Zero(t, load("p00-0"))
	c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	busy, idle := load("p00-0"), load("p01-0")
	require.Greater(t, busy, idle)
	require.Positive(t, idle, "others may send where this daemon did not")
	require.Less(t, busy, 2*idle, "one request of its own is no proof of a hundred")
	for range 19 {
		c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	}
	require.Greater(t, load("p00-0"), 5*load("p01-0"), "many are")
	c = raceFleet(100, 2, func(int) string { return "slow" })[0]
	c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	c.HasFleetLoads = func() bool { return true }
	require.InDelta(t, 8000, load("p00-0"), 1e-9)
	c.HasFleetLoads = func() bool { return false }
	e.TokenBytes = 0
	v, _ := c.Targets.Get("p00-0")
	require.InDelta(t, 100*8000, c.load(c.Targets.Service("llm"), d)(&v, math.Inf(1), 10), 1, "memory without bounds")
}

func BenchmarkPath(b *testing.B) {
	for _, n := range []int{10, 25, 100, 825} {
		b.Run(fmt.Sprint(4*n), func(b *testing.B) {
			c := raceFleet(1, n, func(p int) string { return map[bool]string{true: "fast", false: "slow"}[p%5 == 0] })[0]
			c.Daemons = func() int { return 118 }
			d := Demand{Service: "llm", Engine: raceEngine(), Tokens: 840, PrefillTokens: 700}
			for b.Loop() {
				_, _ = c.Path(d, nil)
			}
		})
	}
}

// TestRaceAlwaysFindsAPath: where ranges overlap, costs that vary make the cheapest walk leave a target and come back to it, which
// targets refuse; another path is found then, wherever all layers are held.
func TestRaceAlwaysFindsAPath(t *testing.T) {
	now := time.Unix(1000, 0)
	a := assessor.New(func() time.Time { return now })
	rng := rand.New(rand.NewPCG(3, 3))
	for i := range 60 {
		width := uint32(4 + rng.IntN(14))
		first := min(uint32(rng.IntN(40)), 40-width)
		if i < 4 {
			first, width = uint32(i)*10, 10
		}
		a.Put(cataloger.Target{
			Name: fmt.Sprintf("t%02d", i), Service: "llm", Address: fmt.Sprint(i), State: cataloger.StateLive, Kind: "slow",
			DataCentre: cataloger.DataCentre(fmt.Sprint(i % 3)), Incarnation: 1,
			Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: first + width, Ready: true}},
		})
	}
	c := New(a, func() time.Time { return now })
	c.Daemons, c.HasFleetLoads = func() int { return 118 }, func() bool { return false }
	c.Draw = rng.ExpFloat64
	for i := range 3000 {
		_, ok := c.Path(Demand{Service: "llm", Engine: raceEngine(), Tokens: 840, PrefillTokens: 700}, nil)
		require.True(t, ok, "request %d: %s", i, c.NoPathReason(Demand{Service: "llm", Engine: raceEngine(), Tokens: 840, PrefillTokens: 700}))
	}
}

// TestGuessedLoadsRefuseNothing: a layer that all requests pass and few targets hold looks full by a guess, as all daemons' requests
// are there; whether it is, its targets say.
func TestGuessedLoadsRefuseNothing(t *testing.T) {
	c := raceFleet(27, 2, func(int) string { return "slow" })[0]
	d := Demand{Service: "llm", Engine: raceEngine(), Tokens: 840, PrefillTokens: 700}
	full := 0
	for range 30 {
		path, ok := c.Path(d, nil)
		require.True(t, ok)
		c.Targets.Reserve(path, 840)
		if c.load(c.Targets.Service("llm"), d)(viewOf(t, c, path[0].Target), 1e6, 10) > 1e6 {
			full++
		}
	}
	require.Positive(t, full, "by the guess")
	for range 300 {
		if path, ok := c.Path(d, nil); ok {
			c.Targets.Reserve(path, 840)
		}
	}
	_, ok := c.Path(d, nil)
	require.False(t, ok, "what this daemon knows is no guess")
}

func viewOf(t *testing.T, c *Chooser, name string) *assessor.View {
	v, ok := c.Targets.Get(name)
	require.True(t, ok)
	return &v
}
