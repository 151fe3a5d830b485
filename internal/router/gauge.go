package router

import (
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/selector"
)

// gauges registers what is read when the metrics are written.
func (r *Router) gauges() {
	r.meter.Gauge("requests-in-progress", func() float64 { return float64(r.InProgress()) })
	r.meter.Gauge("store-available", func() float64 { return asNumber(r.limiter.Available()) })
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect} {
		r.meter.Gauge("members-"+string(state), func() float64 { return r.countMembers(state) })
	}
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateDead} {
		r.meter.Gauge("targets-"+string(state), func() float64 { return r.countTargets(state) })
	}
}

func (r *Router) countMembers(state cataloger.State) float64 {
	count := 0
	for _, m := range r.tracker.Fleet().Members {
		if m.State == state {
			count++
		}
	}
	return float64(count)
}

func (r *Router) countTargets(state cataloger.State) float64 {
	count := 0
	for _, t := range r.tracker.Fleet().Targets {
		if t.State == state {
			count++
		}
	}
	return float64(count)
}

// meterBounds sets the gauges of each model version; the share of the bound is known where the model is planned.
func (r *Router) meterBounds(models []selector.Model) {
	for _, m := range models {
		name := m.Name + "-" + m.Version
		bound := r.selector.Bound(m.Key())
		r.meter.Set("bound-"+name, bound)
		if bound > 0 && r.tracker.Owner(dutyPlacement, m.Name).Name == r.local.Name {
			r.meter.Set("bound-share-"+name, r.placement.demands.total(m.Name)/bound)
		}
	}
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
