package selector

import (
	"math"
	"sort"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// minSplitSlowdown is how many times slower than stated a link must be for its ends to get pools of their own.
const minSplitSlowdown = 2

// poolKey identifies a pool.
type poolKey struct {
	dataCentre cataloger.DataCentre
	first      uint32
	end        uint32
	// separateTarget is the only member, if its links differ from those of similar targets, or empty.
	separateTarget string
}

// pool is a set of holders of the same layers with similar links; the flow is solved for the pool as for one holder.
type pool struct {
	key poolKey
	// representative is any of the members' targets.
	representative *cataloger.Target
	members        []int32
	// cumulativeRates are the sums of the members' rates up to and including each one, in layer-tokens per second. Rates
	// allow for the prompts that come with the generated tokens.
	cumulativeRates []float64
	rate            float64
	// maxRate is the rate of the fastest member.
	maxRate float64
}

// effectiveSize returns the number of members as fast as the fastest that would match the pool's rate. It scales the
// links' bandwidth, so that links carry the flow in proportion to the rates.
func (p *pool) effectiveSize() float64 { return p.rate / p.maxRate }

// draw returns the member that u in [0,1) selects in proportion to the rates.
func (p *pool) draw(u float64) int32 {
	threshold := u * p.rate
	i := sort.Search(len(p.cumulativeRates), func(i int) bool { return p.cumulativeRates[i] > threshold })
	return p.members[min(i, len(p.members)-1)]
}

// addPools groups the holders into pools, in the order of the previous graph, with new pools last.
func (g *graph) addPools(overrides linkOverrides, prompt float64, old *graph) {
	members := make(map[poolKey][]int32)
	var keys []poolKey
	if old != nil {
		for i := range old.pools {
			keys = append(keys, old.pools[i].key)
			members[old.pools[i].key] = nil
		}
	}
	for i := range g.holders {
		h := &g.holders[i]
		key := poolKey{dataCentre: h.t.info.DataCentre, first: h.first, end: h.end}
		if overrides.separated[h.t.name] {
			key.separateTarget = h.t.name
		}
		if _, ok := members[key]; !ok {
			keys = append(keys, key)
		}
		members[key] = append(members[key], int32(i))
	}
	for _, key := range keys {
		if len(members[key]) > 0 {
			g.addPool(key, members[key], prompt)
		}
	}
}

func (g *graph) addPool(key poolKey, members []int32, prompt float64) {
	p := pool{key: key, representative: &g.holders[members[0]].t.info}
	for _, i := range members {
		h := &g.holders[i]
		h.pool = int32(len(g.pools))
		p.add(i, h.decode/(1+prompt*h.decode/h.prefill))
	}
	g.pools = append(g.pools, p)
}

func (p *pool) add(member int32, rate float64) {
	p.members = append(p.members, member)
	p.rate += rate
	p.cumulativeRates = append(p.cumulativeRates, p.rate)
	p.maxRate = max(p.maxRate, rate)
}

// linkOverrides are the links for which the defaults within and between data centres don't apply.
type linkOverrides struct {
	listed    map[linkKey]cataloger.Link
	slowdowns map[linkKey]float64
	// separated has the targets with such a link.
	separated map[string]bool
}

// linkOverrides requires s.mu and returns the links among the targets of a graph that are listed or slower than stated.
func (s *Selector) linkOverrides(g *graph) linkOverrides {
	overrides := linkOverrides{listed: make(map[linkKey]cataloger.Link), slowdowns: make(map[linkKey]float64), separated: make(map[string]bool)}
	now := s.Clock.Now()
	for k, l := range s.links {
		if len(g.byTarget[k.from]) == 0 || len(g.byTarget[k.to]) == 0 {
			continue
		}
		slowdown := l.currentSlowdown(now)
		if !l.listed && slowdown < minSplitSlowdown {
			continue
		}
		if l.listed {
			overrides.listed[k] = l.nominal
		}
		overrides.slowdowns[k] = slowdown
		overrides.separated[k.from], overrides.separated[k.to] = true, true
	}
	return overrides
}

func (o linkOverrides) nominal(s *Selector, from, to *cataloger.Target) cataloger.Link {
	if len(o.listed) > 0 {
		if l, ok := o.listed[linkKey{from.Name, to.Name}]; ok {
			return l
		}
	}
	return s.defaultLink(from, to)
}

// poolLink returns the link from one member to a member of another pool at its current speed.
func (s *Selector) poolLink(overrides linkOverrides, from, to *pool) cataloger.Link {
	l := overrides.nominal(s, from.representative, to.representative)
	if l.Bandwidth <= 0 {
		l.Bandwidth = math.Inf(1)
	}
	if from.key.separateTarget == "" || to.key.separateTarget == "" {
		return l
	}
	if slowdown, ok := overrides.slowdowns[linkKey{from.key.separateTarget, to.key.separateTarget}]; ok {
		l.Bandwidth /= slowdown
		l.LatencySeconds *= slowdown
	}
	return l
}

// meanLinkGain is the weight of a new measurement in the mean of a target's links.
const meanLinkGain = 0.05

// observeGeometric adds one transfer on one of several links to their geometric mean; times are in seconds.
func (l *link) observeGeometric(now time.Time, elapsed, nominal float64) {
	if nominal <= 0 {
		return
	}
	mean := math.Log(l.currentSlowdown(now))
	l.slowdown = math.Exp(mean + meanLinkGain*(math.Log(math.Max(1, elapsed/nominal))-mean))
	l.observedAt = now
}
