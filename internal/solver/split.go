package solver

const (
	// splitSteps is how often the bisection of the common rate is halved.
	splitSteps = 24
	splitSlack = 1e-6
)

// split shares the rate of holders with several segments out so that, were links free, the weakest interval is as strong as can be.
func (b *builder) split() {
	if len(b.segments) == len(b.c.Holders) {
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
