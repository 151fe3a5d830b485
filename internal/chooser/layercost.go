package chooser

import (
	"math"

	"github.com/rattantray/rattantray/internal/assessor"
)

// meshFixedShare is the fixed share of the costs where the loads of the other daemons are tracked. The rest is random, since these
// loads are some rounds of updates old, in which as many requests arrive as a pipeline runs at a time.
const meshFixedShare = 0.8

// fixedShareExponent sets how fast the fixed share of the costs falls as the fleet grows: it is 0.44 at 27 daemons, 0.3 at 118 and
// 0.22 at 400. A larger random share spreads requests better, but sends more of them through any one stage that is lost.
const fixedShareExponent = -0.25

// fixedShare returns the share of the costs that is not random: 1 for a single daemon, and less the more daemons there are whose
// loads are not tracked.
func (c *Chooser) fixedShare() float64 {
	daemons := c.Daemons()
	switch {
	case daemons <= 1:
		return 1
	case c.HasFleetLoads():
		return meshFixedShare
	}
	return math.Pow(float64(daemons), fixedShareExponent)
}

// candidate is a target that can run some layers of a generation.
type candidate struct {
	view *assessor.View
	// capacity is the memory for requests and used the load, both in tokens times layers.
	capacity float64
	used     float64
	// cost is the time of a layer at the pace of the target's kind, in seconds a token.
	cost float64
	// heldBack is true for a target that has started or come back, and gets no more for now than others have no room for.
	heldBack bool
}

// tokenCapacity returns how many tokens of requests fit into the memory of the target.
func (cand candidate) tokenCapacity() float64 {
	first, end, _ := cand.view.ReadyLayers()
	return cand.capacity / float64(end-first)
}

// layerCosts returns the cost of a layer at each candidate for one request, in seconds a token.
//
// A share of each cost is random, drawn from the exponential distribution. Among candidates for the same layers, each then has the
// lowest cost with a probability in proportion to its rate. So daemons without each other's loads spread their requests over all
// chains of targets in proportion to the capacity of these; fixed costs would send all requests over the same chain. Memory bounds
// the capacity of a chain: a stage works for a tenth of the time that it keeps a request. So the random share is larger for a
// candidate with less memory, and for a target that is slower than its kind.
func (c *Chooser) layerCosts(candidates []candidate) func(cand candidate) float64 {
	fixed := c.fixedShare()
	if fixed == 1 {
		return func(cand candidate) float64 { return cand.cost * max(cand.view.Pace, 1) }
	}
	var cost, rate float64
	for _, cand := range candidates {
		cost += cand.cost
		rate += 1 / cand.tokenCapacity()
	}
	// Scaled by the harmonic mean of the capacities, the weights of the random shares have a mean of 1.
	n := float64(len(candidates))
	cost, rate = cost/n, rate/n
	return func(cand candidate) float64 {
		random := c.Draw() * cost
		if rate > 0 {
			random /= cand.tokenCapacity() * rate
		}
		return (fixed*cand.cost + (1-fixed)*random) * max(cand.view.Pace, 1)
	}
}
