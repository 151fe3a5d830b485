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

// dutyLimits is the duty of dividing the limits of a workspace among the entries.
const dutyLimits = "limits"

func (r *Router) buildAdmission() (registrar.Service, error) {
	r.admitter = admitter.New(r.Clock)
	r.admitter.Rand = r.newRandom()
	return registrar.Service{
		Name:  ServiceAdmission,
		Needs: []string{ServiceConfig},
		Value: r.admitter,
		Run:   r.admitter.Run,
	}, nil
}

// buildLimits builds the service that divides the limits of workspaces among the entries.
func (r *Router) buildLimits() (registrar.Service, error) {
	r.limits = limiter.New(r.Clock, r.local.Name)
	r.limits.Link = r.peer.Link()
	r.limits.Owner = func(key string) cataloger.Member { return r.tracker.Owner(dutyLimits, key) }
	r.limits.Members = r.limitMembers
	r.limits.Usage = r.admitter.Usage
	r.limits.Apply = r.admitter.SetShares
	r.admitter.InitialShare = r.limits.InitialShare
	r.admitter.OnShareLimited = r.limits.RequestShares
	r.peer.Handle(limiter.Method, r.limits.Handle)
	return registrar.Service{
		Name:  ServiceLimits,
		Needs: []string{ServiceAdmission, ServiceMembers},
		Value: r.limits,
		Run:   r.limits.Run,
	}, nil
}

// configureAdmission applies the next documents in force.
func (r *Router) configureAdmission(documents []*documenter.Document) {
	r.limits.Configure(documents)
	r.admitter.Configure(documents)
}

// busyPerTarget is the number of requests in progress that keeps a target busy while their stages wait for each other.
const busyPerTarget = 8

// minBusyPerTarget is the number that still keeps a target busy if more requests wait at the entries.
const minBusyPerTarget = busyPerTarget / 2

// maxPerTarget is the maximum of requests in progress on a target; any more would only wait inside it.
const maxPerTarget = 4 * busyPerTarget

// setCapacities sets the limits of admission from the capacity of the targets. The floor is this entry's share of the
// requests that keep them busy. The maximum is that of the whole fleet, as all callers may have come to this entry.
func (r *Router) setCapacities(documents []*documenter.Document, fleet cataloger.Fleet) {
	targetCounts := countLiveTargets(fleet)
	entryCount := max(1, len(tracker.Live(fleet.Members)))
	for _, d := range documents {
		targetCount := targetCounts[servedName(d)]
		r.admitter.SetCapacity(d.Name, admitter.Capacity{
			Requests: maxPerTarget * targetCount,
			CostRate: r.serviceBound(d) / float64(entryCount),
		})
		r.admitter.SetFloor(d.Name, shareOf(busyPerTarget*targetCount, entryCount), shareOf(minBusyPerTarget*targetCount, entryCount))
	}
}

// shareOf returns an entry's share of a number of slots, rounded up.
func shareOf(slots, entries int) int { return (slots + entries - 1) / entries }

// countLiveTargets counts the live targets by the model that they hold, or by their plain service.
func countLiveTargets(fleet cataloger.Fleet) map[string]int {
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

func servedName(d *documenter.Document) string {
	if d.Model != nil {
		return d.Model.Name
	}
	return d.Name
}

// serviceBound returns the sum of the max-flow bounds of all versions of a service's model, in tokens a second; it is 0
// for a plain service.
func (r *Router) serviceBound(d *documenter.Document) float64 {
	if d.Model == nil {
		return 0
	}
	bound := 0.0
	for _, version := range r.versionsHeld(d.Model.Name) {
		bound += r.selector.Bound(selector.Key{Name: d.Model.Name, Version: version, Adapter: d.Model.Adapter})
	}
	return bound
}
