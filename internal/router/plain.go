package router

import (
	"context"
	"slices"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/forwarder"
)

// forward runs a request on the instances of a plain service.
func (r *Router) forward(ctx context.Context, doc *documenter.Document, req forwarder.Request) (forwarder.Answer, error) {
	policy := forwarder.Policy{MaxAttempts: doc.Retry.MaxAttempts, Budget: doc.Retry.Budget}
	return r.balancer.Do(ctx, r.instances(doc.Name), req, policy)
}

// instances returns the targets that serve a plain service.
func (r *Router) instances(service string) []cataloger.Target {
	if index := r.plainTargets.Load(); index != nil {
		return (*index)[service]
	}
	return nil
}

// indexInstances indexes the instances of a fleet by service, so that a request need not search the fleet.
func (r *Router) indexInstances(fleet cataloger.Fleet) {
	index := map[string][]cataloger.Target{}
	names := map[string]bool{}
	for _, t := range fleet.Targets {
		if t.Type == cataloger.TypeService {
			index[t.Service] = append(index[t.Service], t)
			names[t.Name] = true
		}
	}
	r.plainTargets.Store(&index)
	r.balancer.Retain(names)
}

func (r *Router) hasLiveInstance(service string) bool {
	return slices.ContainsFunc(r.instances(service), func(t cataloger.Target) bool { return t.State == cataloger.StateLive })
}
