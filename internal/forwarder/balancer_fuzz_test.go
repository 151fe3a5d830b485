package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/budgeter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// fuzzTarget is the oracle's state of one instance.
type fuzzTarget struct {
	cataloger.Target
	inFlight int
	failures int
	// trips counts how often the breaker opened since the last success.
	trips int
	// limit is the request limit of the slow start after the breaker opened; 0 is no limit.
	limit int
	// closedUntil is when requests may be sent to the instance again.
	closedUntil time.Time
	// jitter draws the same numbers as the breaker.
	jitter *rand.Rand
}

// constantSource always draws the same number, so that the oracle can compute the jitter of every breaker exactly.
type constantSource uint64

// Uint64 implements rand.Source.
func (c constantSource) Uint64() uint64 { return uint64(c) }

// jitterSources draw the smallest, the middle and the largest jitter.
var jitterSources = []constantSource{0x00000001_00000001, 0x80000000_80000000, 0xffffffff_ffffffff}

// fuzzRequest is the oracle's state of one request.
type fuzzRequest struct {
	Request
	cancel   context.CancelFunc
	attempts int
	runs     int
	// uncertain is true once an attempt ended without proof that it did not run.
	uncertain bool
	done      bool
	err       error
}

// fuzzAttempt is an attempt in progress.
type fuzzAttempt struct {
	request *fuzzRequest
	target  *fuzzTarget
	end     chan error
}

// balancerModel runs a balancer against simulated instances that the fuzz actions control.
type balancerModel struct {
	t        *rapid.T
	balancer *Balancer
	targets  []*fuzzTarget
	requests map[string]*fuzzRequest

	// mu guards the fields that requests change concurrently with the actions.
	mu         sync.Mutex
	running    []*fuzzAttempt
	retries    int
	violations []string
}

const (
	fuzzAttempts = 3
	fuzzShare    = 0.02
	fuzzBurst    = 1
)

func newBalancerModel(t *rapid.T) *balancerModel {
	m := &balancerModel{t: t, requests: map[string]*fuzzRequest{}}
	random := rand.New(rapid.SampledFrom(jitterSources).Draw(t, "jitter"))
	for i := range 3 {
		m.targets = append(m.targets, &fuzzTarget{
			Target: cataloger.Target{Name: fmt.Sprint("t", i), State: cataloger.StateLive},
			jitter: random,
		})
	}
	m.balancer = &Balancer{
		Clock:     timer.System{},
		Rand:      random,
		Attempt:   m.attempt,
		instances: map[string]*instanceState{},
		budgets:   budgeter.NewSet[budgetKey](fuzzBurst, maxBudgets),
	}
	return m
}

func (m *balancerModel) reportViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

// attempt checks the request sent and waits for the action that ends it.
func (m *balancerModel) attempt(_ context.Context, target cataloger.Target, r Request) (Answer, error) {
	a := m.beginAttempt(target, r)
	err := <-a.end
	return Answer{Status: 200}, err
}

func (m *balancerModel) beginAttempt(target cataloger.Target, r Request) *fuzzAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.requests[r.RequestID]
	var to *fuzzTarget
	for _, candidate := range m.targets {
		if candidate.Name == target.Name {
			to = candidate
		}
	}
	q.attempts++
	if q.attempts > 1 {
		m.retries++
	}
	m.checkAttempt(q, to)
	to.inFlight++
	a := &fuzzAttempt{request: q, target: to, end: make(chan error, 1)}
	m.running = append(m.running, a)
	return a
}

