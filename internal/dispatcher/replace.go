package dispatcher

import (
	"context"
	"sync"

	"github.com/rattantray/rattantray/internal/cataloger"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// replaceTarget moves the stages of the failure's target, with their KV cache, to other targets and keeps the rest of the
// chain. It returns false if that is not possible.
func (r *run) replaceTarget(ctx context.Context, old plan, f *failure) (plan, bool) {
	if r.d.Substitute == nil || !r.hasAttemptNumbers() || f.target == "" || old.resume || f.kind == failedRefused || f.kind == failedFenced || f.kind == failedInvalid {
		return plan{}, false
	}
	position := r.checker.NextPosition()
	if position == r.job.StartPosition {
		return plan{}, false
	}
	export, ok := r.exportKV(ctx, old.route, f.target, position)
	if !ok {
		return plan{}, false
	}
	req := r.selectorRequest()
	req.PromptTokens, req.Prefixes = 0, nil
	route, permit, ok := r.d.Substitute(req, old.route, f.target)
	if !ok {
		return plan{}, false
	}
	if !r.importKV(ctx, old.route, route, export) {
		permit.Done()
		return plan{}, false
	}
	next := plan{route: route, permit: permit, imported: true}
	if f.kind == failedMove {
		// The old attempt serves on until the new one does.
		next.left = &leftAttempt{route: old.route, permit: old.permit, attempt: r.attempt}
		r.d.counts.moved.Inc(1)
	} else {
		r.abandon(old)
		r.d.counts.imported.Inc(1)
	}
	r.advanceAttempt(f)
	return next, true
}

// exportKV freezes the KV cache of the lost target, which is possible only while the target still answers.
func (r *run) exportKV(ctx context.Context, route cataloger.Route, lost string, position uint64) (*enginev1.ExportKVResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.d.ExportTimeout)
	defer cancel()
	for _, s := range route.Stages {
		if s.Target != lost {
			continue
		}
		res, err := r.d.Engine(s.Address).ExportKV(ctx, &enginev1.ExportKVRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.attempt, Position: position,
		})
		return res, err == nil && res.Position == position
	}
	return nil, false
}

// importKV makes each new target pull the KV cache of the stage that it takes over, and reports whether all did.
func (r *run) importKV(ctx context.Context, old, route cataloger.Route, export *enginev1.ExportKVResponse) bool {
	ctx, cancel := context.WithTimeout(ctx, r.d.ImportTimeout)
	defer cancel()
	for i, s := range route.Stages {
		if s.Target == old.Stages[i].Target {
			continue
		}
		_, err := r.d.Engine(s.Address).ImportKV(ctx, &enginev1.ImportKVRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.nextAttempt(),
			SourceAddress: old.Stages[i].Address, Handle: export.Handle,
			FirstLayer: s.FirstLayer, EndLayer: s.EndLayer, Position: export.Position,
		})
		if err != nil {
			r.d.Log.Debug().Err(err).Str("request-id", r.job.RequestID).Str("target", s.Target).Msg("kv import failed")
			return false
		}
	}
	return true
}

// unresponsiveTargets returns the targets of a route that do not answer a health check.
func (r *run) unresponsiveTargets(ctx context.Context, route cataloger.Route) []string {
	ctx, cancel := context.WithTimeout(ctx, r.d.HealthCheckTimeout)
	defer cancel()
	noAnswer := make([]bool, len(route.Stages))
	var wait sync.WaitGroup
	for i, s := range route.Stages {
		wait.Go(func() {
			_, err := r.d.Engine(s.Address).Load(ctx, &enginev1.LoadRequest{})
			noAnswer[i] = err != nil
		})
	}
	wait.Wait()
	var unresponsive []string
	for i, s := range route.Stages {
		if noAnswer[i] {
			unresponsive = append(unresponsive, s.Target)
		}
	}
	return unresponsive
}

// cancelAttempts cancels all attempts up to a number on every stage, without waiting for the answers.
func (r *run) cancelAttempts(route cataloger.Route, attempt uint32) {
	for _, s := range route.Stages {
		r.d.canceller.enqueue(s.Address, &enginev1.CancelRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: attempt,
		})
	}
}
