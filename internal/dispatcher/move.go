package dispatcher

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const (
	// moveCheck is how often a stream looks whether it should move.
	moveCheck = 200 * time.Millisecond
	// minMoveTokens is how many tokens must be left for a stream to move.
	minMoveTokens = 8
	// slowFactor is the multiple of the mean gap over all streams at which a stream is slow.
	slowFactor = 4
	// slowLeast is the mean gap in seconds that is never slow, the stated target for 95 in 100 gaps.
	slowLeast = 0.031
	// slowGaps is how many gaps a stream must have seen before it is called slow.
	slowGaps = 8
	// maxSlowMoves bounds the moves of one job off slow targets.
	maxSlowMoves = 2
)

// move takes the stream off a leaving or slow target, where its stages and KV cache can go elsewhere; otherwise the stream goes on.
func (r *run) move(ctx context.Context, now time.Time, p plan) *failure {
	if r.d.Substitute == nil || now.Sub(r.moveChecked) < moveCheck {
		return nil
	}
	r.moveChecked = now
	if r.job.end()-r.checker.Next() < minMoveTokens {
		return nil
	}
	f := &failure{kind: failedMove, target: r.leaving(p.route)}
	if f.target == "" {
		f.target = r.slow()
	}
	if f.target == "" {
		return nil
	}
	r.flush()
	moved, ok := r.replace(ctx, p, f)
	if !ok {
		return nil
	}
	r.gaps = gapEstimator{}
	f.moved = moved
	return f
}

// leaving returns the first target of the route that leaves, or "".
func (r *run) leaving(route cataloger.Route) string {
	if r.d.Leaving == nil {
		return ""
	}
	for _, s := range route.Stages {
		if r.d.Leaving(s.Target) {
			return s.Target
		}
	}
	return ""
}

// slow returns the slowest target of a stream that is much slower than others, as far as the retry budget allows, or "".
func (r *run) slow() string {
	mean, known := r.tail.mean()
	if !known || r.slowMoves >= maxSlowMoves || r.gaps.gaps < slowGaps || r.gaps.mean < max(slowFactor*mean, slowLeast) {
		return ""
	}
	if !r.d.budgets.spend(budgetKey{r.job.Workspace, r.job.Service}, r.job.RetryBudget) {
		return ""
	}
	r.slowMoves++
	target, link := slowest(r.receipt)
	if target != "" && !link && r.d.Stalled != nil {
		r.d.Stalled([]string{target})
	}
	r.d.counts.slow.Inc(1)
	return target
}

// slowest returns the target whose run and incoming link took longest, and whether the link took more than the run.
func slowest(receipt *commonv1.Receipt) (target string, link bool) {
	longest := time.Duration(-1)
	for _, s := range receipt.GetStages() {
		run, transfer := s.Duration.AsDuration(), s.Transfer.AsDuration()
		if run+transfer > longest {
			target, link, longest = s.Target, transfer > run, run+transfer
		}
	}
	return target, link
}
