package selector

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/solver"
)

const (
	// spareWeight is the share of its capacity that a hop without flow weighs.
	spareWeight = 0.05
	// blendNew is the part of new weights in those used after an update.
	blendNew = 0.5
)

// graph holds the hops of one model with their weights; only weights change after it is built.
type graph struct {
	model   Model
	bound   float64
	holders []holder
	// byTarget lists the holders of each target.
	byTarget map[string][]int32
	// states[0] is the start; each other state is a holder at the end of one of its segments.
	states []state
	edges  []edge
}

type holder struct {
	t     *target
	first uint32
	end   uint32
	// decode and prefill are in layer-tokens a second.
	decode  float64
	prefill float64
}

// state is a place from which a token goes on.
type state struct {
	holder int32
	layer  uint32
	first  int32
	end    int32
}

// edge is a hop to a holder, which then runs up to the state `to`.
type edge struct {
	holder int32
	to     int32
	layers uint32
	// link is nil where the holder runs on or the chain starts.
	link *link
	// nominal is the transfer time of one activation on the unharmed link, in seconds.
	nominal float64
	latency float64
	weight  float64
	// sum is the weights of the state's edges up to this one.
	sum float64
}

// build solves the chains of a model over the usable targets.
func (s *Selector) build(m Model, fleet cataloger.Fleet) *graph {
	g := &graph{model: m, byTarget: make(map[string][]int32)}
	s.mu.Lock()
	now := s.Clock.Now()
	for i := range fleet.Targets {
		g.addHolders(s.targets[fleet.Targets[i].Name])
	}
	ratios := make(map[linkKey]float64)
	for k, l := range s.links {
		if r := l.current(now); r > 1 || l.listed {
			ratios[k] = r
		}
	}
	nominals := make(map[linkKey]cataloger.Link)
	for k, l := range s.links {
		if l.listed {
			nominals[k] = l.nominal
		}
	}
	prompt := s.promptShare(m.Key())
	s.mu.Unlock()
	chains := solver.Chains{Layers: m.Layers, ActivationBytes: float64(m.ActivationBytes) * (1 + prompt), FanOut: s.FanOut}
	for _, h := range g.holders {
		rate := h.decode / (1 + prompt*h.decode/h.prefill)
		chains.Holders = append(chains.Holders, solver.Holder{Rate: rate, FirstLayer: h.first, EndLayer: h.end})
	}
	nominal := func(from, to int) cataloger.Link {
		a, b := g.holders[from].t, g.holders[to].t
		l := &link{}
		if n, ok := nominals[linkKey{a.name, b.name}]; ok {
			l = &link{nominal: n, listed: true}
		}
		return s.nominal(l, a.info, b.info)
	}
	chains.Bandwidth = func(from, to int) float64 {
		bandwidth := nominal(from, to).Bandwidth
		if bandwidth <= 0 {
			return math.Inf(1)
		}
		if r, ok := ratios[linkKey{g.holders[from].t.name, g.holders[to].t.name}]; ok {
			bandwidth /= r
		}
		return bandwidth
	}
	flow := chains.Solve()
	g.bound = flow.Bound
	s.mu.Lock()
	defer s.mu.Unlock()
	g.take(flow, func(e *edge, from, to int) {
		n := nominal(from, to)
		e.link = s.linkOf(g.holders[from].t.name, g.holders[to].t.name)
		e.latency = n.LatencySeconds
		if n.Bandwidth > 0 {
			e.nominal = float64(m.ActivationBytes) / n.Bandwidth
		}
	})
	return g
}

func (g *graph) addHolders(t *target) {
	if t == nil || !t.usable() {
		return
	}
	share := 1.0
	if t.info.State == cataloger.StateSuspect {
		share = suspectShare
	}
	for _, h := range t.info.Holdings {
		if !h.Ready || h.Model != g.model.Name || h.Version != g.model.Version || h.EndLayer <= h.FirstLayer {
			continue
		}
		if g.model.Adapter != "" && !slices.Contains(h.Adapters, g.model.Adapter) {
			continue
		}
		g.byTarget[t.name] = append(g.byTarget[t.name], int32(len(g.holders)))
		g.holders = append(g.holders, holder{
			t: t, first: h.FirstLayer, end: min(h.EndLayer, g.model.Layers),
			decode:  share * rateOr(t.info.DecodeRate, t.info.PrefillRate),
			prefill: share * rateOr(t.info.PrefillRate, t.info.DecodeRate),
		})
	}
}

// suspectShare is the part of its rate that a target in doubt counts with, so that it is used where there is no other.
const suspectShare = 0.02

// defaultRate stands in where a target states no rate.
const defaultRate = 1000

