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
	// spareShare is the share of a state's weight that goes by what its hops could carry, so that idle targets are found.
	spareShare = 0.3
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
	pools    []pool
	// states[0] is the start; each other state is a pool at the end of one of its segments.
	states []state
	edges  []edge
	// split is how the flow shares the pools out over their layers; builds counts the graphs since it was worked out
	// anew, and yield is the bound then over the rate of all pools.
	split  []float64
	builds int
	yield  float64
	// solved is what the flow was last solved for, age counts the graphs since.
	solved problem
	age    int
}

type holder struct {
	t     *target
	pool  int32
	first uint32
	end   uint32
	// decode and prefill are in layer-tokens a second.
	decode  float64
	prefill float64
}

// state is a place from which a token goes on.
type state struct {
	pool  int32
	layer uint32
	first int32
	end   int32
}

// edge is a hop to a holder of a pool, which then runs up to the state `to`.
type edge struct {
	pool   int32
	to     int32
	layers uint32
	// runsOn is set where the holder of the state goes on itself, linked where the activation takes a link.
	runsOn bool
	linked bool
	// nominal is the transfer time of one activation on the unharmed link, in seconds.
	nominal float64
	latency float64
	// goal is the weight by the solved flow, weight the one that is used on the way there.
	goal   float64
	weight float64
	// sum is the weights of the state's edges up to this one.
	sum float64
}

// build solves the chains of a model over the usable targets.
func (s *Selector) build(m Model, fleet cataloger.Fleet) *graph {
	g := &graph{model: m, byTarget: make(map[string][]int32)}
	s.mu.Lock()
	for i := range fleet.Targets {
		g.addHolders(s.targets[fleet.Targets[i].Name])
	}
	prompt := s.promptShare(m.Key())
	known := s.knownLinks(g)
	s.mu.Unlock()
	old := s.before(m.Key())
	g.addPools(known, prompt, old)
	g.solved = g.problem(known)
	if g.like(old) && g.solved.near(old.solved) {
		g.takeSolution(old)
		return g
	}
	chains := solver.Chains{Layers: m.Layers, ActivationBytes: float64(m.ActivationBytes) * (1 + prompt), FanOut: s.FanOut}
	for i := range g.pools {
		p := &g.pools[i]
		chains.Holders = append(chains.Holders, solver.Holder{Rate: p.rate, FirstLayer: p.key.first, EndLayer: p.key.end})
	}
	link := func(from, to int) cataloger.Link { return s.poolLink(known, &g.pools[from], &g.pools[to]) }
	chains.Bandwidth = func(from, to int) float64 {
		return link(from, to).Bandwidth * g.pools[from].width() * g.pools[to].width()
	}
	chains.Cost = func(from, to int) float64 {
		l := link(from, to)
		return l.LatencySeconds + chains.ActivationBytes/l.Bandwidth
	}
	flow := g.solve(chains, old)
	g.bound = flow.Bound
	g.take(flow, func(e *edge, from, to int) {
		n := known.nominal(s, g.pools[from].target, g.pools[to].target)
		e.linked = true
		e.latency = n.LatencySeconds
		if n.Bandwidth > 0 {
			e.nominal = float64(m.ActivationBytes) / n.Bandwidth
		}
	})
	return g
}

// before returns the graph in use, or nil.
func (s *Selector) before(key Key) *graph {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graphs[key]
}

const (
	// maxBuilds is how many graphs in a row take the split of the first.
	maxBuilds = 20
	// leastYield is the share of the yield that such a graph must reach.
	leastYield = 0.99
)

// solve starts from the split of the graph before where the pools are the same and the bound does not suffer.
func (g *graph) solve(c solver.Chains, old *graph) solver.Flow {
	if g.like(old) && old.builds < maxBuilds {
		c.InitialSplit = old.split
		if flow := c.Solve(); flow.Bound >= leastYield*old.yield*g.rate() {
			g.split, g.builds, g.yield = old.split, old.builds+1, old.yield
			return flow
		}
		c.InitialSplit = nil
	}
	flow := c.Solve()
	g.split = flow.Split
	if rate := g.rate(); rate > 0 {
		g.yield = flow.Bound / rate
	}
	return flow
}

// problem is what a flow is solved for, but for the ranges.
type problem struct {
	rates []float64
	links knownLinks
}

