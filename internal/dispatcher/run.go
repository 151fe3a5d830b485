package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/verifier"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// run is the state of one job over all its attempts.
type run struct {
	d       *Dispatcher
	job     Job
	emit    func(Part) error
	checker *verifier.Checker
	attempt uint32
	// lastAttempt is the greatest number of an attempt that was begun; attempt is lower while a stream is kept on its old one.
	lastAttempt uint32
	delivered   [][]byte
	prefixes    []uint64
	modelGaps   *modelGaps
	// keys identify the prompt, whatever the id of the request.
	keys []quarantiner.Key
	// avoid lists the targets that failed this job.
	avoid []string
	// failures counts the failed attempts in a row since the last new token.
	failures int
	// highestPosition is the next position when the last attempt failed.
	highestPosition uint64
	// mayHaveRun is true once an engine may have run a layer.
	mayHaveRun bool
	gaps       gapEstimator
	// receipt is the receipt of the last token.
	receipt *commonv1.Receipt
	// moveCheckedAt is when the stream last checked whether it should move.
	moveCheckedAt time.Time
	// moveNotBefore is when the stream may move again after a move that failed.
	moveNotBefore time.Time
	slowMoves     int
}

// plan is how the next attempt begins.
type plan struct {
	route  cataloger.Route
	permit *selector.Permit
	// imported is true if every stage already has the KV cache.
	imported bool
	// resume is true if the engine may still hold the stream of the current attempt.
	resume bool
	// left is the attempt that the stream moves off, until the new one delivers a token; nil if there is none.
	left *leftAttempt
	// kept is true where a move failed and the stream goes on with what it was about to leave.
	kept bool
}

func (r *run) fact() refuser.Fact {
	if r.mayHaveRun {
		return refuser.FactMayHaveRun
	}
	return refuser.FactNotRun
}

func (r *run) run(ctx context.Context) error {
	p, err := r.planFirst(ctx)
	for err == nil {
		var f *failure
		f, err = r.runAttempt(ctx, &p)
		if err != nil || f == nil {
			return err
		}
		p, err = r.planRecovery(ctx, p, f)
	}
	return err
}

// planFirst plans the first attempt, which resumes the stream that engines may still hold, if the job names one.
func (r *run) planFirst(ctx context.Context) (plan, error) {
	held := r.job.Held
	if len(held.Route.Stages) == 0 {
		return r.pickRoute(ctx)
	}
	r.attempt = held.Attempt
	r.mayHaveRun = true
	r.checker.BeginAttempt(held.Attempt, protoStages(held.Route))
	p := plan{route: held.Route, resume: true}
	if r.d.Adopt != nil {
		p.permit = r.d.Adopt(r.selectorRequest(), held.Route)
	}
	return p, nil
}

// takenOver reports whether the current attempt was begun by another entry.
func (r *run) takenOver() bool { return r.attempt < r.job.FirstAttempt }

// runAttempt runs one attempt; a nil failure with a nil error means that the answer is complete.
func (r *run) runAttempt(ctx context.Context, p *plan) (*failure, error) {
	r.d.counts.attempts.Inc(1)
	f, err := r.streamAttempt(ctx, p)
	if f == nil && err == nil {
		r.endLeft(p)
		p.permit.Done()
		r.recordAnswered()
		return nil, nil
	}
	if err != nil {
		r.abandon(*p)
		return nil, err
	}
	if ctx.Err() != nil {
		r.abandon(*p)
		return nil, interruptedRefusal(ctx, r.fact())
	}
	return f, nil
}

// selectorRequest returns the request to the selector for the rest of the answer.
func (r *run) selectorRequest() selector.Request {
	return selector.Request{
		Model: r.job.Model, Version: r.job.Version, Adapter: r.job.Adapter,
		PromptTokens: engineer.PromptTokens(len(r.job.Prompt)) + len(r.delivered),
		Prefixes:     r.prefixes,
		MaxTokens:    r.job.MaxTokens - uint32(r.checker.NextPosition()),
		Avoid:        r.avoid,
	}
}

// pickRoute plans an attempt on a new route; after a failed attempt it waits for a route up to the recovery timeout.
func (r *run) pickRoute(ctx context.Context) (plan, error) {
	deadline := r.d.Clock.Now().Add(cmp.Or(r.job.RecoveryTimeout, r.d.RecoveryTimeout))
	for retry := 0; ; retry++ {
		route, permit, err := r.d.Pick(r.selectorRequest())
		if err == nil {
			return plan{route: route, permit: permit}, nil
		}
		refusal := refuser.From(err)
		if r.failures == 0 || !r.d.Clock.Now().Before(deadline) {
			return plan{}, refusal.WithFact(r.fact())
		}
		if r.d.Clock.Sleep(ctx, r.backoff(retry)) != nil {
			return plan{}, interruptedRefusal(ctx, r.fact())
		}
	}
}

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// backoff returns a random time up to a limit that doubles with each retry.
func (r *run) backoff(retry int) time.Duration {
	limit := min(initialBackoff<<min(retry, 10), maxBackoff)
	return time.Duration((0.25 + 0.75*r.d.randomFloat()) * float64(limit))
}

