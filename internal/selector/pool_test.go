package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/solver"
)

// unpooledBound solves the flow with every target as a separate holder, over all links.
func unpooledBound(s *Selector, f cataloger.Fleet, m Model) float64 {
	nominal := nominalLinks(f)
	c := solver.Chains{Layers: m.Layers, ActivationBytes: float64(m.ActivationBytes)}
	for _, t := range f.Targets {
		for _, h := range t.Holdings {
			c.Holders = append(c.Holders, solver.Holder{Rate: t.DecodeRate, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer})
		}
	}
	c.Bandwidth = func(from, to int) float64 {
		a, b := f.Targets[from], f.Targets[to]
		bandwidth := nominal(a, b).Bandwidth
		if l := s.links[linkKey{a.Name, b.Name}]; l != nil {
			bandwidth /= l.currentSlowdown(s.Clock.Now())
		}
		return bandwidth
	}
	return c.Solve().Bound
}

// requireBound requires the pooled bound to be at most 2% below the unpooled one; it may be higher, up to the total rate.
func requireBound(t require.TestingT, f cataloger.Fleet, prepare func(s *Selector)) {
	s, _ := newTestSelector()
	s.Update(f, []Model{mixModel})
	if prepare != nil {
		prepare(s)
		s.RecomputeWeights()
	}
	unpooled := unpooledBound(s, f, mixModel)
	require.GreaterOrEqual(t, s.Bound(mixModel.Key()), 0.98*unpooled)
	limit := 0.0
	for _, t := range f.Targets {
		limit += t.DecodeRate / mixLayers
	}
	require.LessOrEqual(t, s.Bound(mixModel.Key()), limit*(1+1e-6))
}

func TestPooledBoundOnEveryMix(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) { requireBound(t, m.fleet, nil) })
	}
}

func TestPooledBoundMatchesUnpooledSolve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		n := rapid.IntRange(5, 60).Draw(t, "targets")
		f := evenFleet(n, func(int) float64 { return acceleratorRates[rng.IntN(len(acceleratorRates))] })
		slow := rapid.IntRange(0, 5).Draw(t, "slow links")
		requireBound(t, f, func(s *Selector) {
			for range slow {
				from, to := f.Targets[rng.IntN(n)].Name, f.Targets[rng.IntN(n)].Name
				for range 40 {
					s.linkOf(from, to).observe(s.Clock.Now(), 1, 0.005)
				}
			}
		})
	})
}

func TestPoolMembersAreDrawnInProportionToRate(t *testing.T) {
	g := &graph{}
	for i, rate := range []float64{10, 30, 60} {
		g.holders = append(g.holders, holder{t: &target{name: fmt.Sprint(i)}, end: 4, decode: rate, prefill: 20 * rate})
	}
	g.addPools(linkOverrides{}, 0, nil)
	require.Len(t, g.pools, 1)
	p := g.pools[0]
	require.InDelta(t, 100.0/60, p.effectiveSize(), 1e-9)
	counts := make([]float64, 3)
	for u := range 1000 {
		counts[p.draw(float64(u)/1000)]++
	}
	require.InDeltaSlice(t, []float64{100, 300, 600}, counts, 1)
}

// spreadFleet returns n accelerators over 13 data centres that hold ranges of many lengths.
func spreadFleet(n int) cataloger.Fleet {
	rng := rand.New(rand.NewPCG(21, 22))
	f := overlapFleet(n, rng)
	for i := range f.Targets {
		f.Targets[i].DataCentre = cataloger.DataCentre(fmt.Sprintf("dc%d", i%13))
	}
	return f
}

func BenchmarkUpdateSpread(b *testing.B) {
	for _, n := range []int{1320, 6600} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			var s *Selector
			fleet := spreadFleet(n)
			for b.Loop() {
				s, _ = newTestSelector()
				s.Update(fleet, []Model{mixModel})
			}
			b.ReportMetric(float64(len(s.graphs[mixModel.Key()].pools)), "pools")
			b.ReportMetric(s.Bound(mixModel.Key()), "tokens/s-bound")
		})
	}
}

func BenchmarkUpdateAfterLoss(b *testing.B) {
	for _, n := range []int{1320, 6600} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			s, _ := newTestSelector()
			full := spreadFleet(n)
			reduced := cataloger.Fleet{Targets: full.Targets[n/100:]}
			s.Update(full, []Model{mixModel})
			for i := 0; b.Loop(); i++ {
				s.Update([]cataloger.Fleet{reduced, full}[i%2], []Model{mixModel})
			}
		})
	}
}

func TestBoundAfterLossesMatchesFreshSolve(t *testing.T) {
	s, _ := newTestSelector()
	f := spreadFleet(400)
	for len(f.Targets) > 300 {
		s.Update(f, []Model{mixModel})
		fresh, _ := newTestSelector()
		fresh.Update(f, []Model{mixModel})
		require.GreaterOrEqual(t, s.Bound(mixModel.Key()), 0.98*fresh.Bound(mixModel.Key()))
		f.Targets = f.Targets[7:]
	}
}

func TestUnchangedModelKeepsItsFlow(t *testing.T) {
	s, clock := newTestSelector()
	f := evenFleet(40, acceleratorRate)
	models := []Model{mixModel, {Name: "m", Version: "v1", Layers: mixLayers, ActivationBytes: mixModel.ActivationBytes, Adapter: "a"}}
	s.Update(f, models)
	for range 2 * convergedAge {
		s.RecomputeWeights()
	}
	before := s.graphs[mixModel.Key()]
	s.RecomputeWeights()
	require.Equal(t, before.edges, s.graphs[mixModel.Key()].edges)
	require.Equal(t, before.bound, s.Bound(mixModel.Key()))

	f.Targets[0] = f.Targets[0].WithState(cataloger.StateDead)
	s.Update(f, models)
	require.Zero(t, s.graphs[mixModel.Key()].solutionAge)

	l := s.linkOf(f.Targets[1].Name, f.Targets[4].Name)
	for range 40 {
		l.observe(clock.Now(), 100, 1)
	}
	s.RecomputeWeights()
	require.Zero(t, s.graphs[mixModel.Key()].solutionAge, "a slow link causes a new solution")
}

func BenchmarkReweigh(b *testing.B) {
	for _, n := range []int{1320, 6600} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			s, _ := newTestSelector()
			s.Update(spreadFleet(n), []Model{mixModel})
			for b.Loop() {
				s.RecomputeWeights()
			}
		})
	}
}