func (g *graph) problem(known knownLinks) problem {
	p := problem{links: known}
	for i := range g.pools {
		p.rates = append(p.rates, g.pools[i].rate)
	}
	return p
}

// nearness is the share by which a rate or a link may differ from what a flow was solved for.
const nearness = 0.01

func near(a, b float64) bool { return math.Abs(a-b) <= nearness*math.Max(a, b) }

// near tells whether the solution of another problem will do.
func (p problem) near(other problem) bool {
	if len(p.links.ratios) != len(other.links.ratios) || !slices.EqualFunc(p.rates, other.rates, near) {
		return false
	}
	for k, ratio := range p.links.ratios {
		before, ok := other.links.ratios[k]
		if !ok || !near(ratio, before) || p.links.listed[k] != other.links.listed[k] {
			return false
		}
	}
	return true
}

// settledAge is the number of graphs after which weights are as good as at their goal.
const settledAge = 10

// takeSolution takes over what was solved for the same pools.
func (g *graph) takeSolution(old *graph) {
	g.bound, g.split, g.builds, g.yield = old.bound, old.split, old.builds, old.yield
	g.solved, g.age = old.solved, old.age+1
	g.states, g.edges = old.states, old.edges
	if g.age > settledAge {
		return
	}
	g.edges = slices.Clone(old.edges)
	for i := range g.edges {
		g.edges[i].weight = g.edges[i].goal
	}
	g.sum()
}

// like tells whether the pools are the same but for their members.
func (g *graph) like(old *graph) bool {
	return old != nil && slices.EqualFunc(g.pools, old.pools, func(a, b pool) bool { return a.key == b.key })
}

func (g *graph) rate() float64 {
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
	pool  int
	layer uint32
}

// take turns the hops of a solved flow into states and edges.
func (g *graph) take(f solver.Flow, setLink func(e *edge, from, to int)) {
	states := map[place]int32{{solver.Source, 0}: 0}
	g.states = append(g.states, state{pool: solver.Source})
	for _, h := range f.Hops {
		if h.To == solver.Sink {
			continue
		}
		p := place{h.To, h.End}
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
		if at, ok := states[place{h.From, h.Layer}]; ok && h.To != solver.Sink {
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
		e := edge{pool: int32(h.To), runsOn: h.From == h.To, to: states[place{h.To, h.End}], layers: h.End - h.Layer}
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
	g.addSpare(capacity)
	for i := range g.edges {
		g.edges[i].goal = g.edges[i].weight
	}
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
	spares := make([]float64, len(g.edges))
	for _, i := range order {
		st := g.states[i]
		if st.layer == g.model.Layers {
			onward[i] = math.Inf(1)
		}
		flow := 0.0
		for k := st.first; k < st.end; k++ {
			spare := min(capacity[k], onward[g.edges[k].to])
			onward[i] += spare
			spares[k] = spare
			flow += g.edges[k].weight
		}
		share := 1.0
		if flow > 0 && onward[i] > 0 && !math.IsInf(onward[i], 1) {
			share = spareShare * flow / onward[i]
		}
		for k := st.first; k < st.end; k++ {
			g.edges[k].weight += share * spares[k]
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
	if old == nil || g.age > settledAge {
		return
	}
	type hop struct {
		from, to int32
		layer    uint32
	}
	number := make(map[poolKey]int32, len(g.pools))
	for i := range g.pools {
		number[g.pools[i].key] = int32(i)
	}
	numbers := make([]int32, len(old.pools))
	for i := range old.pools {
		numbers[i] = -1
		if n, ok := number[old.pools[i].key]; ok {
			numbers[i] = n
		}
	}
	before := make(map[hop]float64, len(old.edges))
	for _, st := range old.states {
		from := st.pool
		if from >= 0 {
			from = numbers[from]
		}
		for _, e := range old.edges[st.first:st.end] {
			before[hop{from, numbers[e.pool], st.layer}] = e.weight
		}
	}
	for _, st := range g.states {
		for i := st.first; i < st.end; i++ {
			if w, ok := before[hop{st.pool, g.edges[i].pool, st.layer}]; ok {
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

// edgeTo returns the edge of a state to a pool, or nil.
func (g *graph) edgeTo(st state, pool int32) *edge {
	edges := g.edges[st.first:st.end]
	i := sort.Search(len(edges), func(i int) bool { return edges[i].pool >= pool })
	if i == len(edges) || edges[i].pool != pool {
		return nil
	}
	return &edges[i]
}
