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

// fleetEngine is a model of 40 layers on several kinds of accelerators; "fast" is five times as fast as "slow".
func fleetEngine() *matcher.Engine {
	return &matcher.Engine{
		Layers: 40, LayerBytes: 1e9, TokenBytes: 4e5, StepTime: time.Millisecond, UsualPrompt: 700, UsualAnswer: 140,
		Kinds: map[string]matcher.Accelerator{
			"slow": {MemoryBytes: 20e9, Pace: 15}, "fast": {MemoryBytes: 20e9, Pace: 3}, "best": {MemoryBytes: 20e9, Pace: 14},
			"small": {MemoryBytes: 13.3e9, Pace: 15},
		},
	}
}

// newFleet returns a chooser for each daemon, over pipelines of four stages in two data centres.
func newFleet(daemons, pipelines int, kind func(pipeline int) string) []*Chooser {
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

// sendRequests has the daemons choose paths in turn, with the last few hundred requests in progress, and returns the number of
// requests that each target received as the first stage.
func sendRequests(t *testing.T, fleet []*Chooser, requests int) map[string]int {
	e := fleetEngine()
	out := map[string]int{}
	inProgress := make([]func(), 300)
	for i := range requests {
		c := fleet[i%len(fleet)]
		path, ok := c.Path(Demand{Service: "llm", Engine: e, Tokens: 840, PrefillTokens: 700}, nil)
		require.True(t, ok)
		out[path[0].Target]++
		if release := inProgress[i%len(inProgress)]; release != nil {
			release()
		}
		inProgress[i%len(inProgress)] = c.Targets.Reserve(path, 840)
	}
	return out
}

// Daemons without each other's loads spread requests evenly over equal first stages, at any size of the fleet. Fixed costs would
// send all requests of a data centre over one pipeline.
func TestDaemonsSpreadRequestsWithoutFleetLoads(t *testing.T) {
	const pipelines, requests = 12, 6000
	for _, daemons := range []int{4, 31, 118, 400} {
		received := sendRequests(t, newFleet(daemons, pipelines, func(int) string { return "slow" }), requests)
		busiest := 0
		for _, n := range received {
			busiest = max(busiest, n)
		}
		require.Len(t, received, pipelines, "%d daemons use all first stages", daemons)
		require.LessOrEqual(t, float64(busiest), 1.5*requests/pipelines, "%d daemons", daemons)
	}
	deterministic := newFleet(400, pipelines, func(p int) string { return map[bool]string{true: "best", false: "slow"}[p < 2] })
	for _, c := range deterministic {
		c.Draw = func() float64 { return 1 }
	}
	received := sendRequests(t, deterministic, requests)
	require.Greater(t, received["p00-0"]+received["p01-0"], requests/2, "without random costs two slightly faster pipelines get most requests")
}

// Without the loads of the other daemons, the spread follows the memory of the pipelines, and avoids targets that are slower than
// their kind.
func TestSpreadFollowsMemoryAndPace(t *testing.T) {
	share := func(fleet []*Chooser) (first, rest float64) {
		for name, n := range sendRequests(t, fleet, 6000) {
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
	fast, slow := share(newFleet(400, 12, kinds("fast")))
	require.Greater(t, fast, slow, "a fast pipeline gets slightly more")
	require.Less(t, fast, 5*slow, "less than in proportion to its speed, as it has no more memory than the others")
	small, large := share(newFleet(400, 12, kinds("small")))
	require.Less(t, small, 0.6*large, "small pipelines have a third of the memory")
	require.Greater(t, small, 0.1*large)
	fleet := newFleet(400, 12, kinds("slow"))
	for _, c := range fleet {
		for i := range 4 {
			for p := range 2 {
				c.Targets.SetPace(fmt.Sprintf("p%02d-%d", p, i), 6, c.Now())
			}
		}
	}
	slowed, healthy := share(fleet)
	require.Less(t, slowed, 0.35*healthy, "six times as slow as usual")
}

// Without the loads of the other daemons, a daemon assumes that they equal its own, shrunk towards the mean.
func TestLoadEstimateWithoutFleetLoads(t *testing.T) {
	c := newFleet(100, 2, func(int) string { return "slow" })[0]
	e := fleetEngine()
	d := Demand{Service: "llm", Engine: e, Tokens: 800}
	load := func(name string) float64 {
		v, ok := c.Targets.Get(name)
		require.True(t, ok)
		return c.loadEstimate(c.Targets.Service("llm"), d)(&v, 1e6, 10)
	}
	require.Zero(t, load("p00-0"))
	c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	busy, idle := load("p00-0"), load("p01-0")
	require.Greater(t, busy, idle)
	require.Positive(t, idle, "others may send where this daemon did not")
	require.Less(t, busy, 2*idle, "one own request does not imply a hundred")
	for range 19 {
		c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	}
	require.Greater(t, load("p00-0"), 5*load("p01-0"), "many own requests do")
	c = newFleet(100, 2, func(int) string { return "slow" })[0]
	c.Targets.Reserve([]cataloger.Stage{{Target: "p00-0", EndLayer: 10}}, 800)
	c.HasFleetLoads = func() bool { return true }
	require.InDelta(t, 8000, load("p00-0"), 1e-9)
	c.HasFleetLoads = func() bool { return false }
	e.TokenBytes = 0
	v, _ := c.Targets.Get("p00-0")
	require.InDelta(t, 100*8000, c.loadEstimate(c.Targets.Service("llm"), d)(&v, math.Inf(1), 10), 1, "unbounded memory")
}

func BenchmarkPath(b *testing.B) {
	for _, n := range []int{10, 25, 100, 825} {
		b.Run(fmt.Sprint(4*n), func(b *testing.B) {
			c := newFleet(1, n, func(p int) string { return map[bool]string{true: "fast", false: "slow"}[p%5 == 0] })[0]
			c.Daemons = func() int { return 118 }
			d := Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}
			for b.Loop() {
				_, _ = c.Path(d, nil)
			}
		})
	}
}

// Where ranges overlap, random costs can make the cheapest walk leave a target and return to it, which targets refuse. Another path
// must be found then, as long as all layers are held.
func TestPathIsFoundWithRandomizedCosts(t *testing.T) {
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
		_, ok := c.Path(Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}, nil)
		require.True(t, ok, "request %d: %s", i, c.NoPathReason(Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}))
	}
}

