package router

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/configurer"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/operator"
	"github.com/rattantray/rattantray/internal/queuer"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/storer"
)

func (r *Router) buildConfig() (registrar.Service, error) {
	r.configChanged = queuer.NewRing[struct{}](1)
	r.config = configurer.New(r.local)
	r.config.Store = r.storeLimiter.Store(storer.ClassConfig)
	r.config.Link = r.peer.Link()
	r.config.Members = func() []cataloger.Member { return r.tracker.Fleet().Members }
	r.config.Clock = r.Clock
	r.config.Random = r.newRandom()
	r.config.Log = r.Log
	r.config.Metrics = r.meter.Registry
	r.config.MaxAge = r.Settings.ConfigMaxAge
	r.config.Prepare = r.configureAdmission
	r.config.Changed = func() {
		// A full ring already signals a change.
		_ = r.configChanged.Offer(struct{}{})
	}
	for method, handler := range r.config.Handlers() {
		r.peer.Handle(method, handler)
	}
	return registrar.Service{
		Name:  ServiceConfig,
		Needs: []string{ServiceStore, ServiceLink, ServiceMembers},
		Value: r.config,
		Run:   func(ctx context.Context) error { return r.config.Run(ctx) },
	}, nil
}

func (r *Router) documentCalls() operator.Documents {
	return operator.Documents{
		Apply:   r.config.Apply,
		Get:     r.config.Get,
		List:    r.config.List,
		Delete:  r.config.Delete,
		History: r.config.History,
		Status:  r.config.Status,
	}
}

// limitMembers returns the entries that may be using shares of limits, which are all that are not dead.
func (r *Router) limitMembers() []limiter.Member {
	var members []limiter.Member
	for _, m := range r.tracker.Fleet().Members {
		if m.State != cataloger.StateDead {
			members = append(members, limiter.Member{Name: m.Name, Suspect: m.State == cataloger.StateSuspect})
		}
	}
	return members
}
