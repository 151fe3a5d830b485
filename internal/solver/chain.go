package solver

import (
	"cmp"
	"math"
	"slices"
)

// Holder is an accelerator that holds the layers [FirstLayer,EndLayer) of a model version.
type Holder struct {
	// Rate is in layer-tokens a second.
	Rate       float64
	FirstLayer uint32
	EndLayer   uint32
}

// Chains is the problem of running a model over chains of holders.
type Chains struct {
	Layers uint32
	// Holders are numbered by their place in the slice.
	Holders []Holder
	// ActivationBytes is what one token takes on a link; 0 makes links free.
	ActivationBytes float64
	// Bandwidth returns the bytes a second from one holder to another; nil makes links free.
	Bandwidth func(from, to int) float64
	// Cost returns the seconds that a hop takes; where it is not nil, cheap hops are filled before dear ones.
	Cost func(from, to int) float64
	// FanOut bounds the links out of a holder at one layer, cheapest or, without Cost, fastest first; 0 is no bound.
	FanOut int
	// Rounds is how often the rate of holders with overlaps is shared out anew; 0 takes fewer rounds the more holders there are,
	// and a negative number none.
	Rounds int
	// Split is that of the Flow of a problem with the same ranges and much the same rates; it is taken over where it is
	// not nil, which saves most of the time.
	InitialSplit []float64
}

const (
	maxRounds = 40
	// roundHolders is the product of rounds and holders that is worth its time.
	roundHolders = 2000
)

// Source and Sink stand for the ends of a chain in Hop.
const (
	Source = -1
	Sink   = -2
)

// Hop is the flow that leaves holder From before layer Layer for holder To.
type Hop struct {
	// From is a holder or Source, To is a holder or Sink; equal ones mean that the holder runs on.
	From  int
	To    int
	Layer uint32
	// End is the first layer at which the token may leave To; 0 for Sink.
	End uint32
	// Flow and Capacity are in tokens a second.
	Flow     float64
	Capacity float64
}

// Flow is a feasible way to share tokens out over chains.
type Flow struct {
	// Bound is in tokens a second; it is the exact maximum where no holdings overlap or links are free, else at most that.
	Bound float64
	// Limit is in tokens a second what no flow exceeds, as it is reached with free links.
	UpperBound float64
	// Hops lists every possible hop, also those without flow, ordered by From, then Layer.
	Hops []Hop
	// Split is the share of its holder's rate that each segment has, in the order of the holders.
	Split []float64
	// Used is the layer-tokens a second of each holder.
	Used []float64
}

// Solve returns the largest flow over all chains.
func (c Chains) Solve() Flow {
	b := newBuilder(c)
	b.addSegments()
	warm := b.takeSplit()
	if !warm {
		b.split()
	}
	b.addHops()
	bound := b.fill()
	if rounds := c.rounds(); !warm && rounds > 0 && b.overlaps() {
		bound = b.improve(bound, rounds)
	}
	if c.Cost != nil {
		bound = b.prefer()
	}
	return b.result(bound)
}

func (c Chains) rounds() int {
	if c.Rounds != 0 {
		return c.Rounds
	}
	return min(roundHolders/max(len(c.Holders), 1), maxRounds)
}

// segment is the run between two neighbouring boundaries on one holder.
type segment struct {
	holder int
	first  uint32
	end    uint32
	edge   int
}

type hopEdge struct {
	hop  Hop
	edge int
}

type builder struct {
	c          Chains
	boundaries []uint32
	net        *Network
	source     int
	sink       int
	// base is the number of a holder's first node; it has an in and an out node per boundary.
	base     []int
	first    []int
	segments []segment
	// bySegment holds the range of each holder's segments.
	bySegment [][2]int
	hops      []hopEdge
	// limit is the bound of free links, where holdings overlap.
	limit float64
}

func newBuilder(c Chains) *builder {
	b := &builder{c: c}
	for _, h := range c.Holders {
		b.boundaries = append(b.boundaries, h.FirstLayer, min(h.EndLayer, c.Layers))
	}
	b.boundaries = append(b.boundaries, 0, c.Layers)
	slices.Sort(b.boundaries)
	b.boundaries = slices.Compact(b.boundaries)
	nodes := 2
	for _, h := range c.Holders {
		first, _ := slices.BinarySearch(b.boundaries, h.FirstLayer)
		end, _ := slices.BinarySearch(b.boundaries, min(h.EndLayer, c.Layers))
		b.base = append(b.base, nodes)
		b.first = append(b.first, first)
		nodes += 2 * max(end-first+1, 0)
	}
	b.net = NewNetwork(nodes)
	b.source, b.sink = 0, 1
	return b
}

