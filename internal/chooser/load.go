package chooser

import (
	"math"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/placer"
)

// meanRequests is how many requests the mean over all targets counts for beside this daemon's own: with few requests at each
// target the own count says little of what the others send there.
const meanRequests = 2

// loadFunc returns what is in progress at a target with so much memory for requests on so many layers, in tokens times layers.
type loadFunc func(v *assessor.View, room float64, layers uint32) float64

// ownLoad is what is known to be in progress.
func ownLoad(v *assessor.View, _ float64, _ uint32) float64 { return v.TokenLayers }

// load returns what is in progress at a target on the whole fleet.
//
// Where the others' loads are not known, each is taken to send as much as this daemon: its own count at the target, drawn towards
// the count that would fill all targets alike.
func (c *Chooser) load(views []assessor.View, d Demand) loadFunc {
	daemons := float64(max(c.Daemons(), 1))
	if c.HasFleetLoads() || daemons == 1 {
		return ownLoad
	}
	var used, all float64
	for i := range views {
		v := &views[i]
		if first, end, _ := v.ReadyLayers(); end > first && v.Usable() {
			used += v.TokenLayers
			all += placer.MemoryOf(d.Engine, v.Kind).TokenLayers(end - first)
		}
	}
	if used == 0 || math.IsInf(all, 1) {
		return func(v *assessor.View, _ float64, _ uint32) float64 { return daemons * v.TokenLayers }
	}
	return func(v *assessor.View, room float64, layers uint32) float64 {
		mean, weight := used/all*room, meanRequests*d.Tokens*float64(layers)
		return daemons * mean * (weight + v.TokenLayers) / (weight + mean)
	}
}
