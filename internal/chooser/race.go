package chooser

import (
	"math"

	"github.com/rattantray/rattantray/internal/assessor"
)

// meshKnown is the part of the costs that does not vary where the others' loads are known: these are some rounds of updates old, in
// which as many requests come as a pipeline takes at a time.
const meshKnown = 0.8

// knownPower is how fast the worth of a daemon's own count falls as the fleet grows: 0.44 of the costs do not vary at 27 daemons,
// 0.3 at 118 and 0.22 at 400. More variation spreads better, and lets more requests pass any one stage that is lost.
const knownPower = -0.25

// known returns the part of the costs that does not vary: all of it for a daemon alone, and less the more daemons there are
// whose requests this one does not know.
func (c *Chooser) known() float64 {
	daemons := c.Daemons()
	switch {
	case daemons <= 1:
		return 1
	case c.HasFleetLoads():
		return meshKnown
	}
	return math.Pow(float64(daemons), knownPower)
}

// racer is a holder's part in the race for a path.
type racer struct {
	view *assessor.View
	// room is the memory for requests, in tokens times layers, and used what is in progress there.
	room float64
	used float64
	// cost is that of a layer at the pace of the target's kind, in seconds a token.
	cost float64
}

// capacity is how many tokens of requests the holder has memory for.
func (r racer) capacity() float64 {
	first, end, _ := r.view.ReadyLayers()
	return r.room / float64(end-first)
}

// race returns what a layer costs at each of the holders for one request, in seconds a token.
//
// Among holders that can stand in for each other, the cheapest of costs that vary with the exponential distribution is each one
// in proportion to its rate. So daemons that know nothing of each other spread their requests over all chains by what these can
// carry, where the plain costs would send them all over the same one. What a chain can carry is bounded by its memory: a stage
// works for a tenth of the time that it keeps a request. So the part that varies is larger where there is less memory, and where a
// target is slower than its kind.
func (c *Chooser) race(racers []racer) func(r racer) float64 {
	known := c.known()
	if known == 1 {
		return func(r racer) float64 { return r.cost * max(r.view.Pace, 1) }
	}
	var cost, rate float64
	for _, r := range racers {
		cost += r.cost
		rate += 1 / r.capacity()
	}
	// A mean capacity that is harmonic weighs each holder's variation to a mean of 1.
	n := float64(len(racers))
	cost, rate = cost/n, rate/n
	return func(r racer) float64 {
		varying := c.Draw() * cost
		if rate > 0 {
			varying /= r.capacity() * rate
		}
		return (known*r.cost + (1-known)*varying) * max(r.view.Pace, 1)
	}
}
