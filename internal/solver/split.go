package solver

import "slices"

const (
	// bisectionSteps is the number of steps of the bisection for the common rate of all intervals.
	bisectionSteps = 24
	splitTolerance = 1e-6
)

// splitRates splits the rate of holders with several segments so that, if links were unlimited, the weakest interval between
// boundaries would have as much rate as possible.
func (b *builder) splitRates() {
	if !b.overlaps() {
		return
	}
	low, high := 0.0, b.totalRate()/float64(b.c.Layers)
	best := b.trySplit(low)
	for range bisectionSteps {
		mid := (low + high) / 2
		if s := b.trySplit(mid); s.reached {
			low, best = mid, s
		} else {
			high = mid
		}
	}
	b.upperBound = high
	for h, holder := range b.c.Holders {
		segments := b.segments[b.segmentRanges[h][0]:b.segmentRanges[h][1]]
		used, layers := 0.0, 0.0
		for i, s := range segments {
			used += best.work[b.segmentRanges[h][0]+i]
			layers += float64(s.end - s.first)
		}
		for i, s := range segments {
			work := best.work[b.segmentRanges[h][0]+i]
			b.net.SetCapacity(s.edge, work/float64(s.end-s.first)+max(holder.Rate-used, 0)/layers)
		}
	}
}

// applyInitialSplit gives the segments the shares of an earlier solution and reports whether there is one that fits.
func (b *builder) applyInitialSplit() bool {
	if len(b.c.InitialSplit) != len(b.segments) || len(b.segments) == 0 {
		return false
	}
	for i, s := range b.segments {
		b.net.SetCapacity(s.edge, b.c.InitialSplit[i]*b.c.Holders[s.holder].Rate)
	}
	return true
}

func (b *builder) totalRate() float64 {
	sum := 0.0
	for _, h := range b.c.Holders {
		sum += h.Rate
	}
	return sum
}

type splitResult struct {
	reached bool
	// work is the layer-tokens a second of each segment.
	work []float64
}

// trySplit splits the holders' rates so that rate tokens a second go through every interval, as far as possible.
func (b *builder) trySplit(rate float64) splitResult {
	holders, intervals := len(b.c.Holders), len(b.boundaries)-1
	source, sink := holders+intervals, holders+intervals+1
	n := NewNetwork(holders + intervals + 2)
	for h, holder := range b.c.Holders {
		n.AddEdge(source, h, holder.Rate)
	}
	demand := 0.0
	for i := range intervals {
		need := rate * float64(b.boundaries[i+1]-b.boundaries[i])
		demand += need
		n.AddEdge(holders+i, sink, need)
	}
	edges := make([]int, len(b.segments))
	for i, s := range b.segments {
		p := b.firstBoundary[s.holder] + i - b.segmentRanges[s.holder][0]
		edges[i] = n.AddEdge(s.holder, holders+p, b.c.Holders[s.holder].Rate)
	}
	flow := n.MaxFlow(source, sink)
	s := splitResult{reached: flow >= demand*(1-splitTolerance), work: make([]float64, len(edges))}
	for i, e := range edges {
		s.work[i] = n.Flow(e)
	}
	return s
}

// overlaps reports whether any holder has more than one segment.
func (b *builder) overlaps() bool { return len(b.segments) > len(b.c.Holders) }

// maximizeFlow raises the flow to its maximum, moving rate between the segments of a holder as long as that helps.
func (b *builder) maximizeFlow() float64 {
	bound := b.net.MaxFlow(b.source, b.sink)
	for range maxSpareRounds {
		if !b.shareSpareRate() {
			break
		}
		added := b.net.MaxFlow(b.source, b.sink)
		bound += added
		if added <= bound*minRoundGain {
			break
		}
	}
	return bound
}

const (
	maxSpareRounds = 8
	// minRoundGain is the share of the bound that a round must add for another round to be worth its time.
	minRoundGain = 1e-4
)

// improveSplit moves rate to the segments in the minimum cut, in steps of decreasing size, and returns the best flow found.
func (b *builder) improveSplit(bound float64, rounds int) float64 {
	current := b.segmentCapacities()
	best := slices.Clone(current)
	for round := range rounds {
		b.shiftTowardsCut(current, 1/float64(round+3))
		b.resetCapacities(current)
		if found := b.maximizeFlow(); found > bound {
			bound = found
			best = b.segmentCapacities()
		}
	}
	b.resetCapacities(best)
	return b.maximizeFlow()
}

func (b *builder) segmentCapacities() []float64 {
	caps := make([]float64, len(b.segments))
	for i, s := range b.segments {
		caps[i] = b.net.Capacity(s.edge)
	}
	return caps
}

// resetCapacities removes all flow and sets the capacities of the segments.
func (b *builder) resetCapacities(caps []float64) {
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

// shiftTowardsCut moves a fraction of each holder's rate to those of its segments that are in the minimum cut.
func (b *builder) shiftTowardsCut(caps []float64, fraction float64) {
	for h, holder := range b.c.Holders {
		first, end := b.segmentRanges[h][0], b.segmentRanges[h][1]
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
			caps[i] *= 1 - fraction
			if b.net.InMinCut(b.segments[i].edge) {
				caps[i] += fraction * holder.Rate / cut
			}
		}
	}
}

// shareSpareRate moves the rate that a holder leaves unused to its segments that are full, and reports whether any moved.
func (b *builder) shareSpareRate() bool {
	moved := false
	for h, holder := range b.c.Holders {
		segments := b.segments[b.segmentRanges[h][0]:b.segmentRanges[h][1]]
		if len(segments) < 2 {
			continue
		}
		used, full := 0.0, 0.0
		for _, s := range segments {
			flow, layers := b.net.Flow(s.edge), float64(s.end-s.first)
			used += flow * layers
			if flow >= b.net.Capacity(s.edge)*(1-fullTolerance) {
				full += layers
			}
		}
		spare := holder.Rate - used
		if full == 0 || spare <= holder.Rate*fullTolerance {
			continue
		}
		for _, s := range segments {
			flow := b.net.Flow(s.edge)
			if flow >= b.net.Capacity(s.edge)*(1-fullTolerance) {
				b.net.SetCapacity(s.edge, flow+spare/full)
			} else {
				b.net.SetCapacity(s.edge, flow)
			}
		}
		moved = true
	}
	return moved
}

// fullTolerance is the share of a capacity or rate below which the unused part counts as none.
const fullTolerance = 1e-6
