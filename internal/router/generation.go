package router

import (
	"context"
	"slices"
	"strings"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/dispatcher"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/tokener"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// generate runs a model request through the dispatcher.
//
// If the last chain of the version that it began on is removed, it continues with a version that can still run.
func (r *Router) generate(ctx context.Context, g receiver.Generation, emit func(receiver.Token) error) error {
	attempt := uint32(0)
	version := r.chooseVersion(g)
	for {
		job := newJob(g, version)
		job.Held = r.heldStream(g, version)
		job.OnAttempt = func(attempt uint32) { g.FirstAttempt = attempt + 1 }
		err := r.dispatcher.Run(ctx, job, func(p dispatcher.Part) error {
			r.placement.demands.recordDelivered(g.Model.Name, 1)
			g.Delivered = append(g.Delivered, p.Data)
			token := receiver.Token{Attempt: p.Attempt, Position: p.Position, Data: p.Data, Last: p.Last, Receipt: p.Receipt}
			if p.Attempt != attempt {
				attempt = p.Attempt
				token.Route = tokenStages(p.Route)
			}
			return emit(token)
		})
		if err == nil {
			return nil
		}
		g.Version = ""
		g.Held = receiver.HeldStream{}
		fallback := r.fallbackVersion(g, version)
		if !noChainLeft(refuser.From(err)) || fallback == version || g.FirstAttempt >= g.EndAttempt {
			return err
		}
		version = fallback
	}
}

// heldStream returns the stream that engines may still hold of an answer, or none if a target of its route is not listed.
func (r *Router) heldStream(g receiver.Generation, version string) dispatcher.HeldAttempt {
	if len(g.Held.Route) == 0 || version != g.Version {
		return dispatcher.HeldAttempt{}
	}
	fleet := r.tracker.Fleet()
	route := cataloger.Route{Model: g.Model.Name, Version: version}
	for _, s := range g.Held.Route {
		target, ok := findTarget(fleet, s.Target)
		if !ok {
			return dispatcher.HeldAttempt{}
		}
		route.Stages = append(route.Stages, cataloger.Stage{Target: s.Target, Address: target.Address, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer})
	}
	return dispatcher.HeldAttempt{Attempt: g.Held.Attempt, Route: route}
}

// findTarget finds a target by name; a fleet's targets are sorted by name.
func findTarget(fleet cataloger.Fleet, name string) (cataloger.Target, bool) {
	i, ok := slices.BinarySearchFunc(fleet.Targets, name, func(t cataloger.Target, name string) int {
		return strings.Compare(t.Name, name)
	})
	if !ok {
		return cataloger.Target{}, false
	}
	return fleet.Targets[i], true
}

// tokenStages converts a route to the form that resume tokens hold.
func tokenStages(route cataloger.Route) []tokener.Stage {
	stages := make([]tokener.Stage, len(route.Stages))
	for i, s := range route.Stages {
		stages[i] = tokener.Stage{Target: s.Target, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer}
	}
	return stages
}

// noChainLeft reports whether a request was refused because no chain of its version is left to run it. The fleet as this daemon
// knows it may still list one.
func noChainLeft(refusal *refuser.Refusal) bool {
	switch refusal.Code {
	case refuser.NoPipeline:
		return true
	case refuser.AttemptsExhausted, refuser.RetryBudgetSpent:
		return refusal.Fact == refuser.FactNotRun || engineer.IsNotHeld(refusal)
	}
	return false
}

// fallbackVersion returns the wanted version if it can run, else another one that can, else the same version.
func (r *Router) fallbackVersion(g receiver.Generation, version string) string {
	fallback := g.Model.Version
	if fallback == version || r.selector.Bound(versionKey(g, fallback)) == 0 {
		fallback = r.chooseVersion(g)
	}
	if r.selector.Bound(versionKey(g, fallback)) == 0 {
		return version
	}
	return fallback
}

func newJob(g receiver.Generation, version string) dispatcher.Job {
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
		// The chains of a version that is being replaced do not recover.
		job.RecoveryTimeout = -1
	}
	return job
}

func versionKey(g receiver.Generation, version string) selector.Key {
	return selector.Key{Name: g.Model.Name, Version: version, Adapter: g.Model.Adapter}
}

// chooseVersion returns the version of the model that a request runs on.
func (r *Router) chooseVersion(g receiver.Generation) string {
	wanted := selector.Model{Name: g.Model.Name, Version: g.Model.Version, Adapter: g.Model.Adapter}
	r.mu.Lock()
	draw := r.versionRandom.Float64()
	r.mu.Unlock()
	return pickVersion(wanted, g.Version, r.versionsHeld(wanted.Name), r.selector.Bound, draw)
}

// versionsHeld returns the versions of a model that engines hold.
func (r *Router) versionsHeld(model string) []string {
	if held := r.engineVersions.Load(); held != nil {
		return (*held)[model]
	}
	return nil
}
