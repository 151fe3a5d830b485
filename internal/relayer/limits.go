package relayer

import (
	"context"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/throttler"
)

// throttled identifies a target for the throttler.
func throttled(t cataloger.Target) throttler.Target {
	return throttler.Target{Name: t.Name, Incarnation: t.Incarnation}
}

// permit reports whether a request may be sent to a target now. Every send asks: first ones, repeats, resumed streams and moves to
// another pipeline. Replaced stages don't, as their target gets the request from another target.
func (r *Relayer) permit(ctx context.Context, req *Request, t cataloger.Target) bool {
	if r.Throttler.Acquire(ctx, throttled(t), req.Precedence.LimitReserve()) {
		return true
	}
	r.Log.Info().Str("request", req.ID).Str("target", t.Name).Dur("wait", r.Throttler.State(throttled(t)).Wait).Msg("target at its limit")
	return false
}

// recordLimit records the limit that an answer of a target named.
func (r *Relayer) recordLimit(t cataloger.Target, limit throttler.Limit) {
	switch r.Throttler.Observe(throttled(t), limit) {
	case throttler.ChangeBegan:
		r.Log.Info().Str("target", t.Name).Float64("rate", limit.Rate).Msg("target limits its requests")
		r.OnLimit()
	case throttler.ChangeEnded:
		r.Log.Info().Str("target", t.Name).Msg("target no longer limits its requests")
	case throttler.ChangeRate, throttler.ChangeNone:
	}
}

// checkLimits asks targets that have been silent whether they still limit their requests, as a target that gets none can't say so,
// and drops the limits of targets that are gone.
func (r *Relayer) checkLimits(ctx context.Context) {
	r.Throttler.Retain(func(t throttler.Target) bool {
		v, ok := r.Targets.Get(t.Name)
		return ok && v.Incarnation <= t.Incarnation
	})
	for _, t := range r.Throttler.Silent() {
		if v, ok := r.Targets.Get(t.Name); ok && v.Usable() {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, repathTimeout)
				defer cancel()
				// Backend passes what the target names to HandleNotice, as with any answer.
				if _, err := r.Backend.Report(ctx, v.Target); err != nil {
					r.Log.Debug().Str("target", t.Name).Err(err).Msg("target with a limit gives no report")
				}
			}()
		}
	}
}