// in is where a token enters holder h before boundary p, out is where it leaves.
func (b *builder) in(h, p int) int  { return b.base[h] + 2*(p-b.first[h]) }
func (b *builder) out(h, p int) int { return b.in(h, p) + 1 }

func (b *builder) addSegments() {
	for h, holder := range b.c.Holders {
		start := len(b.segments)
		end := min(holder.EndLayer, b.c.Layers)
		if holder.FirstLayer < end && holder.Rate > 0 {
			rate := holder.Rate / float64(end-holder.FirstLayer)
			for p := b.first[h]; b.boundaries[p] < end; p++ {
				edge := b.net.AddEdge(b.in(h, p), b.out(h, p+1), rate)
				b.segments = append(b.segments, segment{h, b.boundaries[p], b.boundaries[p+1], edge})
			}
		}
		b.bySegment = append(b.bySegment, [2]int{start, len(b.segments)})
	}
}

func (b *builder) addHops() {
	entering := make([][]int, len(b.boundaries))
	for h := range b.c.Holders {
		for i := b.bySegment[h][0]; i < b.bySegment[h][1]; i++ {
			p, _ := slices.BinarySearch(b.boundaries, b.segments[i].first)
			entering[p] = append(entering[p], h)
		}
	}
	for _, h := range entering[0] {
		b.add(Hop{From: Source, To: h, End: b.boundaries[1], Capacity: math.Inf(1)}, b.source, b.in(h, 0))
	}
	for h := range b.c.Holders {
		for i := b.bySegment[h][0]; i < b.bySegment[h][1]; i++ {
			p, _ := slices.BinarySearch(b.boundaries, b.segments[i].end)
			b.addHopsAt(h, p, i+1 < b.bySegment[h][1], entering[p])
		}
	}
}

func (b *builder) addHopsAt(h, p int, runsOn bool, entering []int) {
	layer := b.boundaries[p]
	if layer == b.c.Layers {
		b.add(Hop{From: h, To: Sink, Layer: layer, Capacity: math.Inf(1)}, b.out(h, p), b.sink)
		return
	}
	if runsOn {
		b.add(Hop{From: h, To: h, Layer: layer, End: b.boundaries[p+1], Capacity: math.Inf(1)}, b.out(h, p), b.in(h, p))
	}
	for _, to := range b.neighbours(h, entering) {
		b.add(Hop{From: h, To: to, Layer: layer, End: b.boundaries[p+1], Capacity: b.linkRate(h, to)}, b.out(h, p), b.in(to, p))
	}
}

func (b *builder) add(hop Hop, from, to int) {
	b.hops = append(b.hops, hopEdge{hop, b.net.AddEdge(from, to, hop.Capacity)})
}

func (b *builder) linkRate(from, to int) float64 {
	if b.c.Bandwidth == nil || b.c.ActivationBytes <= 0 {
		return math.Inf(1)
	}
	return b.c.Bandwidth(from, to) / b.c.ActivationBytes
}

// neighbours returns the holders to which h may pass tokens: all, or the FanOut with the fastest links, spread evenly among equals.
func (b *builder) neighbours(h int, entering []int) []int {
	others := make([]int, 0, len(entering))
	for i := range entering {
		to := entering[(i+h)%len(entering)]
		if to != h && b.linkRate(h, to) > 0 {
			others = append(others, to)
		}
	}
	if b.c.FanOut <= 0 || len(others) <= b.c.FanOut {
		return others
	}
	costs := make([]float64, len(b.c.Holders))
	for _, to := range others {
		if b.c.Cost != nil {
			costs[to] = b.c.Cost(h, to)
		} else {
			costs[to] = -b.linkRate(h, to)
		}
	}
	slices.SortStableFunc(others, func(x, y int) int { return cmp.Compare(costs[x], costs[y]) })
	return others[:b.c.FanOut]
}

func (b *builder) result(bound float64) Flow {
	f := Flow{Bound: bound, UpperBound: max(b.limit, bound), Hops: make([]Hop, len(b.hops)), Used: make([]float64, len(b.c.Holders))}
	for i, e := range b.hops {
		f.Hops[i] = e.hop
		f.Hops[i].Flow = b.net.Flow(e.edge)
	}
	for _, s := range b.segments {
		f.Split = append(f.Split, b.net.Capacity(s.edge)/b.c.Holders[s.holder].Rate)
		f.Used[s.holder] += b.net.Flow(s.edge) * float64(s.end-s.first)
	}
	return f
}
