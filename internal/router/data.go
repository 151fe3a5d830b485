package router

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/dispatcher"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/subscriber"
	"github.com/rattantray/rattantray/internal/tokener"
	"github.com/rattantray/rattantray/internal/tracker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	reweighInterval = time.Second
	// slowStart is how long a target that joins or returns takes to get its whole share.
	slowStart = 2 * time.Second
	// reweighPause is the pause after computing weights, in multiples of the time that it took.
	reweighPause   = 100
	settleInterval = 100 * time.Millisecond
	dutyLimits     = "limits"
)

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
	r.admit.InitialShare = r.limits.Initial
	r.admit.Starved = r.limits.Kick
	r.peer.Handle(limiter.Method, r.limits.Handle)
	return registrar.Service{
		Name:  ServiceLimits,
		Needs: []string{ServiceAdmission, ServiceMembers},
		Value: r.limits,
		Run:   r.limits.Run,
	}, nil
}

func (r *Router) buildSelection() (registrar.Service, error) {
	r.selector = selector.New(r.Clock, r.random())
	r.selector.SlowStart = slowStart
	r.dispatch = dispatcher.New(r.Clock, r.random(), r.Log, r.meter.Registry, r.selector, r.engines)
	return registrar.Service{
		Name:  ServiceSelection,
		Needs: []string{ServiceMembers, ServiceConfig},
		Value: r.selector,
		Run:   r.runSelection,
		Stop:  func(context.Context) error { return r.stopSelection() },
	}, nil
}

// buildCacheEvents follows the prefix caches of engines in this data centre.
func (r *Router) buildCacheEvents() (registrar.Service, error) {
	s := &subscriber.Subscriber{
		Self:    r.local.Name,
		Streams: subscriber.DefaultStreams,
		Engines: r.nearEngines,
		Busy:    func(target string) bool { return r.selector.Outstanding(target) > 0 },
		Open: func(ctx context.Context, address string) (*engineer.Events, error) {
			return r.engines.Get(address).CacheEvents(ctx, &enginev1.CacheEventsRequest{})
		},
		Observe: r.selector.ObserveCache,
		Doubt:   r.selector.DoubtCache,
		Clock:   r.Clock,
		Random:  r.random(),
		Log:     r.Log,
		Metrics: r.meter.Registry,
	}
	return registrar.Service{
		Name:  ServiceCacheEvents,
		Needs: []string{ServiceMembers, ServiceSelection},
		Value: s,
		Run:   s.Run,
	}, nil
}

// nearEngines returns the live engines of this data centre that hold layers.
func (r *Router) nearEngines() []cataloger.Target {
	var near []cataloger.Target
	for _, t := range r.tracker.Fleet().Targets {
		if t.Type == cataloger.TypeEngine && t.State == cataloger.StateLive && t.DataCentre == r.local.DataCentre && len(t.Holdings) > 0 {
			near = append(near, t)
		}
	}
	return near
}

func (r *Router) stopSelection() error {
	r.dispatch.Wait()
	r.engines.Close()
	r.plain.Close()
	return nil
}

// runSelection takes each change of the fleet and of the documents into the selector and the admitter.
//
// The states of targets are taken on at once. Weights take a second and more to compute on a large fleet, so that
// they are renewed at a pace that bounds their share of a core.
func (r *Router) runSelection(ctx context.Context) error {
	fleetChanged, stop := r.tracker.Subscribe()
	defer stop()
	reweigh := time.NewTicker(reweighInterval)
	defer reweigh.Stop()
	r.configureAdmission()
	r.indexInstances(r.tracker.Fleet())
	next := time.Time{}
	for {
		now := r.Clock.Now()
		if !now.Before(next) {
			r.updateSelection()
			took := r.Clock.Now().Sub(now)
			next = r.Clock.Now().Add(max(settleInterval, reweighPause*took))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reweigh.C:
		case <-fleetChanged:
			fleet := r.tracker.Fleet()
			r.selector.Refresh(doubtCutOff(fleet, r.local))
			r.indexInstances(fleet)
		case <-r.changed.Values():
			r.configureAdmission()
		}
		// Changes come in bursts; one pass takes the whole burst in.
		if err := r.Clock.Sleep(ctx, settleInterval); err != nil {
			return err
		}
	}
}

// configureAdmission takes on the documents in force.
func (r *Router) configureAdmission() {
	documents := r.documentsInForce()
	r.limits.Configure(documents)
	r.admit.Configure(documents)
}

// updateSelection computes the weights, and what else follows from documents and fleet together.
func (r *Router) updateSelection() {
	documents := r.documentsInForce()
	fleet := r.tracker.Fleet()
	held := heldVersions(fleet)
	models := modelVersions(documents, held)
	r.selector.Update(doubtCutOff(fleet, r.local), models)
	r.meterBounds(models)
	r.held.Store(&held)
	r.setCapacities(documents, fleet)
}

// busyPerTarget is how many requests in progress keep a target busy while their stages wait for each other.
const busyPerTarget = 4

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
		r.admit.SetFloor(d.Name, (busyPerTarget*count+entries-1)/entries)
	}
}

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

func (r *Router) documentsInForce() []*documenter.Document {
	var documents []*documenter.Document
	for _, name := range r.config.Services() {
		if d, _, ok := r.config.Lookup(name); ok {
			documents = append(documents, d)
		}
	}
	return documents
}

