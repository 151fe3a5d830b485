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
	// spareShare is the weight given by the capacity of a state's hops, as a share of its flow, so that idle targets are found.
	spareShare = 0.3
	// newWeightShare is the share of the new weights in the weights used after an update.
	newWeightShare = 0.5
)

// graph holds the hops of one model with their weights. Only the weights change after it is built.
type graph struct {
	model   Model
	bound   float64
	holders []holder
	// byTarget lists the holders of each target.
	byTarget map[string][]int32
	pools    []pool
	// states[0] is the start; every other state is a pool at the layer where one of its stages ends.
	states []state
	edges  []edge
	// split is how the flow divides each pool's rate over its layers. splitAge counts the graphs since the split was
	// computed, and splitYield is the bound at that time divided by the rate of all pools.
	split      []float64
	splitAge   int
	splitYield float64
	// solvedFor is the problem for which the flow was last solved, and solutionAge counts the graphs since then.
	solvedFor   problem
	solutionAge int
}

type holder struct {
	t     *target
	pool  int32
	first uint32
	end   uint32
	// decode and prefill are in layer-tokens per second.
	decode  float64
	prefill float64
}

// state is a pool and a layer from which a token continues.
type state struct {
	pool  int32
	layer uint32
	first int32
	end   int32
}

// edge is a hop to a holder of a pool, which then runs the layers up to the state `to`.
type edge struct {
	pool   int32
	to     int32
	layers uint32
	// sameHolder is set if the holder of the state continues itself, linked if the activation crosses a link.
	sameHolder bool
	linked     bool
	// nominal is the transfer time in seconds of one activation on the link at its nominal speed, without latency.
	nominal float64
	latency float64
	// solvedWeight is the weight from the solved flow; weight, which draws use, approaches it over several updates.
	solvedWeight float64
	weight       float64
	// cumulativeWeight is the sum of the weights of the state's edges up to and including this one.
	cumulativeWeight float64
}

// buildGraph solves the flow of a model over the usable targets.
func (s *Selector) buildGraph(m Model, fleet cataloger.Fleet) *graph {
	g := &graph{model: m, byTarget: make(map[string][]int32)}
	s.mu.Lock()
	for i := range fleet.Targets {
		g.addHolders(s.targets[fleet.Targets[i].Name])
	}
	prompt := s.promptRatio(m.Key())
	overrides := s.linkOverrides(g)
	s.mu.Unlock()
	old := s.currentGraph(m.Key())
	g.addPools(overrides, prompt, old)
	g.solvedFor = g.problem(overrides)
	if g.samePools(old) && g.solvedFor.approximates(old.solvedFor) {
		g.reuseSolution(old)
		return g
	}
	chains := solver.Chains{Layers: m.Layers, ActivationBytes: float64(m.ActivationBytes) * (1 + prompt), FanOut: s.FanOut}
	for i := range g.pools {
		p := &g.pools[i]
		chains.Holders = append(chains.Holders, solver.Holder{Rate: p.rate, FirstLayer: p.key.first, EndLayer: p.key.end})
	}
	link := func(from, to int) cataloger.Link { return s.poolLink(overrides, &g.pools[from], &g.pools[to]) }
	chains.Bandwidth = func(from, to int) float64 {
		return link(from, to).Bandwidth * g.pools[from].effectiveSize() * g.pools[to].effectiveSize()
	}
	chains.Cost = func(from, to int) float64 {
		l := link(from, to)
		return l.LatencySeconds + chains.ActivationBytes/l.Bandwidth
	}
	flow := g.solve(chains, old)
	g.bound = flow.Bound
	g.buildEdges(flow, func(e *edge, from, to int) {
		n := overrides.nominal(s, g.pools[from].representative, g.pools[to].representative)
		e.linked = true
		e.latency = n.LatencySeconds
		if n.Bandwidth > 0 {
			e.nominal = float64(m.ActivationBytes) / n.Bandwidth
		}
	})
	return g
}

// currentGraph returns the graph in use, or nil.
func (s *Selector) currentGraph(key Key) *graph {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graphs[key]
}

const (
	// maxSplitAge is the maximum number of consecutive graphs that reuse a split.
	maxSplitAge = 20
	// minYieldShare is the share of the original yield that a reused split must reach.
	minYieldShare = 0.99
)

