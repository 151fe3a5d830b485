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

// Chains is the problem of running as many tokens a second as possible through a model over chains of holders.
type Chains struct {
	Layers uint32
	// Holders are numbered by their index in the slice.
	Holders []Holder
	// ActivationBytes is the number of bytes that one token sends over a link; 0 makes links unlimited.
	ActivationBytes float64
	// Bandwidth returns the bytes a second from one holder to another; nil makes links unlimited.
	Bandwidth func(from, to int) float64
	// Cost returns the seconds that a hop takes; if it is not nil, cheap hops are filled before expensive ones.
	Cost func(from, to int) float64
	// FanOut limits the links out of a holder at one layer to the cheapest or, without Cost, the fastest ones; 0 means no limit.
	FanOut int
	// Rounds is the number of rounds that improve how overlapping holders split their rate over their layers. 0 means fewer
	// rounds the more holders there are, and a negative number none.
	Rounds int
	// InitialSplit is the Flow.Split of a problem with the same ranges and similar rates, or nil. It is used instead of
	// computing a split, which saves most of the time.
	InitialSplit []float64
}

const (
	maxRounds = 40
	// maxRoundsTimesHolders is the maximum product of rounds and holders; more rounds are not worth their time.
	maxRoundsTimesHolders = 2000
)

// Source and Sink stand for the ends of a chain in Hop.
const (
	Source = -1
	Sink   = -2
)

// Hop is the flow that goes from holder From to holder To before layer Layer.
type Hop struct {
	// From is a holder or Source, To is a holder or Sink; if they are equal, the holder itself runs the next layers.
	From  int
	To    int
	Layer uint32
	// End is the first layer at which the token may leave To; 0 for Sink.
	End uint32
	// Flow and Capacity are in tokens a second.
	Flow     float64
	Capacity float64
}

// Flow is a feasible distribution of tokens over chains.
type Flow struct {
	// Bound is the flow in tokens a second. It is the exact maximum if no holders overlap or links are unlimited, else at
	// most the maximum.
	Bound float64
	// UpperBound is the number of tokens a second that no flow exceeds: the maximum with unlimited links if holders overlap,
	// else Bound. With InitialSplit it is not computed, and is only the value of Bound.
	UpperBound float64
	// Hops lists every possible hop, also those without flow, ordered by From, then Layer.
	Hops []Hop
	// Split is the share of its holder's rate that each segment has, in the order of the holders. The segments of a holder are
	// its layers, divided where another holder begins or ends.
	Split []float64
	// Used is the layer-tokens a second that the flow uses of each holder.
	Used []float64
}

// Solve returns the largest flow that it finds over all chains.
func (c Chains) Solve() Flow {
	b := newBuilder(c)
	b.addSegments()
	reused := b.applyInitialSplit()
	if !reused {
		b.splitRates()
	}
	b.addHops()
	bound := b.maximizeFlow()
	if rounds := c.rounds(); !reused && rounds > 0 && b.overlaps() {
		bound = b.improveSplit(bound, rounds)
	}
	if c.Cost != nil {
		bound = b.fillCheapestFirst()
	}
	return b.result(bound)
}

func (c Chains) rounds() int {
	if c.Rounds != 0 {
		return c.Rounds
	}
	return min(maxRoundsTimesHolders/max(len(c.Holders), 1), maxRounds)
}

// segment is the range of layers between two neighbouring boundaries on one holder.
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
	// firstNode is the number of each holder's first node; a holder has an in-node and an out-node per boundary.
	firstNode     []int
	firstBoundary []int
	segments      []segment
	// segmentRanges holds the range of each holder's segments in segments.
	segmentRanges [][2]int
	hops          []hopEdge
	// upperBound is the bound with unlimited links; 0 if it was not computed.
	upperBound float64
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
		b.firstNode = append(b.firstNode, nodes)
		b.firstBoundary = append(b.firstBoundary, first)
		nodes += 2 * max(end-first+1, 0)
	}
	b.net = NewNetwork(nodes)
	b.source, b.sink = 0, 1
	return b
}

// inNode returns the node where a token enters holder h at boundary p, and outNode the node where it leaves.
func (b *builder) inNode(h, p int) int  { return b.firstNode[h] + 2*(p-b.firstBoundary[h]) }
func (b *builder) outNode(h, p int) int { return b.inNode(h, p) + 1 }

func (b *builder) addSegments() {
	for h, holder := range b.c.Holders {
		start := len(b.segments)
		end := min(holder.EndLayer, b.c.Layers)
		if holder.FirstLayer < end && holder.Rate > 0 {
			rate := holder.Rate / float64(end-holder.FirstLayer)
			for p := b.firstBoundary[h]; b.boundaries[p] < end; p++ {
				edge := b.net.AddEdge(b.inNode(h, p), b.outNode(h, p+1), rate)
				b.segments = append(b.segments, segment{h, b.boundaries[p], b.boundaries[p+1], edge})
			}
		}
		b.segmentRanges = append(b.segmentRanges, [2]int{start, len(b.segments)})
	}
}

func (b *builder) addHops() {
	entering := make([][]int, len(b.boundaries))
	for h := range b.c.Holders {
		for i := b.segmentRanges[h][0]; i < b.segmentRanges[h][1]; i++ {
			p, _ := slices.BinarySearch(b.boundaries, b.segments[i].first)
			entering[p] = append(entering[p], h)
		}
	}
	for _, h := range entering[0] {
		b.addHop(Hop{From: Source, To: h, End: b.boundaries[1], Capacity: math.Inf(1)}, b.source, b.inNode(h, 0))
	}
	for h := range b.c.Holders {
		for i := b.segmentRanges[h][0]; i < b.segmentRanges[h][1]; i++ {
			p, _ := slices.BinarySearch(b.boundaries, b.segments[i].end)
			b.addHopsAt(h, p, i+1 < b.segmentRanges[h][1], entering[p])
		}
	}
}

func (b *builder) addHopsAt(h, p int, runsOn bool, entering []int) {
	layer := b.boundaries[p]
	if layer == b.c.Layers {
		b.addHop(Hop{From: h, To: Sink, Layer: layer, Capacity: math.Inf(1)}, b.outNode(h, p), b.sink)
		return
	}
	if runsOn {
		b.addHop(Hop{From: h, To: h, Layer: layer, End: b.boundaries[p+1], Capacity: math.Inf(1)}, b.outNode(h, p), b.inNode(h, p))
	}
	for _, to := range b.neighbours(h, entering) {
		b.addHop(Hop{From: h, To: to, Layer: layer, End: b.boundaries[p+1], Capacity: b.linkRate(h, to)}, b.outNode(h, p), b.inNode(to, p))
	}
}

func (b *builder) addHop(hop Hop, from, to int) {
	b.hops = append(b.hops, hopEdge{hop, b.net.AddEdge(from, to, hop.Capacity)})
}

func (b *builder) linkRate(from, to int) float64 {
	if b.c.Bandwidth == nil || b.c.ActivationBytes <= 0 {
		return math.Inf(1)
	}
	return b.c.Bandwidth(from, to) / b.c.ActivationBytes
}

// neighbours returns the holders to which h may send tokens: all, or the FanOut cheapest or fastest ones. The order of equal
// ones depends on h, so that the holders' choices are spread evenly.
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
	f := Flow{Bound: bound, UpperBound: max(b.upperBound, bound), Hops: make([]Hop, len(b.hops)), Used: make([]float64, len(b.c.Holders))}
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
