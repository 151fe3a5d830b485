package dispatcher

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

const (
	// moveCheckInterval is the interval at which a stream checks whether it should move.
	moveCheckInterval = 200 * time.Millisecond
	// minMoveTokens is how many tokens must remain for a stream to move off a leaving target, minSlowTokens off a slow one.
	minMoveTokens = 8
	minSlowTokens = 3
	// slowFactor is the multiple of the mean gap over all streams at which a stream is slow.
	slowFactor = 4
	// minSlowMeanGap is the mean gap in seconds below which a stream is never slow: the latency objective for 95 in 100 gaps.
	minSlowMeanGap = 0.031
	// minGapsForSlow is how many gaps a stream must have observed before it can count as slow.
	minGapsForSlow = 8
	// minGapsForLink is how many it must have observed before a degraded link is considered.
	minGapsForLink = 2
	// moveRetryInterval is how long a stream stays where it is after a move that failed.
	moveRetryInterval = 500 * time.Millisecond
	// maxSlowMoves limits the moves of one job off slow targets.
	maxSlowMoves = 2
)

// moveIfNeeded moves the stream off a leaving or slow target if the target's stages can move elsewhere with their KV cache.
// It returns nil if the stream stays where it is.
func (r *run) moveIfNeeded(ctx context.Context, now time.Time, p plan) *failure {
	if r.d.Substitute == nil || p.left != nil || now.Before(r.moveNotBefore) || now.Sub(r.moveCheckedAt) < moveCheckInterval {
		return nil
	}
	r.moveCheckedAt = now
	f := &failure{kind: failedMove}
	remaining := r.job.endPosition() - r.checker.NextPosition()
	if remaining >= minMoveTokens {
		f.target = r.leavingTarget(p.route)
	}
	if f.target == "" && remaining >= minSlowTokens {
		f.target = r.slowTarget()
	}
	if f.target == "" {
		return nil
	}
	r.flush()
	moved, ok := r.replaceTarget(ctx, p, f)
	if !ok {
		return nil
	}
	r.gaps = gapEstimator{}
	f.replacement = moved
	return f
}

// leavingTarget returns the first target of the route that leaves, or "".
func (r *run) leavingTarget(route cataloger.Route) string {
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

// slowTarget returns the slowest target of a stream that is much slower than others or held up by a degraded link. It
// returns "" for any other stream, or if the retry budget allows no move.
func (r *run) slowTarget() string {
	if r.slowMoves >= maxSlowMoves || !r.muchSlowerThanOthers() && !r.heldUpByLink() {
		return ""
	}
	if !r.d.budgets.spend(budgetKey{r.job.Workspace, r.job.Service}, r.job.RetryBudget) {
		return ""
	}
	r.slowMoves++
	target, linkDominates := slowestTarget(r.receipt)
	if target != "" && !linkDominates && r.d.ReportSuspects != nil {
		r.d.ReportSuspects([]string{target})
	}
	r.d.counts.slowStreams.Inc(1)
	return target
}

// muchSlowerThanOthers reports whether the stream is much slower than the mean of all streams of its model version.
func (r *run) muchSlowerThanOthers() bool {
	mean, ok := r.modelGaps.mean()
	return ok && r.gaps.gaps >= minGapsForSlow && r.gaps.mean >= max(slowFactor*mean, minSlowMeanGap)
}

// heldUpByLink reports whether the stream spends most of its time on a link that is much slower than stated.
//
// New work avoids such a link immediately, but a running stream would stay on it, with the targets at both ends idle.
func (r *run) heldUpByLink() bool {
	if r.d.Degraded == nil || r.gaps.gaps < minGapsForLink || r.gaps.mean < minSlowMeanGap {
		return false
	}
	stages := r.receipt.GetStages()
	runTime, longestTransfer, at := time.Duration(0), time.Duration(0), 0
	for i, s := range stages {
		runTime += s.Duration.AsDuration()
		if transfer := s.Transfer.AsDuration(); transfer > longestTransfer {
			longestTransfer, at = transfer, i
		}
	}
	return at > 0 && longestTransfer > runTime && r.d.Degraded(stages[at-1].Target, stages[at].Target)
}

// slowestTarget returns the target whose run and incoming transfer together took longest, and whether the transfer took
// longer than the run.
func slowestTarget(receipt *commonv1.Receipt) (target string, linkDominates bool) {
	longest := time.Duration(-1)
	for _, s := range receipt.GetStages() {
		run, transfer := s.Duration.AsDuration(), s.Transfer.AsDuration()
		if run+transfer > longest {
			target, linkDominates, longest = s.Target, transfer > run, run+transfer
		}
	}
	return target, linkDominates
}
