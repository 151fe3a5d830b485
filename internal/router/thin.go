package router

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/internal/receiver"
	"github.com/rattantray/rattantray/internal/registrar"
	"github.com/rattantray/rattantray/internal/tracker"

	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

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
