package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// TestTrafficShiftsAwayFromBadInstance sends requests one after the other, so that outstanding requests do not affect the choice. The
// load is that of one daemon of four in front of a plain service: two requests a second on a quick and a slow route, and one on a
// route that always times out.
func TestTrafficShiftsAwayFromBadInstance(t *testing.T) {
	const (
		rounds = 200
		quick  = 2 * time.Millisecond
		slow   = 30 * time.Millisecond
		limit  = 400 * time.Millisecond
	)
	failed, turn := refuser.New(refuser.TargetFailed, "500"), 0
	for name, c := range map[string]struct {
		attempt func(took time.Duration) (time.Duration, error)
		healthy bool
	}{
		"well": {func(took time.Duration) (time.Duration, error) { return took, nil }, true},
		"slow": {func(took time.Duration) (time.Duration, error) { return 5 * took, nil }, false},
		"fails sometimes": {func(took time.Duration) (time.Duration, error) {
			if turn++; turn%2 == 0 {
				return took, failed
			}
			return took, nil
		}, false},
		"fails":        {func(took time.Duration) (time.Duration, error) { return took, failed }, false},
		"fails slowly": {func(time.Duration) (time.Duration, error) { return limit, failed }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := balancer(func(_ context.Context, target cataloger.Target, r Request) (Answer, error) {
					took, err := map[string]time.Duration{"quick": quick, "slow": slow, "endless": limit}[r.Route], error(nil)
					switch {
					case r.Route == "endless":
						err = refuser.New(refuser.DeadlineExceeded, "no answer in time")
					case target.Name == "i0":
						took, err = c.attempt(took)
					}
					time.Sleep(took)
					return Answer{}, err
				})
				counts := map[string]int{}
				inner := b.Attempt
				b.Attempt = func(ctx context.Context, target cataloger.Target, r Request) (Answer, error) {
					if r.Route != "endless" {
						counts[target.Name]++
					}
					return inner(ctx, target, r)
				}
				began := time.Now()
				for range rounds {
					for _, route := range []string{"quick", "slow", "endless"} {
						_, _ = b.Do(t.Context(), instances(3), Request{Service: "app", Route: route}, Policy{MaxAttempts: 1})
						time.Sleep(300 * time.Millisecond)
					}
				}
				total := counts["i0"] + counts["i1"] + counts["i2"]
				require.Equal(t, 2*rounds, total, "a route that always times out counts against no instance")
				require.Greater(t, min(counts["i1"], counts["i2"]), total/5, "the others share the load")
				if c.healthy {
					require.Greater(t, counts["i0"], total/5)
					return
				}
				require.LessOrEqual(t, counts["i0"], int(time.Since(began)/performanceDecay), "it is retried only occasionally")
				require.Positive(t, counts["i0"])
			})
		})
	}
}

// TestPerformanceDecays checks that the cost of an instance that was slow or failed returns to that of the others.
func TestPerformanceDecays(t *testing.T) {
	now := time.Unix(100, 0)
	var r performance
	require.InDelta(t, 1, r.Cost(now, 0), 1e-9, "unknown instance")
	require.InDelta(t, 3, r.Cost(now, 2), 1e-9)
	r.Observe(now, 2, 1)
	before := r.Cost(now, 0)
	require.Greater(t, before, 2*costTolerance)
	for range 10 {
		now = now.Add(performanceDecay)
		after := r.Cost(now, 0)
		require.Less(t, after, before)
		before = after
	}
	require.Less(t, before, costTolerance)
}
