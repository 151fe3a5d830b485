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
	// minMoveTokens is how many tokens must be left for a stream to move, minSlowTokens where it is slow.
	minMoveTokens = 8
	minSlowTokens = 3
	// slowFactor is the multiple of the mean gap over all streams at which a stream is slow.
	slowFactor = 4
	// slowLeast is the mean gap in seconds that is never slow, the stated target for 95 in 100 gaps.
	slowLeast = 0.031
	// slowGaps is how many gaps a stream must have seen before it is called slow.
	slowGaps = 8
	// linkGaps is how many it must have seen before a degraded link counts against it.
	linkGaps = 2
	// maxSlowMoves bounds the moves of one job off slow targets.
	maxSlowMoves = 2
)

// move takes the stream off a leaving or slow target, where its stages and KV cache can go elsewhere; otherwise the stream goes on.
func (r *run) move(ctx context.Context, now time.Time, p plan) *failure {
	if r.d.Substitute == nil || now.Sub(r.moveChecked) < moveCheck {
		return nil
	}
	r.moveChecked = now
	f := &failure{kind: failedMove}
	left := r.job.end() - r.checker.NextPosition()
	if left >= minMoveTokens {
		f.target = r.leaving(p.route)
	}
	if f.target == "" && left >= minSlowTokens {
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

// slow returns the slowest target of a stream that is much slower than others or waits on a degraded link, as far as the
// retry budget allows, or "".
func (r *run) slow() string {
	if r.slowMoves >= maxSlowMoves || !r.behind() && !r.heldUp() {
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

// behind tells whether the stream is much slower than others.
func (r *run) behind() bool {
	mean, known := r.tail.mean()
	return known && r.gaps.gaps >= slowGaps && r.gaps.mean >= max(slowFactor*mean, slowLeast)
}

// heldUp tells whether the stream spends most of its time on a link that is slower than stated.
//
// New work avoids such a link at once, but what runs over it would keep to it, and both ends idle meanwhile.
func (r *run) heldUp() bool {
	if r.d.Degraded == nil || r.gaps.gaps < linkGaps || r.gaps.mean < slowLeast {
		return false
	}
	stages := r.receipt.GetStages()
	runs, longest, at := time.Duration(0), time.Duration(0), 0
	for i, s := range stages {
		runs += s.Duration.AsDuration()
		if transfer := s.Transfer.AsDuration(); transfer > longest {
			longest, at = transfer, i
		}
	}
	return at > 0 && longest > runs && r.d.Degraded(stages[at-1].Target, stages[at].Target)
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