func (m *balancerModel) checkAttempt(q *fuzzRequest, to *fuzzTarget) {
	if q.uncertain && !q.Idempotent {
		m.reportViolation("%s is not idempotent and was resent after it may have run", q.RequestID)
	}
	if q.attempts > fuzzAttempts {
		m.reportViolation("%s was sent %d times", q.RequestID, q.attempts)
	}
	if to.State != cataloger.StateLive {
		m.reportViolation("%s was sent to %s, which is leaving", q.RequestID, to.Name)
	}
	if time.Now().Before(to.closedUntil) {
		m.reportViolation("%s was sent to %s, which is closed for %s", q.RequestID, to.Name, time.Until(to.closedUntil))
	}
	if to.limit > 0 && to.inFlight >= to.limit {
		m.reportViolation("%s was sent to %s with %d in progress in slow start", q.RequestID, to.Name, to.inFlight)
	}
}

func (m *balancerModel) send() {
	q := &fuzzRequest{Request: Request{
		Workspace: "w", Service: "s", RequestID: fmt.Sprint("r", len(m.requests)),
		Idempotent: rapid.Bool().Draw(m.t, "idempotent"),
		Deadline:   time.Now().Add(time.Duration(rapid.IntRange(1, 5000).Draw(m.t, "deadline")) * time.Millisecond),
	}}
	var ctx context.Context
	ctx, q.cancel = context.WithCancel(context.Background())
	m.mu.Lock()
	m.requests[q.RequestID] = q
	m.mu.Unlock()
	var targets []cataloger.Target
	for _, to := range m.targets {
		targets = append(targets, to.Target)
	}
	go func() {
		_, err := m.balancer.Do(ctx, targets, q.Request, Policy{MaxAttempts: fuzzAttempts, Budget: fuzzShare})
		m.mu.Lock()
		defer m.mu.Unlock()
		q.err, q.done = err, true
	}()
	synctest.Wait()
}

// finish ends an attempt with one of the results that a forwarder can return.
func (m *balancerModel) finish() {
	m.finishOne()
	synctest.Wait()
}

func (m *balancerModel) finishOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	a.target.inFlight--
	a.end <- m.drawOutcome(a)
}

func (m *balancerModel) drawOutcome(a *fuzzAttempt) error {
	switch rapid.IntRange(0, 6).Draw(m.t, "how") {
	case 0, 1:
		a.request.runs++
		a.target.succeeded()
		return nil
	case 2:
		after := time.Duration(rapid.IntRange(0, 300).Draw(m.t, "after")) * time.Millisecond
		a.target.closeFor(max(after, refusalPause))
		return refuser.New(refuser.TargetRefused, "busy").WithRetryAfter(after)
	case 3:
		a.target.failed()
		return refuser.New(refuser.TargetFailed, "not connected").WithFact(refuser.FactNotRun)
	case 4:
		// The instance is healthy; no other must be tried.
		return refuser.New(refuser.UnknownMethod, "no such method").WithFact(refuser.FactNotRun)
	case 5:
		a.request.runs++
	}
	a.request.uncertain = true
	a.target.failed()
	return refuser.New(refuser.TargetFailed, "cut").WithFact(refuser.FactMayHaveRun)
}

func (to *fuzzTarget) closeFor(d time.Duration) {
	if until := time.Now().Add(d); until.After(to.closedUntil) {
		to.closedUntil = until
	}
}

func (to *fuzzTarget) succeeded() {
	to.failures = 0
	to.trips = 0
	to.limit *= 2
	if to.limit >= breaker.SlowStartEnd {
		to.limit = 0
	}
}

// failed counts a failure; one that ends while the instance is closed does not reopen the breaker.
func (to *fuzzTarget) failed() {
	to.failures++
	if time.Now().Before(to.closedUntil) || (to.failures < breaker.FailureThreshold && to.limit == 0) {
		return
	}
	to.limit = 1
	half := min(breaker.MinOpen<<min(to.trips, 10), breaker.MaxOpen) / 2
	to.trips++
	to.closeFor(half + time.Duration(to.jitter.Int64N(int64(half)+1)))
}

func (m *balancerModel) advance() {
	time.Sleep(time.Duration(rapid.IntRange(1, 800).Draw(m.t, "ms")) * time.Millisecond)
	synctest.Wait()
}

