package chooser

import (
	"math"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/placer"
)

// meanWeightRequests is the weight of the mean load over all targets beside this daemon's own load, in requests. With few requests
// at each target, this daemon's load says little about what the other daemons send there.
const meanWeightRequests = 2

// loadFunc returns the load of a target in tokens times layers, given its memory for requests, in the same unit, and the number of
// layers that it holds.
type loadFunc func(v *assessor.View, capacity float64, layers uint32) float64

// trackedLoad returns the tracked load of a target.
func trackedLoad(v *assessor.View, _ float64, _ uint32) float64 { return v.TokenLayers }

// loadEstimate returns a function for the load of a target from the full fleet.
//
// Without the loads of the other daemons, it assumes that each of them sends as much as this daemon: this daemon's own load at the
// target, shrunk towards the load that would fill all targets equally.
func (c *Chooser) loadEstimate(views []assessor.View, d Demand) loadFunc {
	daemons := float64(max(c.Daemons(), 1))
	if c.knowsLoads(d) || daemons == 1 {
		return trackedLoad
	}
	var totalUsed, totalCapacity float64
	for i := range views {
		v := &views[i]
		if first, end, _ := v.ReadyLayers(); end > first && v.Usable() {
			totalUsed += v.TokenLayers
			totalCapacity += placer.MemoryOf(d.Engine, v.Kind).TokenLayers(end - first)
		}
	}
	if totalUsed == 0 || math.IsInf(totalCapacity, 1) {
		return func(v *assessor.View, _ float64, _ uint32) float64 { return daemons * v.TokenLayers }
	}
	return func(v *assessor.View, capacity float64, layers uint32) float64 {
		mean, weight := totalUsed/totalCapacity*capacity, meanWeightRequests*d.Tokens*float64(layers)
		return daemons * mean * (weight + v.TokenLayers) / (weight + mean)
	}
}
