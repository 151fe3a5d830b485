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

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/servicefaker"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func balancer(attempt func(ctx context.Context, target cataloger.Target, r Request) (Answer, error)) *Balancer {
	b := NewBalancer(&Forwarder{Clock: timer.System{}}, rand.New(rand.NewPCG(1, 1)))
	b.Attempt = attempt
	return b
}

func instances(n int) []cataloger.Target {
	var out []cataloger.Target
	for i := range n {
		out = append(out, cataloger.Target{Name: fmt.Sprintf("i%d", i), State: cataloger.StateLive})
	}
	return out
}

func TestRetriesOnlyWhatIsSafe(t *testing.T) {
	notRun := refuser.New(refuser.TargetRefused, "busy")
	mayHave := refuser.New(refuser.TargetFailed, "cut")
	for name, c := range map[string]struct {
		idempotent bool
		errs       []*refuser.Refusal
		attempts   int
		code       refuser.Code
		fact       refuser.Fact
	}{
		"first attempt succeeds":              {false, nil, 1, refuser.OK, 0},
		"proven not run is retried":           {false, []*refuser.Refusal{notRun}, 2, refuser.OK, 0},
		"may have run is final":               {false, []*refuser.Refusal{mayHave}, 1, refuser.TargetFailed, refuser.FactMayHaveRun},
		"not run, then may have run is final": {false, []*refuser.Refusal{notRun, mayHave}, 2, refuser.TargetFailed, refuser.FactMayHaveRun},
		"idempotent is retried":               {true, []*refuser.Refusal{mayHave, notRun}, 3, refuser.OK, 0},
		"exhausted without a run":             {false, []*refuser.Refusal{notRun, notRun, notRun}, 3, refuser.AttemptsExhausted, refuser.FactNotRun},
		"exhausted, one may have run":         {true, []*refuser.Refusal{mayHave, notRun, notRun}, 3, refuser.AttemptsExhausted, refuser.FactMayHaveRun},
		"cancel is final":                     {true, []*refuser.Refusal{mayHave, refuser.New(refuser.Canceled, "").WithFact(refuser.FactNotRun)}, 2, refuser.Canceled, refuser.FactMayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var tried []string
				b := balancer(func(_ context.Context, target cataloger.Target, _ Request) (Answer, error) {
					tried = append(tried, target.Name)
					if len(tried) <= len(c.errs) {
						return Answer{}, c.errs[len(tried)-1]
					}
					return Answer{Status: 200}, nil
				})
				_, err := b.Do(context.Background(), instances(3), Request{Idempotent: c.idempotent}, Policy{})
				require.Len(t, tried, c.attempts)
				for i, name := range tried[1:] {
					require.NotContains(t, tried[:i+1], name, "another instance is tried first")
				}
				if c.code == refuser.OK {
					require.NoError(t, err)
					return
				}
				require.Equal(t, c.code, refuser.From(err).Code)
				require.Equal(t, c.fact, refuser.From(err).Fact)
			})
		})
	}
}

func TestRetryBudgetLimitsRetryStorms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		b := balancer(func(context.Context, cataloger.Target, Request) (Answer, error) {
			calls++
			return Answer{}, refuser.New(refuser.TargetFailed, "down")
		})
		const requests = 1000
		for range requests {
			b.instances = map[string]*instanceState{}
			_, err := b.Do(context.Background(), instances(3), Request{Idempotent: true}, Policy{Budget: 0.1})
			require.Equal(t, refuser.FactMayHaveRun, refuser.From(err).Fact)
		}
		require.LessOrEqual(t, calls, requests+requests/10+budgetBurst)
		require.Greater(t, calls, requests+requests/20)
	})
}

func TestBreakerAvoidsFailingInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		failing := true
		counts := map[string]int{}
		b := balancer(func(ctx context.Context, target cataloger.Target, _ Request) (Answer, error) {
			mu.Lock()
			counts[target.Name]++
			bad := failing && target.Name == "i0"
			mu.Unlock()
			if bad {
				return Answer{}, refuser.New(refuser.TargetFailed, "cut")
			}
			return Answer{}, timer.System{}.Sleep(ctx, 20*time.Millisecond)
		})
		load := func(d time.Duration) (failures int) {
			counts = map[string]int{}
			for range int(d / (10 * time.Millisecond)) {
				if _, err := b.Do(context.Background(), instances(3), Request{}, Policy{}); err != nil {
					failures++
				}
			}
			return failures
		}
		require.LessOrEqual(t, load(10*time.Second), breaker.FailureThreshold+8, "only probes reach the failing instance")
		mu.Lock()
		failing = false
		mu.Unlock()
		_ = load(60 * time.Second)
		require.Zero(t, load(10*time.Second))
		require.Greater(t, counts["i0"], 200, "it gets its share of requests again")
	})
}

func TestNoInstance(t *testing.T) {
	b := balancer(nil)
	leaving := []cataloger.Target{{Name: "x", State: cataloger.StateLeaving}}
	_, err := b.Do(context.Background(), leaving, Request{}, Policy{})
	require.Equal(t, refuser.NoTarget, refuser.From(err).Code)
	require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
}

func TestAtMostOnceOverRealInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	var targets []cataloger.Target
	var services []*servicefaker.Service
	for i := range 3 {
		s, target := instance(t, servicefaker.Config{Name: fmt.Sprintf("b%d", i)})
		services = append(services, s)
		targets = append(targets, target)
	}
	b := NewBalancer(newForwarder(t), rng)
	faults := []servicefaker.FaultType{
		servicefaker.FaultDieBeforeRun, servicefaker.FaultDropAnswer, servicefaker.FaultRefuse, servicefaker.FaultRefuseBare,
	}
	answered, refused := map[string]bool{}, map[string]bool{}
	for i := range 300 {
		require.NoError(t, services[rng.IntN(3)].AddFault(servicefaker.Fault{Type: faults[rng.IntN(len(faults))]}))
		r := booking()
		r.RequestID = fmt.Sprintf("r-%d", i)
		b.mu.Lock()
		b.instances = map[string]*instanceState{}
		b.mu.Unlock()
		_, err := b.Do(context.Background(), targets, r, Policy{})
		if err == nil {
			answered[r.RequestID] = true
		} else if refuser.From(err).Fact == refuser.FactNotRun {
			refused[r.RequestID] = true
		}
	}
	runs := map[string]int{}
	for _, s := range services {
		for _, run := range s.Ledger().Runs {
			runs[run.RequestID]++
		}
	}
	for id, n := range runs {
		require.Equal(t, 1, n, "%s ran twice", id)
		require.False(t, refused[id], "%s was refused as not run and ran", id)
	}
	for id := range answered {
		require.Equal(t, 1, runs[id], "%s was answered and did not run", id)
	}
	require.NotEmpty(t, answered)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 30, 300, 3300} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			bl := balancer(nil)
			targets := instances(n)
			for b.Loop() {
				t, _ := bl.pick(targets, nil)
				bl.instances[t.Name].Succeed()
			}
		})
	}
}