// solve starts from the split of the previous graph if the pools are the same and the bound does not drop.
func (g *graph) solve(c solver.Chains, old *graph) solver.Flow {
	if g.samePools(old) && old.splitAge < maxSplitAge {
		c.InitialSplit = old.split
		if flow := c.Solve(); flow.Bound >= minYieldShare*old.splitYield*g.totalRate() {
			g.split, g.splitAge, g.splitYield = old.split, old.splitAge+1, old.splitYield
			return flow
		}
		c.InitialSplit = nil
	}
	flow := c.Solve()
	g.split = flow.Split
	if rate := g.totalRate(); rate > 0 {
		g.splitYield = flow.Bound / rate
	}
	return flow
}

// problem is the input of a flow solution, except for the layer ranges.
type problem struct {
	rates []float64
	links linkOverrides
}

func (g *graph) problem(overrides linkOverrides) problem {
	p := problem{links: overrides}
	for i := range g.pools {
		p.rates = append(p.rates, g.pools[i].rate)
	}
	return p
}

// solveTolerance is the share by which a rate or a slowdown may differ from the one that a flow was solved for.
const solveTolerance = 0.01

func withinTolerance(a, b float64) bool { return math.Abs(a-b) <= solveTolerance*math.Max(a, b) }

// approximates reports whether the solution of the other problem is close enough to reuse.
func (p problem) approximates(other problem) bool {
	if len(p.links.slowdowns) != len(other.links.slowdowns) || !slices.EqualFunc(p.rates, other.rates, withinTolerance) {
		return false
	}
	for k, slowdown := range p.links.slowdowns {
		before, ok := other.links.slowdowns[k]
		if !ok || !withinTolerance(slowdown, before) || p.links.listed[k] != other.links.listed[k] {
			return false
		}
	}
	return true
}

// convergedAge is the number of graphs after which the weights have practically reached the solved weights.
const convergedAge = 10

// reuseSolution copies the solution of an older graph with the same pools.
func (g *graph) reuseSolution(old *graph) {
	g.bound, g.split, g.splitAge, g.splitYield = old.bound, old.split, old.splitAge, old.splitYield
	g.solvedFor, g.solutionAge = old.solvedFor, old.solutionAge+1
	g.states, g.edges = old.states, old.edges
	if g.solutionAge > convergedAge {
		return
	}
	g.edges = slices.Clone(old.edges)
	for i := range g.edges {
		g.edges[i].weight = g.edges[i].solvedWeight
	}
	g.sumWeights()
}

// samePools reports whether the graphs have the same pools, whatever their members.
func (g *graph) samePools(old *graph) bool {
	return old != nil && slices.EqualFunc(g.pools, old.pools, func(a, b pool) bool { return a.key == b.key })
}

func (g *graph) totalRate() float64 {
	sum := 0.0
	for i := range g.pools {
		sum += g.pools[i].rate
	}
	return sum
}

func (g *graph) addHolders(t *target) {
	if t == nil || !t.usable() {
		return
	}
	share := 1.0
	if t.info.State == cataloger.StateSuspect {
		share = suspectRateShare
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
			decode:  share * rateOrDefault(t.info.DecodeRate, t.info.PrefillRate),
			prefill: share * rateOrDefault(t.info.PrefillRate, t.info.DecodeRate),
		})
	}
}

// suspectRateShare is the share of its rate with which a suspected target counts, so that it is used if there is no other.
const suspectRateShare = 0.02

// defaultRate is the rate in layer-tokens per second that is assumed if a target states none.
const defaultRate = 1000

func rateOrDefault(rate, other float64) float64 {
	if rate > 0 {
		return rate
	}
	if other > 0 {
		return other
	}
	return defaultRate
}

type stateKey struct {
	pool  int
	layer uint32
}

