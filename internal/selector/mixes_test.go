package selector

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/solver"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "4711")
	flag.Parse()
	os.Exit(m.Run())
}

const mixLayers = 40

// warmUp and window are in seconds.
const (
	warmUp = 4
	window = 2
)

// acceleratorRates are the decode rates of eight kinds of accelerators, in layer-tokens per second.
var acceleratorRates = []float64{10_000, 15_000, 20_000, 30_000, 40_000, 60_000, 80_000, 120_000}

// prefillFactor is how much faster a token is prefilled than generated.
const prefillFactor = 20

// mix is a fleet with a workload.
type mix struct {
	name  string
	fleet cataloger.Fleet
	load  workload
	slow  func(now float64, from, to string) float64
	// cached is set if the bound does not apply, because prefixes are cached.
	cached bool
}

func mixTarget(i int, rate float64, first, end int) cataloger.Target {
	return cataloger.Target{
		Name: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Type: cataloger.TypeEngine,
		DataCentre: cataloger.DataCentre(fmt.Sprintf("dc%d", i%3)), State: cataloger.StateLive,
		DecodeRate: rate, PrefillRate: rate * prefillFactor,
		Holdings: []cataloger.Holding{{Model: "m", Version: "v1", FirstLayer: uint32(first), EndLayer: uint32(end), Ready: true}},
	}
}

func evenFleet(n int, rate func(i int) float64) cataloger.Fleet {
	const stages = 5
	f := cataloger.Fleet{}
	for i := range n {
		first := (i / 3 % stages) * mixLayers / stages
		f.Targets = append(f.Targets, mixTarget(i, rate(i), first, first+mixLayers/stages))
	}
	return f
}

func acceleratorRate(i int) float64 { return acceleratorRates[(i*7+i/8)%len(acceleratorRates)] }

// farLinks lists links between all targets whose bandwidths differ 100-fold.
func farLinks(f cataloger.Fleet, rng *rand.Rand) cataloger.Fleet {
	for _, a := range f.Targets {
		for _, b := range f.Targets {
			if a.Name == b.Name || a.Holdings[0].EndLayer < b.Holdings[0].FirstLayer || a.Holdings[0].FirstLayer > b.Holdings[0].FirstLayer {
				continue
			}
			f.Links = append(f.Links, cataloger.Link{
				From: a.Name, To: b.Name,
				Bandwidth:      1.25e7 * math.Pow(100, rng.Float64()),
				LatencySeconds: 0.0002 + 0.002*rng.Float64(),
			})
		}
	}
	return f
}

func overlapFleet(n int, rng *rand.Rand) cataloger.Fleet {
	f := cataloger.Fleet{}
	for i := range n {
		first := rng.IntN(8) * 5
		end := min(first+5+5*rng.IntN(3), mixLayers)
		f.Targets = append(f.Targets, mixTarget(i, acceleratorRate(i), first, end))
	}
	return f
}

func mixes() []mix {
	short := workload{promptTokens: 32, outputTokens: 32}
	long := workload{promptTokens: 2048, outputTokens: 32, groups: 60}
	rng := rand.New(rand.NewPCG(11, 13))
	mixed := func() cataloger.Fleet { return evenFleet(40, acceleratorRate) }
	return []mix{
		{name: "uniform", fleet: evenFleet(40, func(int) float64 { return 40_000 }), load: short},
		{name: "mixed-kinds", fleet: mixed(), load: short},
		{name: "mixed-kinds-links-100x", fleet: farLinks(mixed(), rng), load: short},
		{name: "overlapping-ranges", fleet: overlapFleet(40, rng), load: short},
		{name: "overlapping-links-100x", fleet: farLinks(overlapFleet(40, rng), rng), load: short},
		{name: "prefix-heavy", fleet: mixed(), load: long, cached: true},
		{name: "links-degrade-100x", fleet: farLinks(mixed(), rng), load: short, slow: degrade},
	}
}

// degrade slows the links out of every eighth target 100-fold after the first second.
func degrade(now float64, from, _ string) float64 {
	i := 0
	_, _ = fmt.Sscanf(from, "t%d", &i)
	if now > 1 && i%8 == 3 {
		return 100
	}
	return 1
}

var mixModel = Model{Name: "m", Version: "v1", Layers: mixLayers, ActivationBytes: 16_384}

// nominalLinks returns a function that looks up links as a selector does.
func nominalLinks(f cataloger.Fleet) func(from, to cataloger.Target) cataloger.Link {
	listed := map[linkKey]cataloger.Link{}
	for _, l := range f.Links {
		listed[linkKey{l.From, l.To}] = l
	}
	s := New(nil, nil)
	return func(from, to cataloger.Target) cataloger.Link {
		if l, ok := listed[linkKey{from.Name, to.Name}]; ok {
			return l
		}
		return s.defaultLink(&from, &to)
	}
}

// bound returns the tokens per second that the fleet can generate under the workload, with links at their final speed.
func (m mix) bound() float64 {
	nominal := nominalLinks(m.fleet)
	c := solver.Chains{Layers: mixLayers, Rounds: 60}
	perToken := float64(m.load.promptTokens) / float64(m.load.outputTokens)
	for _, t := range m.fleet.Targets {
		h := t.Holdings[0]
		c.Holders = append(c.Holders, solver.Holder{Rate: t.DecodeRate / (1 + perToken/prefillFactor), FirstLayer: h.FirstLayer, EndLayer: h.EndLayer})
	}
	c.ActivationBytes = float64(mixModel.ActivationBytes) * (1 + perToken)
	c.Bandwidth = func(from, to int) float64 {
		a, b := m.fleet.Targets[from], m.fleet.Targets[to]
		factor := 1.0
		if m.slow != nil {
			factor = m.slow(math.Inf(1), a.Name, b.Name)
		}
		return nominal(a, b).Bandwidth / factor
	}
	return c.Solve().Bound
}

