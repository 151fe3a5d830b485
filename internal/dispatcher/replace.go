package dispatcher

import (
	"context"
	"sync"

	"github.com/rattantray/rattantray/internal/cataloger"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// replace moves the stages of the lost target, with their KV cache, to other targets and keeps the rest of the chain.
func (r *run) replace(ctx context.Context, old plan, f *failure) (plan, bool) {
	if r.d.Substitute == nil || !r.numbersLeft() || f.target == "" || old.resume || f.kind == failedRefused || f.kind == failedFenced || f.kind == failedInvalid {
		return plan{}, false
	}
	position := r.checker.NextPosition()
	if position == r.job.StartPosition {
		return plan{}, false
	}
	export, ok := r.export(ctx, old.route, f.target, position)
	if !ok {
		return plan{}, false
	}
	req := r.request()
	req.PromptTokens, req.Prefixes = 0, nil
	route, permit, ok := r.d.Substitute(req, old.route, f.target)
	if !ok {
		return plan{}, false
	}
	if !r.importAll(ctx, old.route, route, export) {
		permit.Done()
		return plan{}, false
	}
	r.abandon(old)
	r.advance(f)
	if f.kind == failedMove {
		r.d.counts.moved.Inc(1)
	} else {
		r.d.counts.imported.Inc(1)
	}
	return plan{route: route, permit: permit, imported: true}, true
}

// export freezes the KV cache of the lost target, which it can only while it still answers.
func (r *run) export(ctx context.Context, route cataloger.Route, lost string, position uint64) (*enginev1.ExportKVResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.d.ExportWait)
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

// importAll makes each new target pull the cache of the stage that it takes over.
func (r *run) importAll(ctx context.Context, old, route cataloger.Route, export *enginev1.ExportKVResponse) bool {
	ctx, cancel := context.WithTimeout(ctx, r.d.ImportWait)
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

// probe returns the targets of a route that do not answer.
func (r *run) probe(ctx context.Context, route cataloger.Route) []string {
	ctx, cancel := context.WithTimeout(ctx, r.d.ProbeWait)
	defer cancel()
	failed := make([]bool, len(route.Stages))
	var wait sync.WaitGroup
	for i, s := range route.Stages {
		wait.Go(func() {
			_, err := r.d.Engine(s.Address).Load(ctx, &enginev1.LoadRequest{})
			failed[i] = err != nil
		})
	}
	wait.Wait()
	var silent []string
	for i, s := range route.Stages {
		if failed[i] {
			silent = append(silent, s.Target)
		}
	}
	return silent
}

// cancel ends attempts up to a number on every stage, without waiting for the answers.
func (r *run) cancel(route cataloger.Route, attempt uint32) {
	for _, s := range route.Stages {
		r.d.canceller.cancel(s.Address, &enginev1.CancelRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: attempt,
		})
	}
}
