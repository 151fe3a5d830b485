package forwarder

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/budgeter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Policy limits the attempts at one request.
type Policy struct {
	// MaxAttempts is the maximum number of attempts, including the first; 0 is the default.
	MaxAttempts int
	// Budget is the share of requests that may be retried; 0 is the default.
	Budget float64
	// Permit, if not nil, reports whether an attempt may be sent to an instance now; another instance is picked if not. The
	// instance must then not be offered again until it may.
	Permit func(ctx context.Context, target cataloger.Target) bool
	// HeldBack, if not nil, returns the names of instances that get an attempt only if no other may be tried.
	HeldBack func() []string
	// Spend, if not nil, replaces the balancer's own budget; it reports whether one more attempt is allowed.
	Spend func() bool
}

const (
	defaultAttempts = 3
	defaultBudget   = 0.2
	minRetryPause   = 10 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	// refusalPause is the minimum time for which an instance that refused a request gets no other.
	refusalPause = 100 * time.Millisecond
	// budgetBurst is the number of retries that a workspace may make on a service without earlier requests.
	budgetBurst = 10
	maxBudgets  = 8192
)

// Attempt makes one attempt at a request on one instance; an error is a *refuser.Refusal whose fact is proven.
type Attempt func(ctx context.Context, target cataloger.Target, r Request) (Answer, error)

// Balancer spreads requests over the instances of plain services and retries what is safe.
type Balancer struct {
	Clock timer.Clock
	Rand  *rand.Rand
	// Attempt makes one attempt, as Forwarder.Forward does.
	Attempt Attempt

	mu        sync.Mutex
	instances map[string]*instanceState
	budgets   *budgeter.Set[budgetKey]
	baselines map[routeKey]*routeBaseline
}

type routeKey struct{ service, route string }

// instanceState is the breaker and the recent performance of one instance.
type instanceState struct {
	breaker.Breaker
	performance performance
}

type budgetKey struct {
	workspace cataloger.Workspace
	service   string
}

// NewBalancer returns a balancer whose attempts are made by f.
func NewBalancer(f *Forwarder, rng *rand.Rand) *Balancer {
	return &Balancer{
		Clock:     f.Clock,
		Rand:      rng,
		Attempt:   f.Forward,
		instances: map[string]*instanceState{},
		budgets:   budgeter.NewSet[budgetKey](budgetBurst, maxBudgets),
	}
}

// Do runs a request on one of the live targets; an error is a *refuser.Refusal whose fact covers all attempts.
func (b *Balancer) Do(ctx context.Context, targets []cataloger.Target, r Request, policy Policy) (Answer, error) {
	return b.Run(ctx, func() []cataloger.Target { return targets }, r, policy, b.Attempt)
}

// Run is like Do, but makes attempts with the given function and asks for the targets before each attempt.
func (b *Balancer) Run(ctx context.Context, targets func() []cataloger.Target, r Request, policy Policy, attempt Attempt) (Answer, error) {
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = defaultAttempts
	}
	if policy.Budget <= 0 {
		policy.Budget = defaultBudget
	}
	spend := policy.Spend
	if spend == nil {
		budget := b.budgets.Get(budgetKey{workspace: r.Workspace, service: r.Service})
		budget.EarnShare(policy.Budget)
		spend = budget.Spend
	}
	run := attempts{request: r, policy: policy}
	for {
		target, ok := b.pick(targets(), run.unpreferred())
		if !ok {
			return Answer{}, run.refusal(refuser.NoTarget, "no instance of %s takes requests", r.Service).WithRetryAfter(breaker.MinOpen)
		}
		if policy.Permit != nil && !policy.Permit(ctx, target) {
			b.abandon(target.Name)
			if ctx.Err() != nil {
				return Answer{}, run.refusal(refuser.Canceled, "before an attempt on %s", target.Name)
			}
			continue
		}
		answer, err := b.attempt(ctx, target, run.nextRequest(b.Clock.Now()), attempt)
		if err == nil {
			return answer, nil
		}
		if final := run.recordFailure(target.Name, refuser.From(err)); final != nil {
			return Answer{}, final
		}
		if ctx.Err() != nil {
			return Answer{}, run.refusal(refuser.Canceled, "after: %s", err)
		}
		if !spend() {
			return Answer{}, run.refusal(refuser.RetryBudgetSpent, "after: %s", err)
		}
		if b.Clock.Sleep(ctx, b.retryDelay(run.count)) != nil {
			return Answer{}, run.refusal(refuser.Canceled, "between attempts, after: %s", err)
		}
		if !r.Deadline.IsZero() && !b.Clock.Now().Before(r.Deadline) {
			return Answer{}, run.refusal(refuser.DeadlineExceeded, "between attempts, after: %s", err)
		}
	}
}

// attempts is the state of the attempts at one request.
type attempts struct {
	request Request
	policy  Policy
	count   int
	tried   []string
	// mayHaveRun is true once an attempt failed without proof that it did not run.
	mayHaveRun bool
}

// unpreferred returns the instances that get an attempt only if no other may be tried.
func (a *attempts) unpreferred() []string {
	if a.policy.HeldBack == nil {
		return a.tried
	}
	return slices.Concat(a.tried, a.policy.HeldBack())
}

