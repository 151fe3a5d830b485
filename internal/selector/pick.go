package selector

import (
	"math"
	"slices"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Request describes the route to pick.
type Request struct {
	Model   string
	Version string
	Adapter string
	// PromptTokens counts the tokens to prefill, including output tokens that were delivered earlier.
	PromptTokens int
	// Prefixes are the hashes that engineer.Prefixes returns for the prompt.
	Prefixes  []uint64
	MaxTokens uint32
	// Avoid names targets that are used only if there is no other chain.
	Avoid []string
}

func (r Request) key() Key { return Key{r.Model, r.Version, r.Adapter} }

const (
	// sameHolderWaitFactor scales the wait if a target continues past a layer at which others could take over.
	sameHolderWaitFactor = 1.25
	maxStages            = 16
	maxHits              = 8
	maxDrawTries         = 12
)

// walker finds one route.
type walker struct {
	s      *Selector
	g      *graph
	req    Request
	now    time.Time
	tokens float64
	hits   [maxHits]hit
	nhits  int
	steps  [maxStages]step
	n      int
}

// step is one stage of the route, with the last edge taken into it.
type step struct {
	holder int32
	first  uint32
	end    uint32
	link   *link
	edge   *edge
}

// Pick returns the route for a request and the permit that accounts for it. The error is a refuser.Refusal which states
// that nothing ran.
func (s *Selector) Pick(req Request) (cataloger.Route, *Permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.graphs[req.key()]
	if g == nil {
		return cataloger.Route{}, nil, refuser.New(refuser.NoPipeline, "model %s version %s is not in force here", req.Model, req.Version)
	}
	w := walker{s: s, g: g, req: req, now: s.Clock.Now(), tokens: float64(max(req.MaxTokens, 1))}
	if req.MaxTokens == 0 {
		w.tokens = DefaultOutputTokens
	}
	if len(req.Prefixes) > 0 {
		w.nhits = len(s.prefixes.hits(req.Prefixes, w.now, w.hits[:0:maxHits]))
	}
	if !w.walk() && !w.cover() {
		return cataloger.Route{}, nil, refuser.New(refuser.NoPipeline, "no chain of live targets covers the %d layers of %s %s", g.model.Layers, req.Model, req.Version).
			WithRetryAfter(noPipelineRetry)
	}
	s.observeRequest(req.key(), float64(req.PromptTokens), w.tokens)
	return w.route(), s.grant(&w), nil
}

// noPipelineRetry is the time after which a client may retry if no chain was found.
const noPipelineRetry = time.Second

// walk builds a route from the start to the last layer. At each state it takes the cheapest of a few targets drawn by
// weight.
func (w *walker) walk() bool {
	w.n = 0
	st := w.g.states[0]
	for st.layer < w.g.model.Layers {
		c := w.chooseHop(st)
		if c.edge == nil || !w.appendHop(st, c) {
			return false
		}
		e := c.edge
		st = w.g.states[e.to]
	}
	return true
}

// candidate is a hop to one holder; its edge is nil if there is no hop.
type candidate struct {
	edge   *edge
	holder int32
}

// lastHolder returns the holder of the last step, or -1.
func (w *walker) lastHolder() int32 {
	if w.n == 0 {
		return -1
	}
	return w.steps[w.n-1].holder
}

// appendHop adds a hop to the route and returns whether the route has at most maxStages stages with it.
func (w *walker) appendHop(st state, c candidate) bool {
	end := w.g.states[c.edge.to].layer
	if w.lastHolder() == c.holder {
		w.steps[w.n-1].end = end
		return true
	}
	if w.n == maxStages {
		return false
	}
	next := step{holder: c.holder, first: st.layer, end: end, edge: c.edge}
	if c.edge.linked {
		next.link = w.s.linkOf(w.g.holders[w.lastHolder()].t.name, w.g.holders[c.holder].t.name)
	}
	w.steps[w.n] = next
	w.n++
	return true
}

func (w *walker) chooseHop(st state) candidate {
	var best candidate
	bestCost := math.Inf(1)
	explore := w.s.Random.Float64() < w.s.ExplorationShare
	drawn := 0
	for trial := 0; trial < maxDrawTries && drawn < w.s.Draws; trial++ {
		c := w.drawHop(st)
		if c.edge == nil || !w.accept(c) {
			continue
		}
		drawn++
		if explore {
			return c
		}
		if cost := w.cost(c); cost < bestCost {
			best, bestCost = c, cost
		}
	}
	for i := range w.nhits {
		if c := w.cachedHop(st, w.hits[i].target); c.edge != nil {
			if cost := w.cost(c); cost < bestCost {
				best, bestCost = c, cost
			}
		}
	}
	return best
}

// drawHop returns a hop drawn at random by weight.
func (w *walker) drawHop(st state) candidate {
	e := w.g.drawEdge(st, w.s.Random.Float64())
	switch {
	case e == nil:
		return candidate{}
	case e.sameHolder:
		return candidate{e, w.lastHolder()}
	}
	p := &w.g.pools[e.pool]
	if len(p.members) == 1 {
		return candidate{e, p.members[0]}
	}
	return candidate{e, p.draw(w.s.Random.Float64())}
}

// cachedHop returns the hop to a target that may have the prefix cached.
func (w *walker) cachedHop(st state, name string) candidate {
	for _, h := range w.g.byTarget[name] {
		e := w.g.edgeTo(st, w.g.holders[h].pool)
		if e == nil || e.sameHolder && h != w.lastHolder() {
			continue
		}
		if c := (candidate{e, h}); w.accept(c) {
			return c
		}
	}
	return candidate{}
}

// accept reports whether a drawn hop may be taken. Targets in slow start are accepted in proportion to their ramp.
func (w *walker) accept(c candidate) bool {
	t := w.g.holders[c.holder].t
	if !t.trusted(w.now) || len(w.req.Avoid) > 0 && slices.Contains(w.req.Avoid, t.name) {
		return false
	}
	if t.kvUsedShare > kvAvoidThreshold && w.s.Random.Float64() > (1-t.kvUsedShare)/(1-kvAvoidThreshold) {
		return false
	}
	if ramp := t.ramp(w.now, w.s.SlowStart); ramp < 1 {
		return w.s.Random.Float64() < ramp
	}
	return true
}

// cost returns the expected seconds per generated token that the hop adds, including its share of the prefill.
func (w *walker) cost(c candidate) float64 {
	e := c.edge
	h := &w.g.holders[c.holder]
	t := h.t
	layers := float64(e.layers)
	wait := t.load(w.now)
	if e.sameHolder {
		wait *= sameHolderWaitFactor
	}
	decode := (wait + layers) / h.decode
	prefill := (t.prefillWork + layers*w.prefillTokens(t)) / h.prefill
	cost := decode + prefill/w.tokens
	if e.linked {
		slowdown := w.slowdown(w.g.holders[w.lastHolder()].t, t)
		cost += (e.latency + e.nominal) * slowdown
		cost += e.nominal * slowdown * w.prefillTokens(t) / w.tokens
	}
	return cost
}

// slowdown returns the transfer time divided by the nominal one. For a link that was not used yet it returns the mean of
// the links of its source, as a slow port or switch slows all of them.
func (w *walker) slowdown(from, to *target) float64 {
	if l := w.s.links[linkKey{from.name, to.name}]; l != nil && !l.observedAt.IsZero() {
		return l.currentSlowdown(w.now)
	}
	return from.meanOutLink.currentSlowdown(w.now)
}

func (w *walker) prefillTokens(t *target) float64 {
	tokens := float64(w.req.PromptTokens)
	for i := range w.nhits {
		if w.hits[i].target == t.name {
			saved := w.hits[i].expectedBlocks * engineer.PrefixBlockBytes / engineer.PromptBytesPerToken
			return math.Max(tokens-saved, 0)
		}
	}
	return tokens
}

// cover finds a chain without regard to weights. It uses suspected or avoided targets only if there is no chain without.
func (w *walker) cover() bool {
	avoided := func(h *holder) bool { return slices.Contains(w.req.Avoid, h.t.name) }
	levels := []func(h *holder) bool{
		func(h *holder) bool { return h.t.trusted(w.now) && !avoided(h) },
		func(h *holder) bool { return h.t.usable() && !avoided(h) },
		func(h *holder) bool { return h.t.usable() },
	}
	return slices.ContainsFunc(levels, w.coverWith)
}

// coverWith repeatedly takes the allowed holder that reaches furthest from the current layer, which finds a chain if there
// is one.
func (w *walker) coverWith(allowed func(h *holder) bool) bool {
	w.n = 0
	for layer := uint32(0); layer < w.g.model.Layers; {
		best := int32(-1)
		offset := w.s.Random.IntN(max(len(w.g.holders), 1))
		for k := range w.g.holders {
			i := int32((k + offset) % len(w.g.holders))
			h := &w.g.holders[i]
			if h.first > layer || h.end <= layer || !allowed(h) {
				continue
			}
			if best < 0 || w.reachesFurther(h, &w.g.holders[best]) {
				best = i
			}
		}
		if best < 0 || w.n == maxStages {
			return false
		}
		st := step{holder: best, first: layer, end: w.g.holders[best].end}
		if w.n > 0 {
			st.link = w.s.linkOf(w.g.holders[w.steps[w.n-1].holder].t.name, w.g.holders[best].t.name)
		}
		w.steps[w.n] = st
		w.n++
		layer = st.end
	}
	return w.n > 0
}

func (w *walker) reachesFurther(a, b *holder) bool {
	if a.end != b.end {
		return a.end > b.end
	}
	return a.t.load(w.now)/a.decode < b.t.load(w.now)/b.decode
}

func (w *walker) route() cataloger.Route {
	r := cataloger.Route{Model: w.g.model.Name, Version: w.g.model.Version, Stages: make([]cataloger.Stage, w.n)}
	for i := range w.n {
		t := w.g.holders[w.steps[i].holder].t
		r.Stages[i] = cataloger.Stage{Target: t.name, Address: t.info.Address, FirstLayer: w.steps[i].first, EndLayer: w.steps[i].end}
	}
	return r
}

// Substitute returns the route with the stages on a lost target given to others, and false if no single target can take
// over a stage.
func (s *Selector) Substitute(req Request, route cataloger.Route, lost string) (cataloger.Route, *Permit, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.graphs[req.key()]
	if g == nil || len(route.Stages) > maxStages {
		return cataloger.Route{}, nil, false
	}
	w := walker{s: s, g: g, req: req, now: s.Clock.Now(), tokens: float64(max(req.MaxTokens, 1))}
	for _, st := range route.Stages {
		name := st.Target
		if name == lost {
			name = ""
		}
		best := w.substitute(st, name, lost)
		if best < 0 {
			return cataloger.Route{}, nil, false
		}
		next := step{holder: best, first: st.FirstLayer, end: st.EndLayer}
		if w.n > 0 {
			next.link = s.linkOf(g.holders[w.steps[w.n-1].holder].t.name, g.holders[best].t.name)
		}
		w.steps[w.n] = next
		w.n++
	}
	return w.route(), s.grant(&w), true
}

// substitute returns the holder for the layers of a stage: the named one, or the fastest other one if the name is empty.
func (w *walker) substitute(st cataloger.Stage, name, lost string) int32 {
	best, bestTime := int32(-1), math.Inf(1)
	for i := range w.g.holders {
		h := &w.g.holders[i]
		if h.first > st.FirstLayer || h.end < st.EndLayer || h.t.name == lost {
			continue
		}
		if name != "" {
			if h.t.name == name {
				return int32(i)
			}
			continue
		}
		if !h.t.trusted(w.now) || slices.Contains(w.req.Avoid, h.t.name) {
			continue
		}
		if t := w.tokenTime(h); t < bestTime {
			best, bestTime = int32(i), t
		}
	}
	return best
}

// tokenTime returns the time in seconds that a token waits at a holder and on the link to it.
func (w *walker) tokenTime(h *holder) float64 {
	wait := h.t.load(w.now) / h.decode
	if w.n == 0 {
		return wait
	}
	from := w.g.holders[w.steps[w.n-1].holder].t
	return wait + w.s.hopTime(w.g.model, from, h.t)*w.slowdown(from, h.t)
}