func modelOf(d *documenter.Document) selector.Model {
	return selector.Model{
		Name:            d.Model.Name,
		Version:         d.Model.Version,
		Adapter:         d.Model.Adapter,
		Layers:          d.Model.Layers,
		ActivationBytes: d.Model.ActivationBytes,
	}
}

// generate runs a model request through the dispatcher.
//
// Where the last chain of the version that it began on is taken down, it goes on with a version that can still run.
func (r *Router) generate(ctx context.Context, g receiver.Generation, emit func(receiver.Token) error) error {
	tokens, attempt := 0, uint32(0)
	defer func() { r.placement.demands.delivered(g.Model.Name, tokens) }()
	version := r.version(g)
	for {
		job := jobOf(g, version)
		job.Held = r.heldStream(g, version)
		err := r.dispatch.Run(ctx, job, func(p dispatcher.Part) error {
			tokens++
			g.Delivered = append(g.Delivered, p.Data)
			g.FirstAttempt = p.Attempt
			token := receiver.Token{Attempt: p.Attempt, Position: p.Position, Data: p.Data, Last: p.Last, Receipt: p.Receipt}
			if p.Attempt != attempt {
				attempt = p.Attempt
				token.Route = claimed(p.Route)
			}
			return emit(token)
		})
		if err == nil {
			return nil
		}
		g.Version = ""
		g.Held = receiver.Held{}
		other := r.otherVersion(g, version)
		if !outOfChains(refuser.From(err)) || other == version {
			return err
		}
		version = other
		g.FirstAttempt += versionStride
	}
}

// heldStream returns the stream that engines may still hold of an answer, where every target of its route is known.
func (r *Router) heldStream(g receiver.Generation, version string) dispatcher.Held {
	if len(g.Held.Route) == 0 || version != g.Version {
		return dispatcher.Held{}
	}
	addresses := map[string]string{}
	for _, t := range r.tracker.Fleet().Targets {
		addresses[t.Name] = t.Address
	}
	route := cataloger.Route{Model: g.Model.Name, Version: version}
	for _, s := range g.Held.Route {
		address, ok := addresses[s.Target]
		if !ok {
			return dispatcher.Held{}
		}
		route.Stages = append(route.Stages, cataloger.Stage{Target: s.Target, Address: address, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer})
	}
	return dispatcher.Held{Attempt: g.Held.Attempt, Route: route}
}

// claimed returns a route as resume tokens say it.
func claimed(route cataloger.Route) []tokener.Stage {
	list := make([]tokener.Stage, len(route.Stages))
	for i, s := range route.Stages {
		list[i] = tokener.Stage{Target: s.Target, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer}
	}
	return list
}

// outOfChains tells whether a version has no chain any more that takes the request.
func outOfChains(refusal *refuser.Refusal) bool {
	switch refusal.Code {
	case refuser.NoPipeline:
		return true
	case refuser.AttemptsExhausted, refuser.RetryBudgetSpent:
		return refusal.Fact == refuser.FactNotRun
	}
	return false
}

// otherVersion returns the wanted version where it can run, else one that can, else the same again.
func (r *Router) otherVersion(g receiver.Generation, version string) string {
	other := g.Model.Version
	if other == version || r.selector.Bound(versionKey(g, other)) == 0 {
		other = r.version(g)
	}
	if r.selector.Bound(versionKey(g, other)) == 0 {
		return version
	}
	return other
}

// versionStride keeps the attempts on another version above those that were made.
const versionStride = 64

func jobOf(g receiver.Generation, version string) dispatcher.Job {
	job := dispatcher.Job{
		Workspace:     string(g.Workspace),
		Service:       g.Service,
		RequestID:     g.Execution,
		Model:         g.Model.Name,
		Version:       version,
		Adapter:       g.Model.Adapter,
		Layers:        g.Model.Layers,
		Prompt:        g.Prompt,
		MaxTokens:     g.MaxTokens,
		Priority:      g.Priority,
		Deadline:      g.Deadline,
		StartPosition: uint64(len(g.Delivered)),
		Delivered:     g.Delivered,
		FirstAttempt:  g.FirstAttempt,
		MaxAttempts:   g.Retry.MaxAttempts,
		RetryBudget:   g.Retry.Budget,
	}
	if version != g.Model.Version {
		// The chains of a version that is rolled out of the fleet do not come back.
		job.RecoverWait = -1
	}
	return job
}

func versionKey(g receiver.Generation, version string) selector.Key {
	return selector.Key{Name: g.Model.Name, Version: version, Adapter: g.Model.Adapter}
}

// version returns the version of the model that a request runs on.
func (r *Router) version(g receiver.Generation) string {
	wanted := selector.Model{Name: g.Model.Name, Version: g.Model.Version, Adapter: g.Model.Adapter}
	r.mu.Lock()
	draw := r.draws.Float64()
	r.mu.Unlock()
	return pickVersion(wanted, g.Version, r.versions(wanted.Name), r.selector.Bound, draw)
}

// versions returns the versions of a model that engines hold.
func (r *Router) versions(model string) []string {
	if held := r.held.Load(); held != nil {
		return (*held)[model]
	}
	return nil
}