// nextRequest returns the request of the next attempt; an attempt that may be repeated gets half of the remaining time and
// leaves the rest to the others.
func (a *attempts) nextRequest(now time.Time) Request {
	a.count++
	r := a.request
	if r.Idempotent && !r.Deadline.IsZero() && a.count < a.policy.MaxAttempts {
		r.Deadline = now.Add(r.Deadline.Sub(now) / 2)
	}
	return r
}

// recordFailure records the refusal of an attempt and returns the final refusal, or nil if another attempt is safe.
func (a *attempts) recordFailure(target string, err *refuser.Refusal) *refuser.Refusal {
	if !slices.Contains(a.tried, target) {
		a.tried = append(a.tried, target)
	}
	if err.Fact != refuser.FactNotRun {
		a.mayHaveRun = true
	}
	switch {
	case err.Code == refuser.Canceled || err.Code == refuser.UnknownMethod || err.Code == refuser.MalformedRequest || err.Code == refuser.Quarantined:
		return err.WithFact(a.fact())
	case a.mayHaveRun && !a.request.Idempotent:
		return err
	case a.count < a.policy.MaxAttempts:
		return nil
	case a.count == 1:
		return err
	}
	return a.refusal(refuser.AttemptsExhausted, "%d attempts, the last: %s", a.count, err).WithRetryAfter(err.RetryAfter)
}

func (a *attempts) fact() refuser.Fact {
	if a.mayHaveRun {
		return refuser.FactMayHaveRun
	}
	return refuser.FactNotRun
}

func (a *attempts) refusal(code refuser.Code, format string, args ...any) *refuser.Refusal {
	return refuser.New(code, format, args...).WithFact(a.fact())
}

// pick returns the live target with the lowest cost for a request and prefers targets that are not in unpreferred.
func (b *Balancer) pick(targets []cataloger.Target, unpreferred []string) (cataloger.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var preferred, others []cataloger.Target
	for _, t := range targets {
		switch {
		case t.State != cataloger.StateLive || !b.state(t.Name).Allows(now):
		case slices.Contains(unpreferred, t.Name):
			others = append(others, t)
		default:
			preferred = append(preferred, t)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		return cataloger.Target{}, false
	}
	best := b.cheapest(preferred, now)
	b.state(best.Name).Start()
	return best, true
}

// cheapest returns a random one of the targets whose cost is within costTolerance of the lowest; the caller holds mu.
func (b *Balancer) cheapest(targets []cataloger.Target, now time.Time) cataloger.Target {
	costs, minCost := b.costs(targets, now)
	var best cataloger.Target
	ties := 0
	for i, t := range targets {
		if costs[i] <= costTolerance*minCost {
			ties++
			if b.Rand.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// abandon ends an attempt that was picked and not made.
func (b *Balancer) abandon(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(name).Abandon()
}

func (b *Balancer) attempt(ctx context.Context, target cataloger.Target, r Request, run Attempt) (Answer, error) {
	began := b.Clock.Now()
	answer, err := run(ctx, target, r)
	b.mu.Lock()
	defer b.mu.Unlock()
	state, now := b.state(target.Name), b.Clock.Now()
	if err == nil {
		b.recordAttempt(state, r, now, began, false)
		state.Succeed()
		return answer, nil
	}
	refusal := refuser.From(err)
	switch refusal.Code {
	case refuser.TargetRefused:
		state.Pause(now, max(refusal.RetryAfter, refusalPause))
	case refuser.Canceled, refuser.UnknownMethod, refuser.MalformedRequest, refuser.LinkLost:
		state.Abandon()
	default:
		b.recordAttempt(state, r, now, began, true)
		state.Fail(now, b.Rand)
	}
	return Answer{}, refusal
}

// recordAttempt records the duration and result of an attempt that the instance answered or failed; the caller holds mu.
func (b *Balancer) recordAttempt(state *instanceState, r Request, now, began time.Time, failed bool) {
	key := routeKey{service: r.Service, route: cmp.Or(r.Route, r.Method)}
	u, ok := b.baselines[key]
	if !ok {
		if b.baselines == nil || len(b.baselines) >= maxRoutes {
			b.baselines = map[routeKey]*routeBaseline{}
		}
		u = &routeBaseline{}
		b.baselines[key] = u
	}
	logSlowdown, excessFailure := u.Observe(now.Sub(began), failed)
	state.performance.Observe(now, logSlowdown, excessFailure)
}

// state returns the state of an instance and creates it if needed; the caller holds mu.
func (b *Balancer) state(name string) *instanceState {
	state, ok := b.instances[name]
	if !ok {
		state = &instanceState{}
		b.instances[name] = state
	}
	return state
}

// Retain removes the state of the instances that are not in names, unless they have requests in progress.
func (b *Balancer) Retain(names map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, state := range b.instances {
		if !names[name] && state.Outstanding() == 0 {
			delete(b.instances, name)
		}
	}
}

// Outstanding returns the number of requests of this balancer that an instance has in progress.
func (b *Balancer) Outstanding(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(name).Outstanding()
}

// retryDelay returns the jittered delay before the next attempt.
func (b *Balancer) retryDelay(count int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := min(minRetryPause<<min(count-1, 10), maxRetryPause)
	return time.Duration(b.Rand.Int64N(int64(d) + 1))
}
