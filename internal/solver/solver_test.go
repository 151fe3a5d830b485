package solver

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	os.Exit(m.Run())
}

func TestUnusableCapacitiesDoNotSetTheScale(t *testing.T) {
	for _, c := range []struct {
		name                string
		first, second, want float64
	}{
		{"huge before small", 1e300, 10, 10},
		{"largest before small", math.MaxFloat64, 10, 10},
		{"infinite before small", math.Inf(1), 10, 10},
		{"small before huge", 1e-3, 1e300, 1e-3},
		{"all huge", 1e300, 1e300, 1e300},
		{"all infinite", math.Inf(1), math.Inf(1), math.Inf(1)},
		{"none", 0, math.Inf(1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := NewNetwork(3)
			first := n.AddEdge(0, 1, c.first)
			second := n.AddEdge(1, 2, c.second)
			require.Equal(t, c.want, n.MaxFlow(0, 2))
			if !math.IsInf(c.want, 1) {
				require.Equal(t, c.want, n.Flow(first))
				require.Equal(t, c.want, n.Flow(second))
			}
		})
	}
}

func TestHugeLinkDoesNotChangeTheBound(t *testing.T) {
	for _, bandwidth := range []float64{1e12, 1e300, math.Inf(1)} {
		c := Chains{
			Layers: 8, Holders: []Holder{{400, 0, 4}, {200, 4, 8}}, ActivationBytes: 1,
			Bandwidth: func(_, _ int) float64 { return bandwidth },
		}
		require.InDelta(t, 50, c.Solve().Bound, 1e-6)
	}
}

type testEdge struct{ from, to, capacity int }

// unitPathMaxFlow is the oracle: it augments the flow by one unit along one path at a time.
func unitPathMaxFlow(nodes int, edges []testEdge) int {
	residual := make([][]int, nodes)
	for i := range residual {
		residual[i] = make([]int, nodes)
	}
	for _, e := range edges {
		residual[e.from][e.to] += e.capacity
	}
	flow := 0
	for {
		seen := make([]bool, nodes)
		var visit func(v int) bool
		visit = func(v int) bool {
			if v == nodes-1 {
				return true
			}
			seen[v] = true
			for w := range residual[v] {
				if residual[v][w] > 0 && !seen[w] && visit(w) {
					residual[v][w]--
					residual[w][v]++
					return true
				}
			}
			return false
		}
		if !visit(0) {
			return flow
		}
		flow++
	}
}

func TestMaxFlowMatchesOracleAndConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 8).Draw(t, "nodes")
		edges := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testEdge {
			return testEdge{
				rapid.IntRange(0, nodes-1).Draw(t, "from"),
				rapid.IntRange(0, nodes-1).Draw(t, "to"),
				rapid.IntRange(0, 9).Draw(t, "capacity"),
			}
		}), 0, 20).Draw(t, "edges")
		n := NewNetwork(nodes)
		for _, e := range edges {
			n.AddEdge(e.from, e.to, float64(e.capacity))
		}
		require.InDelta(t, float64(unitPathMaxFlow(nodes, edges)), n.MaxFlow(0, nodes-1), 1e-6)
		balance := make([]float64, nodes)
		for i, e := range edges {
			f := n.Flow(2 * i)
			require.LessOrEqual(t, f, float64(e.capacity)+1e-6)
			balance[e.from] -= f
			balance[e.to] += f
		}
		for v := 1; v < nodes-1; v++ {
			require.InDelta(t, 0, balance[v], 1e-6)
		}
	})
}

func TestChainBounds(t *testing.T) {
	slow := func(from, to int) float64 { return 1000 }
	cases := []struct {
		name   string
		chains Chains
		want   float64
	}{
		{"one holder", Chains{Layers: 4, Holders: []Holder{{400, 0, 4}}}, 100},
		{"weakest stage", Chains{Layers: 8, Holders: []Holder{{400, 0, 4}, {200, 4, 8}}}, 50},
		{"parallel stages", Chains{Layers: 8, Holders: []Holder{{400, 0, 4}, {200, 4, 8}, {100, 4, 8}}}, 75},
		{"gap", Chains{Layers: 8, Holders: []Holder{{400, 0, 3}, {200, 4, 8}}}, 0},
		{"no holders", Chains{Layers: 8}, 0},
		{"overlap shares the work", Chains{Layers: 8, Holders: []Holder{{400, 0, 6}, {400, 2, 8}}}, 100},
		{"slow link", Chains{Layers: 8, Holders: []Holder{{4000, 0, 4}, {2000, 4, 8}}, ActivationBytes: 100, Bandwidth: slow}, 10},
		{"whole model beside chain", Chains{Layers: 4, Holders: []Holder{{400, 0, 4}, {200, 0, 2}, {200, 2, 4}}}, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.InDelta(t, c.want, c.chains.Solve().Bound, c.want*0.01+1e-9)
		})
	}
}

func randomChains(rng *rand.Rand, holders, layers int) Chains {
	c := Chains{Layers: uint32(layers), FanOut: 32, ActivationBytes: 16384}
	kinds := []float64{1, 1.5, 2, 3, 4, 6, 8, 12}
	span := layers / 8
	for range holders {
		first := rng.IntN(8) * span
		c.Holders = append(c.Holders, Holder{
			Rate: 10000 * kinds[rng.IntN(len(kinds))], FirstLayer: uint32(first), EndLayer: uint32(min(first+span+rng.IntN(2)*span, layers)),
		})
	}
	c.Bandwidth = func(from, to int) float64 {
		if from%13 == to%13 {
			return 1.25e9
		}
		return 1.25e7
	}
	return c
}

func TestFlowIsFeasible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := randomChains(rng, rapid.IntRange(1, 60).Draw(t, "holders"), 32)
		f := c.Solve()
		total := 0.0
		balance := map[[2]int]float64{}
		for _, h := range f.Hops {
			require.LessOrEqual(t, h.Flow, h.Capacity*(1+1e-6)+1e-6)
			if h.From == Source {
				total += h.Flow
			}
			balance[[2]int{h.From, int(h.Layer)}] -= h.Flow
		}
		require.InDelta(t, f.Bound, total, f.Bound*1e-6+1e-6)
		sum := 0.0
		for i, h := range c.Holders {
			require.LessOrEqual(t, f.Used[i], h.Rate*(1+1e-6))
			sum += h.Rate
		}
		require.LessOrEqual(t, f.Bound, sum/float64(c.Layers)*(1+1e-6))
	})
}

func BenchmarkSolve(b *testing.B) {
	for _, holders := range []int{40, 320, 1320, 6600} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			c := randomChains(rand.New(rand.NewPCG(1, 2)), holders, 64)
			bound := 0.0
			for b.Loop() {
				bound = c.Solve().Bound
			}
			require.False(b, math.IsNaN(bound))
			b.ReportMetric(bound, "tokens/s-bound")
		})
	}
}
