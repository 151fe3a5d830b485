package router

import (
	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/tracker"
)

// dutyLimits is the duty of the daemon that shares out the limits of a workspace.
const dutyLimits = "limits"

func (r *Router) buildAdmission() (registrar.Service, error) {
	r.admit = admitter.New(r.Clock)
	r.admit.Rand = r.random()
	return registrar.Service{
		Name:  ServiceAdmission,
		Needs: []string{ServiceConfig},
		Value: r.admit,
		Run:   r.admit.Run,
	}, nil
}

// buildLimits shares the limits of workspaces out over the entries.
func (r *Router) buildLimits() (registrar.Service, error) {
	r.limits = limiter.New(r.Clock, r.local.Name)
	r.limits.Link = r.peer.Link()
	r.limits.Owner = func(key string) cataloger.Member { return r.tracker.Owner(dutyLimits, key) }
	r.limits.Members = r.limitMembers
	r.limits.Usage = r.admit.Usage
	r.limits.Apply = r.admit.SetShares
	r.admit.InitialShare = r.limits.InitialShare
	r.admit.OnShareLimited = r.limits.RequestShares
	r.peer.Handle(limiter.Method, r.limits.Handle)
	return registrar.Service{
		Name:  ServiceLimits,
		Needs: []string{ServiceAdmission, ServiceMembers},
		Value: r.limits,
		Run:   r.limits.Run,
	}, nil
}

// configureAdmission takes on the documents in force.
func (r *Router) configureAdmission() {
	documents := r.documentsInForce()
	r.limits.Configure(documents)
	r.admit.Configure(documents)
}

// busyPerTarget is how many requests in progress keep a target busy while their stages wait for each other.
const busyPerTarget = 8

// leastPerTarget is how many still do where more wait at the entries.
const leastPerTarget = busyPerTarget / 2

// mostPerTarget is how many requests in progress a target can still be of use to; more of them only wait in it.
const mostPerTarget = 4 * busyPerTarget

// setCapacities tells admission what the targets can take. The floor is this entry's part of what keeps them busy; the
// most is that of the whole fleet, as all callers may have come to this entry.
func (r *Router) setCapacities(documents []*documenter.Document, fleet cataloger.Fleet) {
	targets := targetsServing(fleet)
	entries := max(1, len(tracker.Live(fleet.Members)))
	for _, d := range documents {
		count := targets[servedBy(d)]
		r.admit.SetCapacity(d.Name, admitter.Capacity{
			Requests: mostPerTarget * count,
			CostRate: r.boundOf(d) / float64(entries),
		})
		r.admit.SetFloor(d.Name, partOf(busyPerTarget*count, entries), partOf(leastPerTarget*count, entries))
	}
}

// partOf is an entry's part of a number of slots, rounded up.
func partOf(slots, entries int) int { return (slots + entries - 1) / entries }

// targetsServing counts the live targets by the model that they hold, or by their plain service.
func targetsServing(fleet cataloger.Fleet) map[string]int {
	targets := map[string]int{}
	for _, t := range fleet.Targets {
		switch {
		case t.State != cataloger.StateLive:
		case t.Type == cataloger.TypeService:
			targets[t.Service]++
		case len(t.Holdings) > 0:
			targets[t.Holdings[0].Model]++
		}
	}
	return targets
}

func servedBy(d *documenter.Document) string {
	if d.Model != nil {
		return d.Model.Name
	}
	return d.Name
}

// boundOf returns the tokens a second that all versions of a service's model can give; 0 for a plain service.
func (r *Router) boundOf(d *documenter.Document) float64 {
	if d.Model == nil {
		return 0
	}
	bound := 0.0
	for _, version := range r.versions(d.Model.Name) {
		bound += r.selector.Bound(selector.Key{Name: d.Model.Name, Version: version, Adapter: d.Model.Adapter})
	}
	return bound
}
