package previewer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// defaultTimeout is the time that a request may take on a route without one.
const defaultTimeout = time.Minute

// Errors of a query that can't be answered.
var (
	ErrNoConfiguration  = errors.New("the gateway has no configuration yet")
	ErrNoRoute          = errors.New("no route")
	ErrUnknownWorkspace = errors.New("unknown workspace")
	ErrUnknownService   = errors.New("unknown service")
)

// Previewer answers queries; set its fields before use.
type Previewer struct {
	// Gateway is the name of the gateway, in DataCentre.
	Gateway    string
	DataCentre string
	// Matcher returns the configuration in force, or nil.
	Matcher func() *matcher.Matcher
	// Decide decides on a request without sending it.
	Decide func(req *relayer.Request) relayer.Preview
	Now    func() time.Time
}

// Answer returns where the request of a query would go now.
func (p *Previewer) Answer(q Query) (Answer, error) {
	m := p.Matcher()
	if m == nil {
		return Answer{}, ErrNoConfiguration
	}
	route, ok := m.Route(q.Host, q.Path)
	if !ok {
		return Answer{}, errors.Mark(errors.Newf("no route for %s%s in version %d of the configuration", q.Host, q.Path, m.Version()), ErrNoRoute)
	}
	a := Answer{Gateway: p.Gateway, DataCentre: p.DataCentre, ConfigVersion: m.Version(), Route: route.Name, Services: shares(route)}
	if m.RequiresKey(route) {
		switch {
		case q.Workspace == "":
			a.refuse(refuser.New(refuser.Unauthenticated, "the route needs a key, and no workspace is named"))
			return a, nil
		case !m.HasWorkspace(q.Workspace):
			return Answer{}, errors.Mark(errors.Newf("no workspace of this name in version %d of the configuration", m.Version()), ErrUnknownWorkspace)
		}
		a.Workspace = string(q.Workspace)
	}
	service, err := service(m, &a, q)
	if err != nil {
		return Answer{}, err
	}
	if service == nil {
		a.refuse(refuser.New(refuser.NoTarget, "route %s leads to no service", route.Name))
		return a, nil
	}
	req := p.request(m, route, service, q)
	a.Service, a.Priority = service.Name, m.Priority(route, req.Workspace)
	a.Rank, a.Contended = req.Precedence.Rank, req.Precedence.Contended
	a.describe(p.Decide(req), req.IsGeneration())
	return a, nil
}

// request returns the request of a query.
func (p *Previewer) request(m *matcher.Matcher, route *matcher.Route, service *matcher.Service, q Query) *relayer.Request {
	now := p.Now()
	req := &relayer.Request{
		Method: q.Method, URI: q.Path, Host: q.Host, Route: route, Service: service, ConfigVersion: m.Version(), Arrived: now,
		Deadline: now.Add(cmp.Or(route.Timeout, defaultTimeout)), Model: q.Model, PromptParts: q.Parts,
		PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens, HintTokens: q.HintTokens,
	}
	if m.RequiresKey(route) {
		req.Workspace = q.Workspace
	}
	req.Classify(m)
	return req
}

// shares returns the shares of the services of a route, the largest first.
func shares(route *matcher.Route) []Share {
	total := 0.0
	for _, s := range route.Shares {
		total += max(s.Weight, 0)
	}
	out := []Share{}
	for _, s := range route.Shares {
		out = append(out, Share{Name: s.Service, Share: round(max(s.Weight, 0) / max(total, math.SmallestNonzeroFloat64))})
	}
	slices.SortStableFunc(out, func(a, b Share) int { return cmp.Compare(b.Share, a.Share) })
	return out
}

// service returns the service that the query names, or else that with the largest share; nil if the route leads to none.
func service(m *matcher.Matcher, a *Answer, q Query) (*matcher.Service, error) {
	name := q.Service
	if name == "" {
		if len(a.Services) == 0 {
			return nil, nil
		}
		name = a.Services[0].Name
	}
	if !slices.ContainsFunc(a.Services, func(s Share) bool { return s.Name == name }) {
		return nil, errors.Mark(errors.Newf("route %s has no service of this name", a.Route), ErrUnknownService)
	}
	s, _ := m.Service(name)
	return s, nil
}

