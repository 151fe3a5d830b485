package relayer

import (
	"cmp"
	"context"
	"math/rand/v2"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// previewTries is how many choices with random draws a preview makes, as requests are spread at random.
const previewTries = 50

// Preview is what would happen to a request that came now.
type Preview struct {
	// Refusal is nil if the request would be sent.
	Refusal *refuser.Refusal
	// Path is that of a generation, with mean costs.
	Path []cataloger.Stage
	// Demand is what the generation needs, and Options are all targets as its path was chosen from them.
	Demand  chooser.Demand
	Options []chooser.Option
	// FirstTargets are the shares of such generations that would be sent to each first target; the rest would be refused.
	FirstTargets map[string]float64
	// Suspected is true if requests like it may have crashed a target, so that all of them go to the same one.
	Suspected bool
	// Instances are those of a plain service, the best first.
	Instances []forwarder.Preference
}

// IsGeneration reports whether the request is sent over a path of engines; others are sent to one instance.
func (r *Request) IsGeneration() bool {
	return r.Service.Engine != nil && r.Route.Kind == matcher.KindStreaming
}

// Classify sets how urgent the request is by the configuration.
func (r *Request) Classify(m *matcher.Matcher) {
	service := r.Service.Name
	r.Priority = m.Priority(r.Route, r.Workspace)
	r.SharesLoads, r.Precedence.Contended = m.SharesLoads(service), m.Contended(service)
	if r.Precedence.Rank = m.Rank(service, r.Priority); r.Precedence.Contended {
		r.Priority = m.Urgency(service, r.Priority, r.Route)
		r.Precedence.Rank = r.Priority
	}
}

// Preview decides on a request as Serve does. It sends nothing, and leaves loads, budgets, limits and quarantines as they are.
func (r *Relayer) Preview(req *Request) Preview {
	if refusal := r.closingRefusal(req); refusal != nil {
		return Preview{Refusal: refusal}
	}
	if req.IsGeneration() {
		return r.previewGeneration(req)
	}
	return r.previewPlain(req)
}

// previewGeneration decides on a generation with mean costs and then, for the shares of its first targets, with random ones.
func (r *Relayer) previewGeneration(req *Request) Preview {
	now, typical := r.Clock.Now(), *req
	if typical.Precedence.Contended {
		typical.Precedence.Ahead = r.ranker.Ahead(req.Service.Name, req.Precedence.Rank, req.demand().Tokens, now)
	}
	beyond := 0.0
	if req.SharesLoads {
		beyond = r.Shares.Beyond(req.Service.Name, string(req.Workspace), now)
	}
	typical.Precedence.Beyond = beyond > 0.5
	mean := r.withChooser(r.Chooser.Snapshot(func() float64 { return 1 }))
	p := Preview{Demand: typical.demand(), FirstTargets: map[string]float64{}}
	p.Options = mean.Chooser.Options(p.Demand)
	p.Path, p.Suspected, p.Refusal = mean.choose(&typical)
	random := r.withChooser(r.Chooser.Snapshot(r.Chooser.Draw))
	for range previewTries {
		try := typical
		try.Precedence.Draw, try.Precedence.Beyond = rand.Float64(), rand.Float64() < beyond
		if path, _, refusal := random.choose(&try); refusal == nil {
			p.FirstTargets[path[0].Target] += 1.0 / previewTries
		}
	}
	return p
}

// withChooser returns a relayer without requests that knows what r knows and chooses with c.
func (r *Relayer) withChooser(c *chooser.Chooser) *Relayer {
	return &Relayer{Targets: r.Targets, Quarantiner: r.Quarantiner, Throttler: r.Throttler, Clock: r.Clock, Log: zerolog.Nop(), Chooser: c}
}

// choose returns the path of a generation, without the permit that its first target may call for, or a refusal.
func (r *Relayer) choose(req *Request) (path []cataloger.Stage, suspected bool, refusal *refuser.Refusal) {
	g := &generation{relayer: r, request: req, keys: req.keys(), avoid: map[string]bool{}}
	// The check before a repeat makes no trial of a quarantined request.
	if refusal := g.admit(true); refusal != nil {
		return nil, false, refusal
	}
	path, ok := g.findPath(context.Background())
	if !ok {
		return nil, g.suspected != nil, r.refuseWithoutPath(req.demand())
	}
	return path, g.suspected != nil, nil
}

// previewPlain decides on a request to a plain service.
func (r *Relayer) previewPlain(req *Request) Preview {
	service := req.Service.Name
	p := Preview{Instances: r.Balancer.Preferences(r.pickableInstances(service), r.heldBack(service))}
	keys := []quarantiner.Key{quarantiner.RequestKey(service, req.Method, req.URI, req.Body)}
	if d := r.Quarantiner.Check(keys); d.Verdict == quarantiner.Quarantined {
		p.Refusal = quarantinedRequest().WithRetryAfter(d.Wait)
	} else if len(p.Instances) == 0 || !p.Instances[0].Allowed {
		p.Refusal = refuser.New(refuser.NoTarget, "no instance of %s takes requests", service).
			WithRetryAfter(cmp.Or(r.Chooser.WaitForTarget(service), breaker.MinOpen))
	}
	return p
}
