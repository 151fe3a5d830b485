package dispatcher

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/selector"
)

// leftAttempt is an attempt that still serves while its stream moves to another one.
type leftAttempt struct {
	route   cataloger.Route
	permit  *selector.Permit
	attempt uint32
}

// endLeft ends the attempt that the stream moved off, if there is one.
func (r *run) endLeft(p *plan) {
	if p.left == nil {
		return
	}
	p.left.permit.Done()
	r.cancelAttempts(p.left.route, p.left.attempt)
	p.left = nil
}

// keepLeft plans to go on with what the stream was about to leave, after its move or an attempt to go on has failed before a token.
// It takes nothing from the retry budget. It returns false if there was no move.
func (r *run) keepLeft(ctx context.Context, p plan, f *failure) (plan, bool) {
	switch {
	case p.left != nil:
		r.attributeFailure(ctx, p, f)
		p.permit.Done()
		r.cancelMoved(p)
		r.d.counts.kept.Inc(1)
		r.moveNotBefore = r.d.Clock.Now().Add(moveRetryInterval)
		r.attempt = p.left.attempt
		r.checker.BeginAttempt(r.attempt, protoStages(p.left.route))
		return plan{route: p.left.route, permit: p.left.permit, resume: true, kept: true}, true
	case p.kept && p.resume && (f.kind == failedRefused || f.kind == failedFenced) && r.hasAttemptNumbers():
		// The new attempt fenced the old one before it failed. The stages still have the KV cache.
		r.advanceAttempt(f)
		return plan{route: p.route, permit: p.permit, imported: true, kept: true}, true
	}
	return plan{}, false
}

// cancelMoved cancels a move's attempt on the targets that the old attempt does not use. On the others, a Cancel would fence it.
func (r *run) cancelMoved(p plan) {
	moved := p.route
	moved.Stages = nil
	for _, s := range p.route.Stages {
		if !runsOn(p.left.route, s.Target) {
			moved.Stages = append(moved.Stages, s)
		}
	}
	r.cancelAttempts(moved, r.attempt)
}

func runsOn(route cataloger.Route, target string) bool {
	for _, s := range route.Stages {
		if s.Target == target {
			return true
		}
	}
	return false
}