func (a *Answer) refuse(r *refuser.Refusal) {
	a.Refusal = &Refusal{Code: uint32(r.Code), Name: r.Code.String(), Reason: r.Message, RetryAfterMS: milliseconds(r.RetryAfter)}
	a.Why = r.Message
}

// describe adds what was decided.
func (a *Answer) describe(p relayer.Preview, generation bool) {
	if a.Sent = p.Refusal == nil; !a.Sent {
		a.refuse(p.Refusal)
	}
	if !generation {
		a.describeInstances(p)
		return
	}
	a.Tokens, a.Ahead, a.BeyondShare = math.Round(p.Demand.Tokens), round(p.Demand.Precedence.Ahead), p.Demand.Precedence.Beyond
	a.describePath(p)
	if !a.Sent {
		return
	}
	switch {
	case p.Suspected:
		a.Why = "requests like it may have crashed a target, so that all of them begin at the same one"
	case p.Demand.Engine != nil && p.Demand.Engine.Layers == 0:
		a.Why = "the target with the least load"
	default:
		a.Why = "the path with the lowest sum of costs, from the layers that each target holds, its pace and its free room"
	}
}

func (a *Answer) describePath(p relayer.Preview) {
	onPath := map[string]bool{}
	for _, s := range p.Path {
		onPath[s.Target] = true
		for i := range p.Options {
			if o := &p.Options[i]; o.Name == s.Target {
				c := candidate(o)
				c.FirstLayer, c.EndLayer, c.Obstacle, c.WaitMS = s.FirstLayer, s.EndLayer, "", 0
				a.Stages = append(a.Stages, Stage{c})
			}
		}
	}
	for i := range p.Options {
		if o := &p.Options[i]; !onPath[o.Name] {
			a.Others = append(a.Others, candidate(o))
		}
	}
	for name, share := range p.FirstTargets {
		a.FirstTargets = append(a.FirstTargets, Share{Name: name, Share: round(share)})
	}
	slices.SortFunc(a.FirstTargets, func(x, y Share) int { return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Name, y.Name)) })
}

// candidate describes a target as the path was chosen from it.
func candidate(o *chooser.Option) Candidate {
	first, end, version := o.ReadyLayers()
	return Candidate{
		Target: o.Name, DataCentre: string(o.DataCentre), FirstLayer: first, EndLayer: end, Version: version,
		Fill: round(o.Fill), MaxFill: round(o.MaxFill), Pace: round(o.Pace), Requests: o.Requests,
		LayerCostUS: microseconds(o.LayerCost), EntryCostUS: microseconds(o.EntryCost), LimitFill: round(o.Limit.Fill),
		Obstacle: string(o.Obstacle), WaitMS: milliseconds(max(o.Paused, o.Limit.Wait)),
	}
}

func (a *Answer) describeInstances(p relayer.Preview) {
	var preferred int
	for _, i := range p.Instances {
		out := Instance{
			Target: i.Target.Name, DataCentre: string(i.Target.DataCentre), Cost: round(i.Cost), Requests: i.Outstanding, Preferred: i.Preferred && a.Sent,
		}
		switch {
		case i.Target.State == cataloger.StateSuspect:
			out.Obstacle = "suspected-paused-or-at-limit"
		case i.Target.State != cataloger.StateLive:
			out.Obstacle = string(i.Target.State)
		case i.Open:
			out.Obstacle = "resting-after-failures"
		case i.HeldBack && !i.Preferred:
			out.Obstacle = "held-back"
		}
		if out.Preferred {
			preferred++
		}
		a.Instances = append(a.Instances, out)
	}
	if a.Sent {
		a.Why = fmt.Sprintf("drawn from the instances with costs near the lowest, %d of %d, by load, time of answers and failures", preferred, len(p.Instances))
	}
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }

func microseconds(seconds float64) float64 { return math.Round(seconds*1e8) / 100 }

func milliseconds(d time.Duration) float64 { return float64(d.Round(time.Millisecond).Milliseconds()) }
