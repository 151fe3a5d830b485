package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/operator"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"

	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const thinPrefix = "services/"

type thinConfig struct {
	store storer.Store
	mu    sync.Mutex
	docs  map[string]*documenter.Document
	vers  map[string]uint64
	ready bool
	subs  []chan struct{}
}

func (c *thinConfig) Ready() bool { c.mu.Lock(); defer c.mu.Unlock(); return c.ready }
func (c *thinConfig) Lookup(name string) (*documenter.Document, uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.docs[name]
	return d, c.vers[name], ok
}
func (c *thinConfig) Documents() []*documenter.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*documenter.Document
	for _, d := range c.docs {
		out = append(out, d)
	}
	return out
}
func (c *thinConfig) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subs = append(c.subs, ch)
	return ch, func() {}
}
func (c *thinConfig) Version() uint64 { return 0 }
func (c *thinConfig) Run(ctx context.Context) error {
	for {
		objects, _, err := c.store.List(ctx, thinPrefix)
		if err == nil {
			c.mu.Lock()
			c.ready = true
			changed := false
			for _, o := range objects {
				d, problems := documenter.Parse(o.Value)
				if len(problems) > 0 || c.vers[d.Name] == o.Version {
					continue
				}
				c.docs[d.Name] = d.WithDefaults()
				c.vers[d.Name] = o.Version
				changed = true
			}
			if changed {
				for _, s := range c.subs {
					select {
					case s <- struct{}{}:
					default:
					}
				}
			}
			c.mu.Unlock()
		}
		if (&thinSleep{}).sleep(ctx, time.Second) != nil {
			return ctx.Err()
		}
	}
}

type thinSleep struct{}

func (*thinSleep) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (c *thinConfig) Apply(ctx context.Context, req *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	d, problems := documenter.Parse(req.Document)
	if len(problems) > 0 {
		return &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_REFUSED, Message: fmt.Sprint(problems)}, nil
	}
	o, _ := c.store.Get(ctx, thinPrefix+d.Name)
	v, err := c.store.Put(ctx, thinPrefix+d.Name, req.Document, o.Version)
	if err != nil {
		return nil, err
	}
	return &v1.ApplyResponse{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Version: v}, nil
}

func (r *Router) buildConfig() (registrar.Service, error) {
	r.config = &thinConfig{store: r.limiter.Store(storer.ClassConfig), docs: map[string]*documenter.Document{}, vers: map[string]uint64{}}
	return registrar.Service{Name: ServiceConfig, Needs: []string{ServiceStore}, Run: r.config.Run}, nil
}

func (r *Router) buildProbes() (registrar.Service, error) {
	return registrar.Service{Name: ServiceProbes, Needs: []string{ServiceMembers}, Run: func(ctx context.Context) error {
		for r.Clock.Sleep(ctx, time.Second) == nil {
			for _, t := range r.tracker.Fleet().Targets {
				if r.tracker.Owner("probe", t.Name).Name != r.local.Name {
					continue
				}
				if t.Type == cataloger.TypeService {
					r.tracker.ReportTarget(ctx, t.Name, tracker.TargetReport{State: cataloger.StateLive})
					continue
				}
				d, err := r.engines.Get(t.Address).Describe(ctx, &enginev1.DescribeRequest{})
				if err != nil {
					r.tracker.ReportTarget(ctx, t.Name, tracker.TargetReport{State: cataloger.StateDead})
					continue
				}
				rep := tracker.TargetReport{State: cataloger.StateLive, Leaving: d.Leaving, Described: true, Kind: d.Kind, Role: d.Role, MemoryBytes: d.MemoryBytes, PrefillRate: d.PrefillRate, DecodeRate: d.DecodeRate, ChecksFencing: d.ChecksFencing}
				for _, h := range d.Holdings {
					rep.Holdings = append(rep.Holdings, cataloger.Holding{Model: h.Model, Version: h.Version, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer, Adapters: h.Adapters, Ready: h.Ready})
				}
				r.tracker.ReportTarget(ctx, t.Name, rep)
			}
		}
		return ctx.Err()
	}}, nil
}

func (r *Router) buildOrdering() (registrar.Service, error) {
	return registrar.Service{Name: ServiceOrdering}, nil
}

func (r *Router) buildPlacement() (registrar.Service, error) {
	return registrar.Service{Name: ServicePlacement}, nil
}

func (r *Router) release(context.Context) {}

func (r *Router) enter(context.Context, receiver.Place) (receiver.Turn, error) {
	return receiver.Turn{Wait: func(context.Context, int) error { return nil }, Done: func() {}}, nil
}

func (r *Router) peerSecurity() (linker.Security, error) { return linker.Insecure(), nil }

func (r *Router) callerTLS() (*tls.Config, error) { return nil, nil }

func (r *Router) documents() operator.Documents { return operator.Documents{Apply: r.config.Apply} }
