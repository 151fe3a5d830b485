package selector

import (
	"math"
	"sort"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// splitRatio is how much slower than stated a link must be for its ends to be solved apart from their likes.
const splitRatio = 2

// poolKey names a pool.
type poolKey struct {
	dataCentre cataloger.DataCentre
	first      uint32
	end        uint32
	// alone is the target whose links differ from those of its likes, or empty.
	alone string
}

// pool is the holders of the same layers whose links are alike, which flow is solved for as for one holder.
type pool struct {
	key poolKey
	// target is any of them.
	target  *cataloger.Target
	members []int32
	// sums are the rates of the members up to each one, in layer-tokens a second with the prompts that come with them.
	sums []float64
	rate float64
	// largest is the rate of the fastest member.
	largest float64
}

// width is how many of its fastest member the pool is worth, so that links carry the flow in proportion to the rates.
func (p *pool) width() float64 { return p.rate / p.largest }

// draw returns a member by its rate, for u in [0,1).
func (p *pool) draw(u float64) int32 {
	want := u * p.rate
	i := sort.Search(len(p.sums), func(i int) bool { return p.sums[i] > want })
	return p.members[min(i, len(p.members)-1)]
}

// addPools parts the holders into pools, in the order that they had in the graph before, new ones last.
func (g *graph) addPools(known knownLinks, prompt float64, old *graph) {
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
		if known.apart[h.t.name] {
			key.alone = h.t.name
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
	p := pool{key: key, target: &g.holders[members[0]].t.info}
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
	p.sums = append(p.sums, p.rate)
	p.largest = max(p.largest, rate)
}

// knownLinks are the links that are not taken for those between two data centres or within one.
type knownLinks struct {
	listed map[linkKey]cataloger.Link
	ratios map[linkKey]float64
	// apart names the targets that have such a link.
	apart map[string]bool
}

// knownLinks requires s.mu and returns the links among the targets of a graph that are listed or slower than stated.
func (s *Selector) knownLinks(g *graph) knownLinks {
	known := knownLinks{listed: make(map[linkKey]cataloger.Link), ratios: make(map[linkKey]float64), apart: make(map[string]bool)}
	now := s.Clock.Now()
	for k, l := range s.links {
		if len(g.byTarget[k.from]) == 0 || len(g.byTarget[k.to]) == 0 {
			continue
		}
		ratio := l.current(now)
		if !l.listed && ratio < splitRatio {
			continue
		}
		if l.listed {
			known.listed[k] = l.nominal
		}
		known.ratios[k] = ratio
		known.apart[k.from], known.apart[k.to] = true, true
	}
	return known
}

func (k knownLinks) nominal(s *Selector, from, to *cataloger.Target) cataloger.Link {
	if len(k.listed) > 0 {
		if l, ok := k.listed[linkKey{from.Name, to.Name}]; ok {
			return l
		}
	}
	return s.assumed(from, to)
}

// poolLink returns the link of one member to one of another pool as it is now.
func (s *Selector) poolLink(known knownLinks, from, to *pool) cataloger.Link {
	l := known.nominal(s, from.target, to.target)
	if l.Bandwidth <= 0 {
		l.Bandwidth = math.Inf(1)
	}
	if from.key.alone == "" || to.key.alone == "" {
		return l
	}
	if ratio, ok := known.ratios[linkKey{from.key.alone, to.key.alone}]; ok {
		l.Bandwidth /= ratio
		l.LatencySeconds *= ratio
	}
	return l
}

// mixGain is the share of a new reading in the mean of a target's links.
const mixGain = 0.05

// mix takes one transfer of one of several links into their geometric mean.
func (l *link) mix(now time.Time, took, nominal float64) {
	if nominal <= 0 {
		return
	}
	mean := math.Log(l.current(now))
	l.ratio = math.Exp(mean + mixGain*(math.Log(math.Max(1, took/nominal))-mean))
	l.seen = now
}
