package solver

import (
	"math"
	"slices"
)

// costTierRatio is the ratio of the costs of neighbouring tiers.
const costTierRatio = 2

// fillCheapestFirst fills the network again, tier by tier from the cheapest hops on, and returns the flow, which is still
// the maximum.
func (b *builder) fillCheapestFirst() float64 {
	tiers := b.tiers()
	byEdge := make(map[int]float64, len(b.hops))
	for i, h := range b.hops {
		if tiers[i] > 0 {
			byEdge[h.edge] = h.hop.Capacity
		}
	}
	b.net.Reset(func(edge int, old float64) float64 {
		if _, costly := byEdge[edge]; costly {
			return 0
		}
		return old
	})
	bound := b.net.MaxFlow(b.source, b.sink)
	for tier := 1; tier <= slices.Max(tiers); tier++ {
		for i, h := range b.hops {
			if tiers[i] == tier {
				b.net.SetCapacity(h.edge, h.hop.Capacity)
			}
		}
		bound += b.net.MaxFlow(b.source, b.sink)
	}
	return bound
}

// tiers returns the tier of each hop by the ratio of its cost to the cheapest; hops that are not links between holders have
// tier 0.
func (b *builder) tiers() []int {
	tiers := make([]int, len(b.hops)+1)
	costs := make([]float64, len(b.hops))
	cheapest := math.Inf(1)
	for i, h := range b.hops {
		if h.hop.From >= 0 && h.hop.To >= 0 && h.hop.From != h.hop.To {
			costs[i] = b.c.Cost(h.hop.From, h.hop.To)
			if costs[i] > 0 {
				cheapest = min(cheapest, costs[i])
			}
		}
	}
	for i, c := range costs {
		if c > cheapest {
			tiers[i] = int(math.Log(c/cheapest)/math.Log(costTierRatio) + 1)
		}
	}
	return tiers
}
