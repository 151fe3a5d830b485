package solver

import (
	"math"
	"slices"
)

// tierRatio is the ratio of costs from which a hop is of a dearer tier.
const tierRatio = 2

// prefer fills the network anew, tier by tier from the cheapest hops on, and returns the flow, which stays the largest.
func (b *builder) prefer() float64 {
	tiers := b.tiers()
	byEdge := make(map[int]float64, len(b.hops))
	for i, h := range b.hops {
		if tiers[i] > 0 {
			byEdge[h.edge] = h.hop.Capacity
		}
	}
	b.net.Reset(func(edge int, old float64) float64 {
		if _, dear := byEdge[edge]; dear {
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

// tiers numbers the hops by the cost over that of the cheapest; hops that are no links are of tier 0.
func (b *builder) tiers() []int {
	tiers := make([]int, len(b.hops)+1)
	costs := make([]float64, len(b.hops))
	least := math.Inf(1)
	for i, h := range b.hops {
		if h.hop.From >= 0 && h.hop.To >= 0 && h.hop.From != h.hop.To {
			costs[i] = b.c.Cost(h.hop.From, h.hop.To)
			if costs[i] > 0 {
				least = min(least, costs[i])
			}
		}
	}
	for i, c := range costs {
		if c > least {
			tiers[i] = int(math.Log(c/least)/math.Log(tierRatio) + 1)
		}
	}
	return tiers
}
