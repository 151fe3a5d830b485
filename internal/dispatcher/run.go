package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/selector"
	"github.com/rattantray/rattantray/internal/verifier"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// run is the state of one job over all its attempts.
type run struct {
	d         *Dispatcher
	job       Job
	emit      func(Part) error
	checker   *verifier.Checker
	attempt   uint32
	delivered [][]byte
	prefixes  []uint64
	tail      *gapTail
	// avoid names the targets that failed this job.
	avoid []string
	// failures counts attempts in a row that failed without a new token.
	failures int
	// reached is the position at which the last attempt failed.
	reached uint64
	// mayHaveRun is set once an engine may have run a layer.
	mayHaveRun bool
	gaps       gapEstimator
	// receipt is that of the last token.
	receipt *commonv1.Receipt
	// moveChecked is when the stream last looked whether it should move.
	moveChecked time.Time
	slowMoves   int
}

// plan is how the next attempt begins.
type plan struct {
	route  cataloger.Route
	permit *selector.Permit
	// imported is set where every stage has the KV cache already.
	imported bool
	// resume is set where the engine still holds the stream of the present attempt.
	resume bool
}

func (r *run) fact() refuser.Fact {
	if r.mayHaveRun {
		return refuser.FactMayHaveRun
	}
	return refuser.FactNotRun
}

func (r *run) run(ctx context.Context) error {
	p, err := r.begin(ctx)
	for err == nil {
		var f *failure
		f, err = r.try(ctx, &p)
		if err != nil || f == nil {
			return err
		}
		p, err = r.recover(ctx, p, f)
	}
	return err
}

// begin plans the first attempt, which takes over the stream that engines may still hold.
func (r *run) begin(ctx context.Context) (plan, error) {
	held := r.job.Held
	if len(held.Route.Stages) == 0 {
		return r.pick(ctx)
	}
	r.attempt = held.Attempt
	r.mayHaveRun = true
	r.checker.BeginAttempt(held.Attempt, stages(held.Route))
	p := plan{route: held.Route, resume: true}
	if r.d.Adopt != nil {
		p.permit = r.d.Adopt(r.request(), held.Route)
	}
	return p, nil
}

// takenOver tells whether the present attempt was begun by another entry.
func (r *run) takenOver() bool { return r.attempt < r.job.FirstAttempt }

// try runs one attempt; a nil failure with a nil error is the end of the answer.
func (r *run) try(ctx context.Context, p *plan) (*failure, error) {
	r.d.counts.attempts.Inc(1)
	f, err := r.follow(ctx, p)
	if f == nil && err == nil {
		p.permit.Done()
		return nil, nil
	}
	if err != nil {
		r.abandon(*p)
		return nil, err
	}
	if ctx.Err() != nil {
		r.abandon(*p)
		return nil, interrupted(ctx, r.fact())
	}
	return f, nil
}

// request returns what the selector is asked for.
func (r *run) request() selector.Request {
	return selector.Request{
		Model: r.job.Model, Version: r.job.Version, Adapter: r.job.Adapter,
		PromptTokens: engineer.PromptTokens(len(r.job.Prompt)) + len(r.delivered),
		Prefixes:     r.prefixes,
		MaxTokens:    r.job.MaxTokens - uint32(r.checker.NextPosition()),
		Avoid:        r.avoid,
	}
}

// pick asks for a route; an answer in progress waits a while for one.
func (r *run) pick(ctx context.Context) (plan, error) {
	giveUp := r.d.Clock.Now().Add(cmp.Or(r.job.RecoverWait, r.d.RecoverWait))
	for try := 0; ; try++ {
		route, permit, err := r.d.Pick(r.request())
		if err == nil {
			return plan{route: route, permit: permit}, nil
		}
		refusal := refuser.From(err)
		if r.failures == 0 || !r.d.Clock.Now().Before(giveUp) {
			return plan{}, refusal.WithFact(r.fact())
		}
		if r.d.Clock.Sleep(ctx, r.backoff(try)) != nil {
			return plan{}, interrupted(ctx, r.fact())
		}
	}
}

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns a random time up to a limit that doubles with each try.
func (r *run) backoff(try int) time.Duration {
	limit := min(firstBackoff<<min(try, 10), maxBackoff)
	return time.Duration((0.25 + 0.75*r.d.float()) * float64(limit))
}

