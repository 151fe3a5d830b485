package router

import (
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/tracker"
)

// registerGauges registers the gauges that are read when the metrics are written.
func (r *Router) registerGauges() {
	r.meter.RegisterGauge("requests-in-progress", func() float64 { return float64(r.InProgress()) })
	r.meter.RegisterGauge("store-available", func() float64 { return boolToFloat(r.storeLimiter.Available()) })
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect} {
		r.meter.RegisterGauge("members-"+string(state), func() float64 { return r.countMembers(state) })
	}
	for _, state := range []cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateDead} {
		r.meter.RegisterGauge("targets-"+string(state), func() float64 { return r.countTargets(state) })
	}
	r.registerMembershipGauges()
	r.registerPeerGauges()
}

// registerMembershipGauges registers the counts of status changes of members and of messages about members.
func (r *Router) registerMembershipGauges() {
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

// registerPeerGauges registers the counts of connections to other daemons and of their traffic.
func (r *Router) registerPeerGauges() {
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

// setBoundGauges sets the gauges of each model version. Only the daemon that plans a model has the offered load and sets
// its share of the bound.
func (r *Router) setBoundGauges(models []selector.Model) {
	for _, m := range models {
		name := m.Name + "-" + m.Version
		bound := r.selector.Bound(m.Key())
		r.meter.SetGauge("bound-"+name, bound)
		if bound > 0 && r.tracker.Owner(dutyPlacement, m.Name).Name == r.local.Name {
			r.meter.SetGauge("bound-share-"+name, r.placement.offeredLoad(m.Name)/bound)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
