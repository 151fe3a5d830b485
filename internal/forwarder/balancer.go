package forwarder

import (
	"cmp"
	"context"
	"math"
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

// Policy bounds the attempts at one request.
type Policy struct {
	// MaxAttempts counts the first one; 0 is the default.
	MaxAttempts int
	// Budget is the share of requests that may be retried; 0 is the default.
	Budget float64
	// Spend replaces the balancer's own budget where it is not nil: it allows one more attempt, or returns false.
	Spend func() bool
}

const (
	defaultAttempts = 3
	defaultBudget   = 0.2
	minRetryPause   = 10 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	// refusalPause is how long an instance that refused without a time is left alone.
	refusalPause = 100 * time.Millisecond
	// budgetBurst is how many retries a workspace may make on a service without a history of requests.
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
	instances map[string]*replica
	budgets   *budgeter.Set[budgetKey]
	usual     map[routeKey]*usual
}

type routeKey struct{ service, route string }

// replica is what is known of one instance.
type replica struct {
	breaker.Breaker
	record record
}

type budgetKey struct {
	workspace cataloger.Workspace
	service   string
}

// NewBalancer returns a balancer that makes its attempts with f.
func NewBalancer(f *Forwarder, rng *rand.Rand) *Balancer {
	return &Balancer{
		Clock:     f.Clock,
		Rand:      rng,
		Attempt:   f.Forward,
		instances: map[string]*replica{},
		budgets:   budgeter.NewSet[budgetKey](budgetBurst, maxBudgets),
	}
}

// Do runs a request on one of the live targets; an error is a *refuser.Refusal whose fact covers all attempts.
func (b *Balancer) Do(ctx context.Context, targets []cataloger.Target, r Request, policy Policy) (Answer, error) {
	return b.Run(ctx, func() []cataloger.Target { return targets }, r, policy, b.Attempt)
}

// Run is Do with another way to make an attempt, and with the targets as they are known at each attempt.
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
		target, ok := b.pick(targets(), run.tried)
		if !ok {
			return Answer{}, run.refusal(refuser.NoTarget, "no instance of %s takes requests", r.Service).WithRetryAfter(breaker.MinOpen)
		}
		answer, err := b.attempt(ctx, target, run.next(b.Clock.Now()), attempt)
		if err == nil {
			return answer, nil
		}
		if final := run.failed(target.Name, refuser.From(err)); final != nil {
			return Answer{}, final
		}
		if !spend() {
			return Answer{}, run.refusal(refuser.RetryBudgetSpent, "after: %s", err)
		}
		if b.Clock.Sleep(ctx, b.pause(run.count)) != nil {
			return Answer{}, run.refusal(refuser.Canceled, "between attempts, after: %s", err)
		}
		if !r.Deadline.IsZero() && !b.Clock.Now().Before(r.Deadline) {
			return Answer{}, run.refusal(refuser.DeadlineExceeded, "between attempts, after: %s", err)
		}
	}
}

// attempts is what is known of the attempts at one request.
type attempts struct {
	request Request
	policy  Policy
	count   int
	tried   []string
	// mayHaveRun is true once an attempt did not prove that it did not run.
	mayHaveRun bool
}

// next returns the request of the next attempt; an attempt that may be repeated leaves half of the time to the others.
func (a *attempts) next(now time.Time) Request {
	a.count++
	r := a.request
	if r.Idempotent && !r.Deadline.IsZero() && a.count < a.policy.MaxAttempts {
		r.Deadline = now.Add(r.Deadline.Sub(now) / 2)
	}
	return r
}

// failed takes the refusal of an attempt and returns the final one, or nil where another attempt is safe.
func (a *attempts) failed(target string, err *refuser.Refusal) *refuser.Refusal {
	if !slices.Contains(a.tried, target) {
		a.tried = append(a.tried, target)
	}
	if err.Fact != refuser.FactNotRun {
		a.mayHaveRun = true
	}
	switch {
	case err.Code == refuser.Canceled || err.Code == refuser.UnknownMethod || err.Code == refuser.MalformedRequest:
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

// pick returns the live target at which a request costs least, one not tried before where there is one.
func (b *Balancer) pick(targets []cataloger.Target, tried []string) (cataloger.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	var fresh, again []cataloger.Target
	for _, t := range targets {
		switch {
		case t.State != cataloger.StateLive || !b.of(t.Name).Allows(now):
		case slices.Contains(tried, t.Name):
			again = append(again, t)
		default:
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		fresh = again
	}
	if len(fresh) == 0 {
		return cataloger.Target{}, false
	}
	best := b.cheapest(fresh, now)
	b.of(best.Name).Start()
	return best, true
}

// cheapest returns one of the targets at which a request costs least; the caller holds mu.
func (b *Balancer) cheapest(targets []cataloger.Target, now time.Time) cataloger.Target {
	costs, least := make([]float64, len(targets)), math.Inf(1)
	for i, t := range targets {
		known := b.of(t.Name)
		costs[i] = known.record.Cost(now, known.Outstanding())
		least = min(least, costs[i])
	}
	var best cataloger.Target
	ties := 0
	for i, t := range targets {
		if costs[i] <= alike*least {
			ties++
			if b.Rand.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

func (b *Balancer) attempt(ctx context.Context, target cataloger.Target, r Request, do Attempt) (Answer, error) {
	began := b.Clock.Now()
	answer, err := do(ctx, target, r)
	b.mu.Lock()
	defer b.mu.Unlock()
	br, now := b.of(target.Name), b.Clock.Now()
	if err == nil {
		b.note(br, r, now, began, false)
		br.Succeed()
		return answer, nil
	}
	refusal := refuser.From(err)
	switch refusal.Code {
	case refuser.TargetRefused:
		br.Pause(now, max(refusal.RetryAfter, refusalPause))
	case refuser.Canceled, refuser.UnknownMethod, refuser.MalformedRequest:
		br.Abandon()
	default:
		b.note(br, r, now, began, true)
		br.Fail(now, b.Rand)
	}
	return Answer{}, refusal
}

// note takes in an attempt that the instance answered or failed; the caller holds mu.
func (b *Balancer) note(known *replica, r Request, now, began time.Time, failed bool) {
	key := routeKey{service: r.Service, route: cmp.Or(r.Route, r.Method)}
	u, ok := b.usual[key]
	if !ok {
		if b.usual == nil || len(b.usual) >= maxRoutes {
			b.usual = map[routeKey]*usual{}
		}
		u = &usual{}
		b.usual[key] = u
	}
	slower, fault := u.Note(now.Sub(began), failed)
	known.record.Note(now, slower, fault)
}

// of returns the state of an instance; the caller holds mu.
func (b *Balancer) of(name string) *replica {
	br, ok := b.instances[name]
	if !ok {
		br = &replica{}
		b.instances[name] = br
	}
	return br
}

// Retain forgets the instances that are not among the names, unless they have requests in progress.
func (b *Balancer) Retain(names map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, br := range b.instances {
		if !names[name] && br.Outstanding() == 0 {
			delete(b.instances, name)
		}
	}
}

// Outstanding returns how many requests an instance has in progress from here.
func (b *Balancer) Outstanding(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(name).Outstanding()
}

// pause returns the jittered wait before the next attempt.
func (b *Balancer) pause(count int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := min(minRetryPause<<min(count-1, 10), maxRetryPause)
	return time.Duration(b.Rand.Int64N(int64(d) + 1))
}
