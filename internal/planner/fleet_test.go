package planner

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// kind is a kind of accelerator.
type kind struct {
	name   string
	rate   float64 // layer-tokens per second
	memory uint64
}

const gigabyte = 1 << 30

var large = flag.Bool("large", false, "also measure 6,600 targets")

var kinds = []kind{
	{"a", 20_000, 16 * gigabyte}, {"b", 30_000, 24 * gigabyte}, {"c", 40_000, 32 * gigabyte}, {"d", 60_000, 48 * gigabyte},
	{"e", 90_000, 80 * gigabyte}, {"f", 110_000, 96 * gigabyte}, {"g", 160_000, 141 * gigabyte}, {"h", 200_000, 192 * gigabyte},
}

func model() Model {
	return Model{Name: "m", Version: "v1", Layers: 80, LayerBytes: 7 * gigabyte / 4, ActivationBytes: 16 << 10}
}

const (
	fastLink   = 12.5e9 // bytes per second, within a rack
	slowLink   = fastLink / 100
	remoteLink = slowLink / 10
	rackSize   = 16
)

// fleet returns n empty targets of random kinds over data centres, with links within a data centre that differ 100-fold.
func fleet(n, dataCentres int, seed uint64) State {
	random := rand.New(rand.NewPCG(seed, 0))
	s := State{Model: model()}
	for i := range n {
		k := kinds[random.IntN(len(kinds))]
		s.Targets = append(s.Targets, cataloger.Target{
			Name: fmt.Sprintf("t%04d", i), Kind: k.name, DataCentre: cataloger.DataCentre(fmt.Sprintf("dc%02d", i%dataCentres)),
			DecodeRate: k.rate, MemoryBytes: k.memory, State: cataloger.StateLive,
			VM: fmt.Sprint("rack", i/dataCentres/rackSize),
		})
	}
	s.Bandwidth = func(from, to *cataloger.Target) float64 {
		switch {
		case from.DataCentre != to.DataCentre:
			return remoteLink
		case from.VM == to.VM:
			return fastLink
		default:
			return slowLink
		}
	}
	return s
}

// apply carries out changes; a holding that is being pulled becomes ready if ready returns true.
func apply(t require.TestingT, s State, changes []Change, ready func() bool) State {
	s.Targets = slices.Clone(s.Targets)
	for i := range s.Targets {
		target := &s.Targets[i]
		hs := slices.Clone(target.Holdings)
		for j := range hs {
			hs[j].Ready = hs[j].Ready || ready()
		}
		for _, c := range changes {
			if c.Target != target.Name {
				continue
			}
			switch c.Kind {
			case ChangeUnload:
				hs = slices.DeleteFunc(hs, func(h cataloger.Holding) bool {
					return h.Version == c.Holding.Version && h.FirstLayer >= c.Holding.FirstLayer && h.EndLayer <= c.Holding.EndLayer
				})
			case ChangeLoad:
				if at := slices.IndexFunc(hs, func(h cataloger.Holding) bool {
					return h.Version == c.Holding.Version && h.FirstLayer == c.Holding.FirstLayer && h.EndLayer == c.Holding.EndLayer
				}); at >= 0 {
					require.True(t, hs[at].Ready, "adapter loaded before its weights are ready")
					hs[at].Adapters = append(slices.Clone(hs[at].Adapters), c.Holding.Adapters...)
					continue
				}
				c.Holding.Ready = false
				hs = append(hs, c.Holding)
			}
		}
		target.Holdings = hs
		require.LessOrEqual(t, layersHeld(*target), s.Model.capacity(*target), "memory of target %s", target.Name)
	}
	return s
}

func always() bool { return true }

// applyUntilStable plans and applies changes until there are none left.
func applyUntilStable(t require.TestingT, s State) (State, Placement) {
	p := New()
	for range 50 + 10*len(s.Targets) {
		placement := p.Plan(s)
		pending := slices.ContainsFunc(s.Targets, func(t cataloger.Target) bool {
			return slices.ContainsFunc(t.Holdings, func(h cataloger.Holding) bool { return !h.Ready })
		})
		if len(placement.Changes) == 0 && !pending {
			return s, placement
		}
		s = apply(t, s, placement.Changes, always)
	}
	require.Fail(t, "the placement does not become stable")
	return s, Placement{}
}

func planned(s State) []span {
	byName := map[string]span{}
	for _, a := range Plan(s).Assignments {
		byName[a.Target] = span{a.FirstLayer, a.EndLayer}
	}
	spans := make([]span, len(s.Targets))
	for i, t := range s.Targets {
		spans[i] = byName[t.Name]
	}
	return spans
}

// withPlannedHoldings returns the state with the planned ranges held.
func withPlannedHoldings(s State) State { return withHoldings(s, planned(s)) }

func withHoldings(s State, spans []span) State {
	s.Targets = slices.Clone(s.Targets)
	for i, w := range spans {
		if !w.empty() {
			s.Targets[i].Holdings = []cataloger.Holding{{
				Model: s.Model.Name, Version: s.Model.Version, FirstLayer: w.first, EndLayer: w.end, Ready: true,
			}}
		}
	}
	return s
}

// smallState returns targets that hold ranges of a model of 10 layers; each has memory for capacity layers.
func smallState(holds ...heldRange) State {
	s := State{Model: Model{Name: "m", Version: "v1", Layers: 10, LayerBytes: 100}}
	for _, h := range holds {
		s.Targets = append(s.Targets, cataloger.Target{
			Name: h.name, State: cataloger.StateLive, DecodeRate: h.rate, MemoryBytes: h.capacity*1000/7 + 1,
			Holdings: []cataloger.Holding{{Model: "m", Version: "v1", FirstLayer: h.span.first, EndLayer: h.span.end, Ready: true}},
		})
	}
	return s
}

type heldRange struct {
	name     string
	rate     float64
	capacity uint64
	span     span
}