// Few targets hold some layers that all requests pass, so that they look full by the estimate of all daemons' loads. Only the targets
// themselves may refuse requests for this.
func TestEstimatedLoadsRefuseNothing(t *testing.T) {
	c := newFleet(27, 2, func(int) string { return "slow" })[0]
	d := Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}
	full := 0
	for range 30 {
		path, ok := c.Path(d, nil)
		require.True(t, ok)
		c.Targets.Reserve(path, 840)
		if c.loadEstimate(c.Targets.Service("llm"), d)(viewOf(t, c, path[0].Target), 1e6, 10) > 1e6 {
			full++
		}
	}
	require.Positive(t, full, "by the estimate")
	for range 300 {
		if path, ok := c.Path(d, nil); ok {
			c.Targets.Reserve(path, 840)
		}
	}
	_, ok := c.Path(d, nil)
	require.False(t, ok, "the tracked load of this daemon is no estimate")
}

func viewOf(t *testing.T, c *Chooser, name string) *assessor.View {
	v, ok := c.Targets.Get(name)
	require.True(t, ok)
	return &v
}

// A large fleet has one holder of some layers, which a sample of its targets mostly lacks.
func TestLargeFleetFindsTheOnlyHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	a := assessor.New(func() time.Time { return now })
	for i := range 3 * maxCandidates {
		first := uint32(i%3) * 10
		if i == maxCandidates {
			first = 30
		}
		a.Put(cataloger.Target{
			Name: fmt.Sprintf("t%04d", i), Service: "llm", Address: fmt.Sprint(i), State: cataloger.StateLive, Kind: "slow", Incarnation: 1,
			Holdings: []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: first + 10, Ready: true}},
		})
	}
	c := New(a, func() time.Time { return now })
	c.Daemons, c.HasFleetLoads = func() int { return 118 }, func() bool { return false }
	first := map[string]bool{}
	for range 20 {
		path, ok := c.Path(Demand{Service: "llm", Engine: fleetEngine(), Tokens: 840, PrefillTokens: 700}, nil)
		require.True(t, ok)
		require.Equal(t, fmt.Sprintf("t%04d", maxCandidates), path[3].Target)
		first[path[0].Target] = true
	}
	require.Greater(t, len(first), 5, "requests are spread over the targets")
}
