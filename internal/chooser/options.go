package chooser

import (
	"math"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/pathfinder"
	"github.com/rattantray/rattantray/internal/placer"
	"github.com/rattantray/rattantray/internal/throttler"
)

// Obstacle is why a target is no candidate for a generation; the zero value is none.
type Obstacle string

// Obstacles, in the order in which they are looked for.
const (
	ObstacleNone      Obstacle = ""
	ObstacleLeaving   Obstacle = "leaving"
	ObstacleNotLive   Obstacle = "not-live"
	ObstacleSuspected Obstacle = "suspected"
	ObstaclePaused    Obstacle = "paused"
	ObstacleRefusing  Obstacle = "refusing"
	ObstacleNoLayers  Obstacle = "no-layers"
	// ObstacleNoRoom means that not even the most urgent generation fits, and ObstacleRoomKept that only others may use the rest.
	ObstacleNoRoom   Obstacle = "no-room"
	ObstacleRoomKept Obstacle = "room-kept-for-others"
	// ObstacleAtLimit means that the target gets as many requests as it accepts; it may still run later stages.
	ObstacleAtLimit Obstacle = "at-limit"
	// ObstacleHeldBack means that the target is not open to the generation for now for another reason.
	ObstacleHeldBack Obstacle = "held-back"
)

// Option is a target of a service as Path weighs it for a generation.
type Option struct {
	assessor.View
	// Limit is the use of the target's limit of requests.
	Limit throttler.State
	// Fill is the used share of the memory that requests may use, without the generation; MaxFill is up to where it may fill it.
	Fill, MaxFill float64
	// LayerCost is the cost of a layer and EntryCost that of a first stage, both in seconds a token; 0 for a target that is no candidate.
	LayerCost, EntryCost float64
	Obstacle             Obstacle
}

// Options returns the targets of a service as Path weighs them for a generation, sorted by name.
func (c *Chooser) Options(d Demand) []Option {
	views, limits := c.Targets.Service(d.Service), c.Limits()
	load := c.loadEstimate(views, d)
	holders := map[string]pathfinder.Holder{}
	if d.Engine.Layers > 0 {
		for _, list := range c.holders(views, d, nil, load) {
			for _, h := range list {
				holders[h.Target] = h
			}
		}
	}
	out := make([]Option, 0, len(views))
	for i := range views {
		o := Option{View: views[i], Limit: limits[views[i].Name], Obstacle: reachObstacle(&views[i])}
		if d.Engine.Layers > 0 {
			h, ok := holders[o.Name]
			o.weigh(d, load)
			o.LayerCost, o.EntryCost = h.LayerCost, h.EntryCost
			if !ok && o.Obstacle == ObstacleNone {
				o.Obstacle = ObstacleHeldBack
			}
		}
		if first, _, _ := o.ReadyLayers(); o.Obstacle == ObstacleNone && first == 0 && o.Limit.Wait > 0 {
			o.Obstacle = ObstacleAtLimit
		}
		if math.IsInf(o.EntryCost, 1) {
			o.EntryCost = 0
		}
		out = append(out, o)
	}
	return out
}

// reachObstacle returns why a target gets no requests, whatever they need.
func reachObstacle(v *assessor.View) Obstacle {
	switch {
	case v.State == cataloger.StateLeaving:
		return ObstacleLeaving
	case v.State != cataloger.StateLive:
		return ObstacleNotLive
	case v.Unreachable:
		return ObstacleSuspected
	case v.Paused > 0:
		return ObstaclePaused
	case v.Refusing:
		return ObstacleRefusing
	}
	return ObstacleNone
}

// weigh sets the fill of the option, and its obstacle if it has no other and the generation does not fit.
func (o *Option) weigh(d Demand, load loadFunc) {
	first, end, _ := o.ReadyLayers()
	if end <= first {
		if o.Obstacle == ObstacleNone {
			o.Obstacle = ObstacleNoLayers
		}
		return
	}
	layers := end - first
	used, capacity := load(&o.View, placer.MemoryOf(d.Engine, o.Kind).TokenLayers(layers), layers), d.room(&o.View, layers)
	o.MaxFill = d.Precedence.maxFill()
	if o.Fill = 1; capacity > 0 {
		o.Fill = used / capacity
	}
	if o.Obstacle != ObstacleNone || d.fits(used, capacity, layers) {
		return
	}
	mostUrgent := d
	mostUrgent.Precedence = Precedence{Returning: true, Contended: d.Precedence.Contended}
	o.Obstacle = ObstacleNoRoom
	if mostUrgent.fits(used, capacity, layers) {
		o.Obstacle = ObstacleRoomKept
	}
}