func (m *balancerModel) leaveOrReturn() {
	to := m.targets[rapid.IntRange(0, len(m.targets)-1).Draw(m.t, "target")]
	m.mu.Lock()
	defer m.mu.Unlock()
	// A request in progress keeps the targets it was given, so change states only when none is in progress.
	for _, q := range m.requests {
		if !q.done {
			return
		}
	}
	if to.State == cataloger.StateLive {
		to.State = cataloger.StateLeaving
	} else {
		to.State = cataloger.StateLive
	}
}

func (m *balancerModel) cancelRequest() {
	m.cancelOne()
	synctest.Wait()
}

func (m *balancerModel) cancelOne() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.requests) > 0 {
		i := rapid.IntRange(0, len(m.requests)-1).Draw(m.t, "request")
		m.requests[fmt.Sprint("r", i)].cancel()
	}
}

func (m *balancerModel) invariants() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, to := range m.targets {
		if counted := m.balancer.Outstanding(to.Name); counted != to.inFlight {
			m.reportViolation("%s has %d in progress and the balancer counts %d", to.Name, to.inFlight, counted)
		}
	}
	if float64(m.retries) > fuzzBurst+fuzzShare*float64(len(m.requests)) {
		m.reportViolation("%d retries of %d requests", m.retries, len(m.requests))
	}
	for _, q := range m.requests {
		m.checkOutcome(q)
	}
	require.Empty(m.t, m.violations)
}

func (m *balancerModel) checkOutcome(q *fuzzRequest) {
	if !q.Idempotent && q.runs > 1 {
		m.reportViolation("%s ran %d times", q.RequestID, q.runs)
	}
	if !q.done {
		return
	}
	switch r := refuser.From(q.err); {
	case q.err == nil && q.runs == 0:
		m.reportViolation("%s was answered and did not run", q.RequestID)
	case q.err != nil && r.Fact == refuser.FactNotRun && q.runs > 0:
		m.reportViolation("%s ran and was refused as not run with %s", q.RequestID, r.Code)
	case q.err != nil && r.Fact == refuser.FactUnspecified:
		m.reportViolation("%s was refused without a fact", q.RequestID)
	}
}

// stop ends everything in progress, also after a violation.
func (m *balancerModel) stop() {
	for _, q := range m.requests {
		q.cancel()
	}
	for m.failOne() {
		synctest.Wait()
	}
	time.Sleep(maxRetryPause)
	synctest.Wait()
}

// failOne fails an attempt in progress and reports whether there was one.
func (m *balancerModel) failOne() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.running) == 0 {
		return false
	}
	a := m.running[0]
	m.running = m.running[1:]
	a.target.inFlight--
	a.target.failed()
	a.request.uncertain = true
	a.end <- refuser.New(refuser.TargetFailed, "cut").WithFact(refuser.FactMayHaveRun)
	return true
}

func (m *balancerModel) checkStopped() {
	for _, q := range m.requests {
		require.True(m.t, q.done, q.RequestID)
	}
	m.invariants()
}

// TestBalancerFuzz checks the balancer against the oracle while instances answer, refuse, fail and leave in random order.
func TestBalancerFuzz(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Hide the Deadline method from rapid, since it is not supported in a synctest bubble.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			m := newBalancerModel(t)
			t.Cleanup(m.stop)
			t.Repeat(map[string]func(*rapid.T){
				"send":   func(*rapid.T) { m.send() },
				"send 2": func(*rapid.T) { m.send() },
				"finish": func(*rapid.T) { m.finish() },
				"end":    func(*rapid.T) { m.finish() },
				"wait":   func(*rapid.T) { m.advance() },
				"leave":  func(*rapid.T) { m.leaveOrReturn() },
				"cancel": func(*rapid.T) { m.cancelRequest() },
				"":       func(*rapid.T) { m.invariants() },
			})
			m.stop()
			m.checkStopped()
		})
	})
}