// buildEdges turns the hops of a solved flow into states and edges.
func (g *graph) buildEdges(f solver.Flow, setLink func(e *edge, from, to int)) {
	states := map[stateKey]int32{{solver.Source, 0}: 0}
	g.states = append(g.states, state{pool: solver.Source})
	for _, h := range f.Hops {
		if h.To == solver.Sink {
			continue
		}
		p := stateKey{h.To, h.End}
		if _, ok := states[p]; !ok {
			states[p] = int32(len(g.states))
			g.states = append(g.states, state{pool: int32(h.To), layer: h.End})
		}
	}
	type start struct {
		state int32
		hop   *solver.Hop
	}
	starts := make([]start, 0, len(f.Hops))
	for i := range f.Hops {
		h := &f.Hops[i]
		if at, ok := states[stateKey{h.From, h.Layer}]; ok && h.To != solver.Sink {
			starts = append(starts, start{at, h})
		}
	}
	order := make([]int32, len(starts))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int {
		x, y := &starts[a], &starts[b]
		return cmp.Or(cmp.Compare(x.state, y.state), cmp.Compare(x.hop.To, y.hop.To))
	})
	capacity := make([]float64, len(starts))
	g.edges = make([]edge, 0, len(starts))
	for i, k := range order {
		from, h := starts[k].state, starts[k].hop
		e := edge{pool: int32(h.To), sameHolder: h.From == h.To, to: states[stateKey{h.To, h.End}], layers: h.End - h.Layer}
		if h.From != h.To && h.From != solver.Source {
			setLink(&e, h.From, h.To)
		}
		e.weight = h.Flow
		capacity[i] = min(h.Capacity, g.pools[h.To].rate/float64(h.End-h.Layer))
		if g.states[from].end == 0 {
			g.states[from].first = int32(len(g.edges))
		}
		g.edges = append(g.edges, e)
		g.states[from].end = int32(len(g.edges))
	}
	g.addSpareWeights(capacity)
	for i := range g.edges {
		g.edges[i].solvedWeight = g.edges[i].weight
	}
	g.sumWeights()
}

// addSpareWeights adds a small weight to each edge by the capacity of it and of all that follows it, so that idle targets
// are found.
func (g *graph) addSpareWeights(capacity []float64) {
	order := make([]int, len(g.states))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(g.states[b].layer, g.states[a].layer) })
	downstream := make([]float64, len(g.states))
	spares := make([]float64, len(g.edges))
	for _, i := range order {
		st := g.states[i]
		if st.layer == g.model.Layers {
			downstream[i] = math.Inf(1)
		}
		flow := 0.0
		for k := st.first; k < st.end; k++ {
			spare := min(capacity[k], downstream[g.edges[k].to])
			downstream[i] += spare
			spares[k] = spare
			flow += g.edges[k].weight
		}
		share := 1.0
		if flow > 0 && downstream[i] > 0 && !math.IsInf(downstream[i], 1) {
			share = spareShare * flow / downstream[i]
		}
		for k := st.first; k < st.end; k++ {
			g.edges[k].weight += share * spares[k]
		}
	}
}

// sumWeights recomputes the cumulative weights that draws use.
func (g *graph) sumWeights() {
	for _, st := range g.states {
		total := 0.0
		for i := st.first; i < st.end; i++ {
			total += g.edges[i].weight
			g.edges[i].cumulativeWeight = total
		}
	}
}

// blendWeights mixes in the weights of the previous graph, so that shares change gradually.
func (g *graph) blendWeights(old *graph) {
	if old == nil || g.solutionAge > convergedAge {
		return
	}
	type hop struct {
		from, to int32
		layer    uint32
	}
	newIndex := make(map[poolKey]int32, len(g.pools))
	for i := range g.pools {
		newIndex[g.pools[i].key] = int32(i)
	}
	newIndexes := make([]int32, len(old.pools))
	for i := range old.pools {
		newIndexes[i] = -1
		if n, ok := newIndex[old.pools[i].key]; ok {
			newIndexes[i] = n
		}
	}
	before := make(map[hop]float64, len(old.edges))
	for _, st := range old.states {
		from := st.pool
		if from >= 0 {
			from = newIndexes[from]
		}
		for _, e := range old.edges[st.first:st.end] {
			before[hop{from, newIndexes[e.pool], st.layer}] = e.weight
		}
	}
	for _, st := range g.states {
		for i := st.first; i < st.end; i++ {
			if w, ok := before[hop{st.pool, g.edges[i].pool, st.layer}]; ok {
				g.edges[i].weight = newWeightShare*g.edges[i].weight + (1-newWeightShare)*w
			}
		}
	}
	g.sumWeights()
}

// drawEdge returns the edge of a state that u in [0,1) selects in proportion to the weights, or nil.
func (g *graph) drawEdge(st state, u float64) *edge {
	if st.end == st.first {
		return nil
	}
	edges := g.edges[st.first:st.end]
	threshold := u * edges[len(edges)-1].cumulativeWeight
	i := sort.Search(len(edges), func(i int) bool { return edges[i].cumulativeWeight > threshold })
	if i == len(edges) {
		return nil
	}
	return &edges[i]
}

// edgeTo returns the edge of a state to a pool, or nil.
func (g *graph) edgeTo(st state, pool int32) *edge {
	edges := g.edges[st.first:st.end]
	i := sort.Search(len(edges), func(i int) bool { return edges[i].pool >= pool })
	if i == len(edges) || edges[i].pool != pool {
		return nil
	}
	return &edges[i]
}
