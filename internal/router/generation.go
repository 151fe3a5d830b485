package router

import (
	"context"
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/dispatcher"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/tokener"
	"github.com/rattantray/rattantray/pkg/refuser"
)

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
		job.Attempted = func(attempt uint32) { g.FirstAttempt = attempt + 1 }
		err := r.dispatch.Run(ctx, job, func(p dispatcher.Part) error {
			tokens++
			g.Delivered = append(g.Delivered, p.Data)
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
		g.Held = receiver.HeldStream{}
		other := r.otherVersion(g, version)
		if !outOfChains(refuser.From(err)) || other == version || g.FirstAttempt >= g.EndAttempt {
			return err
		}
		version = other
	}
}

// heldStream returns the stream that engines may still hold of an answer, where every target of its route is known.
func (r *Router) heldStream(g receiver.Generation, version string) dispatcher.Held {
	if len(g.Held.Route) == 0 || version != g.Version {
		return dispatcher.Held{}
	}
	fleet := r.tracker.Fleet()
	route := cataloger.Route{Model: g.Model.Name, Version: version}
	for _, s := range g.Held.Route {
		target, ok := targetNamed(fleet, s.Target)
		if !ok {
			return dispatcher.Held{}
		}
		route.Stages = append(route.Stages, cataloger.Stage{Target: s.Target, Address: target.Address, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer})
	}
	return dispatcher.Held{Attempt: g.Held.Attempt, Route: route}
}

// targetNamed finds a target in a view of the fleet, which lists them by name.
func targetNamed(fleet cataloger.Fleet, name string) (cataloger.Target, bool) {
	i, ok := slices.BinarySearchFunc(fleet.Targets, name, func(t cataloger.Target, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return cataloger.Target{}, false
	}
	return fleet.Targets[i], true
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
		EndAttempt:    g.EndAttempt,
		MaxAttempts:   g.Retry.MaxAttempts,
		RetryBudget:   g.Retry.Budget,
		Flush:         g.Flush,
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