// planRecovery plans how to continue after a failed attempt, or returns the final refusal.
func (r *run) planRecovery(ctx context.Context, p plan, f *failure) (plan, error) {
	if f.kind == failedMove {
		return f.replacement, nil
	}
	r.recordFailure(f)
	if f.resumable && !p.resume {
		r.d.Log.Debug().Str("request-id", r.job.RequestID).Uint32("attempt", r.attempt).Msg("attempt will be resumed")
		return plan{route: p.route, permit: p.permit, resume: true, left: p.left}, nil
	}
	if next, ok := r.keepLeft(ctx, p, f); ok {
		return next, nil
	}
	if r.takenOver() {
		return r.replaceHeldStream(ctx, p, f)
	}
	if next := r.checker.NextPosition(); next > r.highestPosition {
		r.highestPosition = next
		r.failures = 0
	}
	r.failures++
	if (f.kind == failedStalled || f.kind == failedBroken) && r.d.partitioned() {
		r.abandon(p)
		return plan{}, r.finalRefusal(refuser.StreamLost, f)
	}
	r.attributeFailure(ctx, p, f)
	r.recordCrash(ctx, p, f)
	if err := r.checkRetry(f); err != nil {
		r.abandon(p)
		return plan{}, err
	}
	if r.failures > 1 {
		if r.d.Clock.Sleep(ctx, r.backoff(r.failures-2)) != nil {
			r.abandon(p)
			return plan{}, interruptedRefusal(ctx, r.fact())
		}
	}
	return r.planNext(ctx, p, f)
}

// replaceHeldStream continues on a new route without the stream of another entry. That entry may have cancelled the stream,
// so that only a stall or a lost connection counts as a target's failure.
func (r *run) replaceHeldStream(ctx context.Context, p plan, f *failure) (plan, error) {
	if f.resumable || errors.Is(f.err, errStalled) {
		r.attributeFailure(ctx, p, f)
	}
	r.abandon(p)
	r.attempt = r.nextAttempt()
	r.d.counts.prefilled.Inc(1)
	return r.pickRoute(ctx)
}

// checkRetry returns the final refusal if the job has no attempts or retry budget left, or crashes its engines.
func (r *run) checkRetry(f *failure) error {
	if r.d.Quarantiner.IsQuarantined(r.keys) {
		return r.finalRefusal(refuser.Quarantined, f)
	}
	if r.failures >= r.job.MaxAttempts || !r.hasAttemptNumbers() {
		r.d.counts.exhausted.Inc(1)
		return r.finalRefusal(refuser.AttemptsExhausted, f)
	}
	key := budgetKey{r.job.Workspace, r.job.Service}
	if !r.d.budgets.spend(key, r.job.RetryBudget) {
		r.d.counts.budgetSpent.Inc(1)
		return r.finalRefusal(refuser.RetryBudgetSpent, f)
	}
	return nil
}

// finalRetryAfter is how long a caller should wait before it tries again after a final refusal.
const finalRetryAfter = time.Second

func (r *run) finalRefusal(code refuser.Code, f *failure) error {
	return refuser.New(code, "attempt %d: %s", r.attempt, f).
		WithFact(r.fact()).WithRetryAfter(finalRetryAfter).WithCause(f.err)
}

// planNext ends the old attempt and plans a new one. The new one keeps the chain and replaces only the lost target if its KV
// cache can be exported; otherwise it runs on a new chain.
func (r *run) planNext(ctx context.Context, old plan, f *failure) (plan, error) {
	if p, ok := r.replaceTarget(ctx, old, f); ok {
		return p, nil
	}
	r.abandon(old)
	r.advanceAttempt(f)
	p, err := r.pickRoute(ctx)
	if err == nil {
		r.d.counts.prefilled.Inc(1)
	}
	return p, err
}

// abandon releases the permit of an attempt and cancels it on every stage, and so the attempt that its stream moves off.
func (r *run) abandon(p plan) {
	r.endLeft(&p)
	p.permit.Done()
	r.cancelAttempts(p.route, r.attempt)
}

// fencedStep is added to the attempt number when engines have seen a greater one.
const fencedStep = 16

func (r *run) advanceAttempt(f *failure) {
	r.attempt = r.nextAttempt()
	if f.kind == failedFenced {
		r.attempt += fencedStep
	}
}

// nextAttempt returns the number of the next attempt, which is greater than any that was begun here or that another entry may
// have used.
func (r *run) nextAttempt() uint32 {
	return max(r.attempt+1, r.lastAttempt+1, r.job.FirstAttempt)
}

// hasAttemptNumbers reports whether the number of the next attempt stays below the job's EndAttempt, even if
// a fenced attempt skips numbers.
func (r *run) hasAttemptNumbers() bool {
	return r.job.EndAttempt == 0 || r.nextAttempt()+fencedStep < r.job.EndAttempt
}

func (r *run) avoidTarget(target string) {
	if target != "" && !slices.Contains(r.avoid, target) {
		r.avoid = append(r.avoid, target)
	}
}

// deliver checks a part and emits it if it is the next token.
func (r *run) deliver(m *message, route cataloger.Route) (verifier.Verdict, verifier.Reason, error) {
	verdict, reason := r.checker.Check(m)
	if verdict != verifier.Deliver {
		r.d.counts.reasons[reason].Inc(1)
		return verdict, reason, nil
	}
	r.delivered = append(r.delivered, m.Data)
	r.d.counts.tokens.Inc(1)
	r.d.lastToken.Store(r.d.Clock.Now().UnixNano())
	err := r.emit(Part{
		Attempt: m.Attempt, Position: m.Position, Data: m.Data, Last: r.checker.Done(), Receipt: m.Receipt, Route: route,
	})
	return verdict, reason, errors.Wrap(err, "emit")
}
