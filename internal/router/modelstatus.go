package router

import (
	"context"
	"maps"
	"slices"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/operator"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// modelCalls returns the handlers of the operators' calls on models.
func (r *Router) modelCalls() operator.Models {
	return operator.Models{List: r.listModels, Status: r.modelStatus}
}

func (r *Router) listModels(context.Context, *v1.ListModelsRequest) (*v1.ListModelsResponse, error) {
	resp := &v1.ListModelsResponse{}
	targets := r.tracker.Fleet().Targets
	models := r.modelsInForce()
	for _, name := range slices.Sorted(maps.Keys(models)) {
		resp.Models = append(resp.Models, r.modelInfo(models[name], targets))
	}
	return resp, nil
}

func (r *Router) modelInfo(w *wantedModel, targets []cataloger.Target) *v1.ModelInfo {
	ready, _ := countHolders(targets, w.Model.Name, w.Model.Version)
	return &v1.ModelInfo{
		Name:     w.Model.Name,
		Version:  w.Model.Version,
		Layers:   w.Model.Layers,
		Services: w.serviceNames(),
		Targets:  uint32(ready),
		Bound:    w.bound(w.Model.Version, r.selector.Bound),
	}
}

// countHolders counts the live targets that hold layers of a model version ready, and those that are only loading some.
func countHolders(targets []cataloger.Target, model, version string) (ready, loading int) {
	for _, t := range targets {
		holds := func(h cataloger.Holding) bool { return h.Model == model && h.Version == version }
		holdsReady := func(h cataloger.Holding) bool { return holds(h) && h.Ready }
		switch {
		case t.State != cataloger.StateLive:
		case slices.ContainsFunc(t.Holdings, holdsReady):
			ready++
		case slices.ContainsFunc(t.Holdings, holds):
			loading++
		}
	}
	return ready, loading
}

func (r *Router) modelStatus(ctx context.Context, req *v1.ModelStatusRequest) (*v1.ModelStatusResponse, error) {
	w := r.modelsInForce()[req.Name]
	if w == nil {
		return nil, refuser.New(refuser.ModelNotFound, "no service in force runs model %q; 'rattantray model list' names those that do", req.Name)
	}
	fleet := r.tracker.Fleet()
	resp := &v1.ModelStatusResponse{Model: r.modelInfo(w, fleet.Targets)}
	for _, version := range allVersions(w, heldVersions(fleet)[req.Name]) {
		ready, loading := countHolders(fleet.Targets, req.Name, version)
		resp.Versions = append(resp.Versions, &v1.ModelVersion{
			Version: version, Services: w.services[version],
			Targets: uint32(ready), Loading: uint32(loading), Bound: w.bound(version, r.selector.Bound),
		})
	}
	resp.Plan, resp.PlanMissing = r.modelPlan(ctx, w)
	return resp, nil
}

// allVersions returns the versions that services name or engines hold, sorted.
func allVersions(w *wantedModel, held []string) []string {
	all := append(w.versions(), held...)
	slices.Sort(all)
	return slices.Compact(all)
}

// modelPlan fetches the last plan from the planner of a model, or returns why there is none.
func (r *Router) modelPlan(ctx context.Context, w *wantedModel) (*v1.ModelPlan, string) {
	if w.Model.LayerBytes == 0 {
		return nil, "the service document has no model.layer-bytes, so that its layers are not placed"
	}
	member, report, err := r.placement.fetchReport(ctx, w.Model.Name)
	switch {
	case err != nil:
		return nil, "the planner " + member + " gave no answer: " + refuser.From(err).Message
	case report.Age == nil:
		return nil, "the planner " + member + " has not planned yet; it may be waiting for the lease"
	}
	return planFromReport(member, report), ""
}

func planFromReport(member string, report *peerv1.PlacementReport) *v1.ModelPlan {
	plan := &v1.ModelPlan{
		Member: member, Age: report.Age, Bound: report.Bound, Upper: report.Upper,
		Offered: report.Offered, Blocked: report.Blocked,
	}
	for _, c := range report.Changes {
		plan.Changes = append(plan.Changes, &v1.ModelChange{
			Target: c.Target, Kind: c.Kind, Version: c.Version, FirstLayer: c.FirstLayer, EndLayer: c.EndLayer,
			Bytes: c.Bytes, Outcome: c.Outcome,
		})
	}
	return plan
}
