package solver

import "slices"

const (
	// splitSteps is how often the bisection of the common rate is halved.
	splitSteps = 24
	splitSlack = 1e-6
)

// split shares the rate of holders with several segments out so that, were links free, the weakest interval is as strong as can be.
func (b *builder) split() {
	if !b.overlaps() {
		return
	}
	low, high := 0.0, b.aggregate()/float64(b.c.Layers)
	best := b.splitAt(low)
	for range splitSteps {
		mid := (low + high) / 2
		if s := b.splitAt(mid); s.reached {
			low, best = mid, s
		} else {
			high = mid
		}
	}
	b.limit = high
	for h, holder := range b.c.Holders {
		segments := b.segments[b.bySegment[h][0]:b.bySegment[h][1]]
		used, layers := 0.0, 0.0
		for i, s := range segments {
			used += best.work[b.bySegment[h][0]+i]
			layers += float64(s.end - s.first)
		}
		for i, s := range segments {
			work := best.work[b.bySegment[h][0]+i]
			b.net.SetCapacity(s.edge, work/float64(s.end-s.first)+max(holder.Rate-used, 0)/layers)
		}
	}
}

// takeSplit gives the segments the shares of an earlier solution and tells whether there is one that fits.
func (b *builder) takeSplit() bool {
	if len(b.c.InitialSplit) != len(b.segments) || len(b.segments) == 0 {
		return false
	}
	for i, s := range b.segments {
		b.net.SetCapacity(s.edge, b.c.InitialSplit[i]*b.c.Holders[s.holder].Rate)
	}
	return true
}

func (b *builder) aggregate() float64 {
	sum := 0.0
	for _, h := range b.c.Holders {
		sum += h.Rate
	}
	return sum
}

type splitting struct {
	reached bool
	// work is the layer-tokens a second of each segment.
	work []float64
}

// splitAt tries to run rate tokens a second through every interval.
func (b *builder) splitAt(rate float64) splitting {
	holders, intervals := len(b.c.Holders), len(b.boundaries)-1
	source, sink := holders+intervals, holders+intervals+1
	n := NewNetwork(holders + intervals + 2)
	for h, holder := range b.c.Holders {
		n.AddEdge(source, h, holder.Rate)
	}
	want := 0.0
	for i := range intervals {
		need := rate * float64(b.boundaries[i+1]-b.boundaries[i])
		want += need
		n.AddEdge(holders+i, sink, need)
	}
	edges := make([]int, len(b.segments))
	for i, s := range b.segments {
		p := b.first[s.holder] + i - b.bySegment[s.holder][0]
		edges[i] = n.AddEdge(s.holder, holders+p, b.c.Holders[s.holder].Rate)
	}
	got := n.MaxFlow(source, sink)
	s := splitting{reached: got >= want*(1-splitSlack), work: make([]float64, len(edges))}
	for i, e := range edges {
		s.work[i] = n.Flow(e)
	}
	return s
}

// overlaps tells whether any holder has more than one segment.
func (b *builder) overlaps() bool { return len(b.segments) > len(b.c.Holders) }

// fill raises the flow to its maximum, moving rate between the segments of a holder as long as that helps.
func (b *builder) fill() float64 {
	bound := b.net.MaxFlow(b.source, b.sink)
	for range shareRounds {
		if !b.share() {
			break
		}
		added := b.net.MaxFlow(b.source, b.sink)
		bound += added
		if added <= bound*roundGain {
			break
		}
	}
	return bound
}

const (
	shareRounds = 8
	// roundGain is the share of the bound below which a further round is not worth it.
	roundGain = 1e-4
)

// improve moves rate towards the segments in the minimum cut, in ever smaller steps, and keeps the best flow found.
func (b *builder) improve(bound float64, rounds int) float64 {
	current := b.capacities()
	best := slices.Clone(current)
	for round := range rounds {
		b.towardsCut(current, 1/float64(round+3))
		b.restore(current)
		if found := b.fill(); found > bound {
			bound = found
			best = b.capacities()
		}
	}
	b.restore(best)
	return b.fill()
}

func (b *builder) capacities() []float64 {
	caps := make([]float64, len(b.segments))
	for i, s := range b.segments {
		caps[i] = b.net.Capacity(s.edge)
	}
	return caps
}

// restore empties the network and gives the segments their capacities.
func (b *builder) restore(caps []float64) {
	byEdge := make(map[int]float64, len(caps))
	for i, s := range b.segments {
		byEdge[s.edge] = caps[i]
	}
	b.net.Reset(func(edge int, old float64) float64 {
		if c, ok := byEdge[edge]; ok {
			return c
		}
		return old
	})
}

// towardsCut gives a part of each holder's rate to those of its segments that are in the cut.
func (b *builder) towardsCut(caps []float64, part float64) {
	for h, holder := range b.c.Holders {
		first, end := b.bySegment[h][0], b.bySegment[h][1]
		cut := 0.0
		for i := first; i < end; i++ {
			if b.net.InMinCut(b.segments[i].edge) {
				cut += float64(b.segments[i].end - b.segments[i].first)
			}
		}
		if cut == 0 {
			continue
		}
		for i := first; i < end; i++ {
			caps[i] *= 1 - part
			if b.net.InMinCut(b.segments[i].edge) {
				caps[i] += part * holder.Rate / cut
			}
		}
	}
}

// share gives rate that a holder leaves unused on some segments to those that are full, and tells whether any moved.
func (b *builder) share() bool {
	moved := false
	for h, holder := range b.c.Holders {
		segments := b.segments[b.bySegment[h][0]:b.bySegment[h][1]]
		if len(segments) < 2 {
			continue
		}
		used, full := 0.0, 0.0
		for _, s := range segments {
			flow, layers := b.net.Flow(s.edge), float64(s.end-s.first)
			used += flow * layers
			if flow >= b.net.Capacity(s.edge)*(1-fullShare) {
				full += layers
			}
		}
		spare := holder.Rate - used
		if full == 0 || spare <= holder.Rate*fullShare {
			continue
		}
		for _, s := range segments {
			flow := b.net.Flow(s.edge)
			if flow >= b.net.Capacity(s.edge)*(1-fullShare) {
				b.net.SetCapacity(s.edge, flow+spare/full)
			} else {
				b.net.SetCapacity(s.edge, flow)
			}
		}
		moved = true
	}
	return moved
}

// fullShare is the share of a capacity below which what is left counts as none.
const fullShare = 1e-6