// recover decides how to go on after a failed attempt, or returns the final refusal.
func (r *run) recover(ctx context.Context, p plan, f *failure) (plan, error) {
	if f.kind == failedMove {
		return f.moved, nil
	}
	r.count(f)
	if f.resumable && !p.resume {
		r.d.Log.Debug().Str("request-id", r.job.RequestID).Uint32("attempt", r.attempt).Msg("resume")
		return plan{route: p.route, permit: p.permit, resume: true}, nil
	}
	if r.takenOver() {
		return r.letGo(ctx, p, f)
	}
	if next := r.checker.NextPosition(); next > r.reached {
		r.reached = next
		r.failures = 0
	}
	r.failures++
	if (f.kind == failedStalled || f.kind == failedBroken) && r.d.cutOff() {
		r.abandon(p)
		return plan{}, r.final(refuser.StreamLost, f)
	}
	r.blame(ctx, p, f)
	if err := r.permitted(f); err != nil {
		r.abandon(p)
		return plan{}, err
	}
	if r.failures > 1 {
		if r.d.Clock.Sleep(ctx, r.backoff(r.failures-2)) != nil {
			r.abandon(p)
			return plan{}, interrupted(ctx, r.fact())
		}
	}
	return r.next(ctx, p, f)
}

// letGo goes on without the stream of another entry, which may have cancelled it: only silence is a target's fault.
func (r *run) letGo(ctx context.Context, p plan, f *failure) (plan, error) {
	if f.resumable || errors.Is(f.err, errStalled) {
		r.blame(ctx, p, f)
	}
	r.abandon(p)
	r.attempt = r.nextAttempt()
	r.d.counts.refilled.Inc(1)
	return r.pick(ctx)
}

// permitted returns the final refusal where the job may not be tried again.
func (r *run) permitted(f *failure) error {
	if r.failures >= r.job.MaxAttempts || !r.numbersLeft() {
		r.d.counts.exhausted.Inc(1)
		return r.final(refuser.AttemptsExhausted, f)
	}
	key := budgetKey{r.job.Workspace, r.job.Service}
	if !r.d.budgets.spend(key, r.job.RetryBudget) {
		r.d.counts.noBudget.Inc(1)
		return r.final(refuser.RetryBudgetSpent, f)
	}
	return nil
}

// finalRetryAfter is when a caller may try again after the dispatcher gave up.
const finalRetryAfter = time.Second

func (r *run) final(code refuser.Code, f *failure) error {
	return refuser.New(code, "attempt %d: %s", r.attempt, f).
		WithFact(r.fact()).WithRetryAfter(finalRetryAfter).WithCause(f.err)
}

// next ends the old attempt and plans a new one: on the same chain but for the lost target where its KV cache can be had, else on a fresh chain.
func (r *run) next(ctx context.Context, old plan, f *failure) (plan, error) {
	if p, ok := r.replace(ctx, old, f); ok {
		return p, nil
	}
	r.abandon(old)
	r.advance(f)
	p, err := r.pick(ctx)
	if err == nil {
		r.d.counts.refilled.Inc(1)
	}
	return p, err
}

// abandon releases what an attempt holds and ends it on every stage.
func (r *run) abandon(p plan) {
	p.permit.Done()
	r.cancel(p.route, r.attempt)
}

// fencedStep is added to the attempt number when engines have seen a greater one.
const fencedStep = 16

func (r *run) advance(f *failure) {
	r.attempt = r.nextAttempt()
	if f.kind == failedFenced {
		r.attempt += fencedStep
	}
}

// nextAttempt returns the number after the present one, above all that another entry may have used.
func (r *run) nextAttempt() uint32 { return max(r.attempt+1, r.job.FirstAttempt) }

// numbersLeft tells whether the next attempt has a number within the job's.
func (r *run) numbersLeft() bool {
	return r.job.EndAttempt == 0 || r.nextAttempt()+fencedStep < r.job.EndAttempt
}

func (r *run) shun(target string) {
	if target != "" && !slices.Contains(r.avoid, target) {
		r.avoid = append(r.avoid, target)
	}
}

// deliver checks a part and emits it where it is the next token.
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