func (m mix) run(makePolicy func(q *queueModel) (policy, func()), load workload, seed uint64) result {
	load.promptTokens, load.outputTokens, load.groups = m.load.promptTokens, m.load.outputTokens, m.load.groups
	q := newQueueModel(m.fleet, mixModel, load, seed)
	q.nominal = nominalLinks(m.fleet)
	q.slow = m.slow
	p, onTick := makePolicy(q)
	return q.run(p, warmUp, window, onTick)
}

// flowPolicy is the selector itself, one per router, with load reports every 250 ms and new weights every second.
func flowPolicy(q *queueModel) (policy, func()) {
	var selectors []*Selector
	for i := range routers {
		s := New(q.clock, rand.New(rand.NewPCG(uint64(i), 3)))
		s.Update(q.fleet, []Model{q.model})
		selectors = append(selectors, s)
	}
	ticks := 0
	onTick := func() {
		q.sendReports(selectors)
		ticks++
		if ticks%4 == 0 {
			for _, s := range selectors {
				s.RecomputeWeights()
			}
		}
	}
	return policy{name: "flow", pick: func(router int, req Request) (cataloger.Route, *Permit) {
		route, permit, err := selectors[router].Pick(req)
		if err != nil {
			panic(err)
		}
		return route, permit
	}}, onTick
}

func policies() []func(q *queueModel) (policy, func()) {
	return []func(q *queueModel) (policy, func()){flowPolicy, randomPolicy, roundRobinPolicy, leastOutstandingPolicy, shortestPathPolicy}
}

// saturatedShare returns the share of the bound that a policy reaches under a closed load large enough to saturate it.
func (m mix) saturatedShare(makePolicy func(q *queueModel) (policy, func()), seed uint64) float64 {
	load := workload{streams: 1200}
	switch {
	case m.cached:
		load.streams = 300
	case m.slow != nil:
		// Streams on degraded links stay there, as this queue model moves no streams.
		load.streams = 2000
	}
	return m.run(makePolicy, load, seed).throughput / m.bound()
}

// requireShare requires 0.9 of the max-flow bound, and no less than every baseline within noise.
func (m mix) requireShare(t testing.TB, flow float64, baselines []float64) {
	const target, level = 0.9, 0.98
	if !m.cached {
		require.GreaterOrEqual(t, flow, target)
	}
	for _, other := range baselines {
		require.GreaterOrEqual(t, flow, level*other)
	}
}

// skipUnderRace skips a long test of one goroutine under the race detector; .ci/test also runs it without.
func skipUnderRace(t *testing.T, m mix) {
	if raceEnabled && m.name != "prefix-heavy" {
		t.Skip("run without the race detector")
	}
}

func TestShareOfBoundOnEveryMix(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			skipUnderRace(t, m)
			t.Parallel()
			var shares []float64
			for _, p := range policies() {
				shares = append(shares, m.saturatedShare(p, 5))
			}
			m.requireShare(t, shares[0], shares[1:])
		})
	}
}

// runOpenLoad returns the result of a policy under an open load of openShare of the bound.
func (m mix) runOpenLoad(makePolicy func(q *queueModel) (policy, func()), seed uint64) result {
	const openShare = 0.7
	return m.run(makePolicy, workload{rate: openShare * m.bound() / float64(m.load.outputTokens)}, seed)
}

func TestLatencyOnEveryMix(t *testing.T) {
	for _, m := range mixes() {
		t.Run(m.name, func(t *testing.T) {
			skipUnderRace(t, m)
			t.Parallel()
			const seed = 9
			flow := m.runOpenLoad(flowPolicy, seed)
			for _, makePolicy := range policies()[1:] {
				other := m.runOpenLoad(makePolicy, seed)
				require.LessOrEqual(t, flow.p95(flow.first), other.p95(other.first))
				require.LessOrEqual(t, flow.p95(flow.gaps), other.p95(other.gaps))
			}
		})
	}
}

// BenchmarkMixes reports the means over several seeds.
func BenchmarkMixes(b *testing.B) {
	seeds := []uint64{9, 10, 11}
	for _, m := range mixes() {
		bound := m.bound()
		for _, makePolicy := range policies() {
			p, _ := makePolicy(newQueueModel(m.fleet, mixModel, m.load, 1))
			b.Run(m.name+"/"+p.name, func(b *testing.B) {
				var share, openShare, first, gap float64
				for b.Loop() {
					share, openShare, first, gap = 0, 0, 0, 0
					for _, seed := range seeds {
						open := m.runOpenLoad(makePolicy, seed)
						share += m.saturatedShare(makePolicy, seed) / float64(len(seeds))
						openShare += open.throughput / bound / float64(len(seeds))
						first += open.p95(open.first) / float64(len(seeds))
						gap += open.p95(open.gaps) / float64(len(seeds))
					}
				}
				b.ReportMetric(share, "of-bound")
				b.ReportMetric(openShare, "of-bound-open")
				b.ReportMetric(first*1000, "ms-first-p95")
				b.ReportMetric(gap*1000, "ms-gap-p95")
			})
		}
	}
}
