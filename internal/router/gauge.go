package router

import (
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/tracker"
)

// gauges registers what is read when the metrics are written.
func (r *Router) gauges() {
	r.meter.RegisterGauge("requests-in-progress", func() float64 { return float64(r.InProgress()) })
	r.meter.RegisterGauge("store-available", func() float64 { return asNumber(r.limiter.Available()) })
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect} {
		r.meter.RegisterGauge("members-"+string(state), func() float64 { return r.countMembers(state) })
	}
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateDead} {
		r.meter.RegisterGauge("targets-"+string(state), func() float64 { return r.countTargets(state) })
	}
	r.membershipGauges()
	r.peerGauges()
}

// membershipGauges registers what the daemon has decided on members, and its messages about them.
func (r *Router) membershipGauges() {
	for name, read := range map[string]func(tracker.Status) uint64{
		"members-suspicions":        func(s tracker.Status) uint64 { return s.Counts.Suspicions },
		"members-refutations":       func(s tracker.Status) uint64 { return s.Counts.Refutations },
		"members-losses":            func(s tracker.Status) uint64 { return s.Counts.Losses },
		"members-messages-sent":     func(s tracker.Status) uint64 { return s.Sent },
		"members-messages-received": func(s tracker.Status) uint64 { return s.Received },
		"members-messages-dropped":  func(s tracker.Status) uint64 { return s.Dropped },
	} {
		r.meter.RegisterGauge(name, func() float64 { return float64(read(r.tracker.Status())) })
	}
}

// peerGauges registers what passes over the connections to other daemons.
func (r *Router) peerGauges() {
	for name, read := range map[string]func(linker.Traffic) uint64{
		"peers-dials":          func(t linker.Traffic) uint64 { return t.Dials },
		"peers-dial-failures":  func(t linker.Traffic) uint64 { return t.DialFailures },
		"peers-refused":        func(t linker.Traffic) uint64 { return t.Refused },
		"peers-bytes-sent":     func(t linker.Traffic) uint64 { return t.BytesSent },
		"peers-bytes-received": func(t linker.Traffic) uint64 { return t.BytesReceived },
	} {
		r.meter.RegisterGauge(name, func() float64 { return float64(read(r.peer.Traffic())) })
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
		r.meter.SetGauge("bound-"+name, bound)
		if bound > 0 && r.tracker.Owner(dutyPlacement, m.Name).Name == r.local.Name {
			r.meter.SetGauge("bound-share-"+name, r.placement.offered(m.Name)/bound)
		}
	}
}

func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