func rateOr(rate, other float64) float64 {
	if rate > 0 {
		return rate
	}
	if other > 0 {
		return other
	}
	return defaultRate
}

type place struct {
	holder int
	layer  uint32
}

// take turns the hops of a solved flow into states and edges.
func (g *graph) take(f solver.Flow, setLink func(e *edge, from, to int)) {
	states := map[place]int32{{solver.Source, 0}: 0}
	g.states = append(g.states, state{holder: solver.Source})
	for _, h := range f.Hops {
		if h.To == solver.Sink {
			continue
		}
		p := place{h.To, h.End}
		if _, ok := states[p]; !ok {
			states[p] = int32(len(g.states))
			g.states = append(g.states, state{holder: int32(h.To), layer: h.End})
		}
	}
	hops := make([]solver.Hop, 0, len(f.Hops))
	for _, h := range f.Hops {
		if _, ok := states[place{h.From, h.Layer}]; ok && h.To != solver.Sink {
			hops = append(hops, h)
		}
	}
	slices.SortStableFunc(hops, func(a, b solver.Hop) int {
		return cmp.Or(
			cmp.Compare(states[place{a.From, a.Layer}], states[place{b.From, b.Layer}]),
			cmp.Compare(a.To, b.To),
		)
	})
	capacity := make([]float64, len(hops))
	for i, h := range hops {
		from := states[place{h.From, h.Layer}]
		e := edge{holder: int32(h.To), to: states[place{h.To, h.End}], layers: h.End - h.Layer}
		if h.From != h.To && h.From != solver.Source {
			setLink(&e, h.From, h.To)
		}
		e.weight = h.Flow
		capacity[i] = min(h.Capacity, g.holders[h.To].decode/float64(h.End-h.Layer))
		if g.states[from].end == 0 {
			g.states[from].first = int32(len(g.edges))
		}
		g.edges = append(g.edges, e)
		g.states[from].end = int32(len(g.edges))
	}
	g.addSpare(capacity)
	g.sum()
}

// addSpare gives each edge a small weight by what it and everything behind it could carry, so that idle targets are found.
func (g *graph) addSpare(capacity []float64) {
	order := make([]int, len(g.states))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(g.states[b].layer, g.states[a].layer) })
	onward := make([]float64, len(g.states))
	for _, i := range order {
		st := g.states[i]
		if st.layer == g.model.Layers {
			onward[i] = math.Inf(1)
		}
		for k := st.first; k < st.end; k++ {
			spare := min(capacity[k], onward[g.edges[k].to])
			onward[i] += spare
			g.edges[k].weight += spareWeight * spare
		}
	}
}

// sum renews the running sums that draws use.
func (g *graph) sum() {
	for _, st := range g.states {
		total := 0.0
		for i := st.first; i < st.end; i++ {
			total += g.edges[i].weight
			g.edges[i].sum = total
		}
	}
}

// blend mixes in the weights of the graph before, so that shares move in steps.
func (g *graph) blend(old *graph) {
	if old == nil {
		return
	}
	type hop struct {
		from, to linkKey
		layer    uint32
	}
	key := func(g *graph, st state, e edge) hop {
		from := linkKey{}
		if st.holder >= 0 {
			from.from = g.holders[st.holder].t.name
		}
		return hop{from: from, to: linkKey{to: g.holders[e.holder].t.name}, layer: st.layer}
	}
	before := make(map[hop]float64, len(old.edges))
	for _, st := range old.states {
		for _, e := range old.edges[st.first:st.end] {
			before[key(old, st, e)] = e.weight
		}
	}
	for _, st := range g.states {
		for i := st.first; i < st.end; i++ {
			if w, ok := before[key(g, st, g.edges[i])]; ok {
				g.edges[i].weight = blendNew*g.edges[i].weight + (1-blendNew)*w
			}
		}
	}
	g.sum()
}

// draw returns an edge of a state by weight, for u in [0,1), or nil.
func (g *graph) draw(st state, u float64) *edge {
	if st.end == st.first {
		return nil
	}
	edges := g.edges[st.first:st.end]
	want := u * edges[len(edges)-1].sum
	i := sort.Search(len(edges), func(i int) bool { return edges[i].sum > want })
	if i == len(edges) {
		return nil
	}
	return &edges[i]
}

// edgeTo returns the edge of a state to a holder, or nil.
func (g *graph) edgeTo(st state, holder int32) *edge {
	edges := g.edges[st.first:st.end]
	i := sort.Search(len(edges), func(i int) bool { return edges[i].holder >= holder })
	if i == len(edges) || edges[i].holder != holder {
		return nil
	}
	return &edges[i]
}
