package breaker

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4101"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestBreakerOpensProbesAndStartsSlowly(t *testing.T) {
	now := time.Unix(0, 0)
	rng := newRand()
	var b Breaker
	for range FailureThreshold {
		require.True(t, b.Allows(now))
		b.Start()
		b.Fail(now, rng)
	}
	require.False(t, b.Allows(now))
	require.False(t, b.Allows(now.Add(MinOpen/2-1)))

	now = now.Add(MinOpen)
	for limit := 1; limit < SlowStartEnd; limit *= 2 {
		for range limit {
			require.True(t, b.Allows(now))
			b.Start()
		}
		require.False(t, b.Allows(now), "%d at a time", limit)
		for range limit - 1 {
			b.Abandon()
		}
		b.Succeed()
	}
	for range 2 * SlowStartEnd {
		require.True(t, b.Allows(now))
		b.Start()
	}
}

func TestAbandonedProbeAllowsAnother(t *testing.T) {
	now := time.Unix(0, 0)
	var b Breaker
	for range FailureThreshold {
		b.Start()
		b.Fail(now, newRand())
	}
	now = now.Add(MinOpen)
	require.True(t, b.Allows(now))
	b.Start()
	require.False(t, b.Allows(now))
	b.Abandon()
	require.True(t, b.Allows(now))
}

// Compares the breaker with a model that tracks the requests in progress and when the breaker must be open or closed.
func TestBreakerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		rng := newRand()
		var b Breaker
		running, failures, slow := 0, 0, false
		var openUntil, failed time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"start": func(*rapid.T) {
				if !b.Allows(now) {
					return
				}
				require.False(t, now.Before(openUntil), "a request while open")
				require.False(t, slow && running >= SlowStartEnd, "more than a slow start allows")
				b.Start()
				running++
			},
			"end": func(t *rapid.T) {
				if running == 0 {
					return
				}
				running--
				switch rapid.SampledFrom([]string{"succeed", "fail", "pause", "abandon"}).Draw(t, "how") {
				case "succeed":
					b.Succeed()
					failures = 0
				case "fail":
					b.Fail(now, rng)
					failures++
					failed = now
					if failures >= FailureThreshold && !now.Before(openUntil) {
						require.False(t, b.Allows(now), "open after failures in a row")
						openUntil = now.Add(MinOpen / 2)
						slow = true
					}
				case "pause":
					d := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "pause")) * time.Millisecond
					b.Pause(now, d)
					failed = now
					if until := now.Add(min(d, MaxOpen)); until.After(openUntil) {
						openUntil = until
					}
				case "abandon":
					b.Abandon()
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, running, b.Outstanding())
				if running == 0 && now.Sub(failed) >= MaxOpen {
					require.True(t, b.Allows(now), "open forever")
				}
			},
		})
	})
}

// serve simulates a server with processor sharing and a knee: the time per unit of cost grows once more than knee requests run.
func serve(l *Limit, knee, rounds int, start time.Time, base time.Duration) time.Time {
	now := start
	for range rounds {
		n := l.Value()
		timePerCost := base
		if n > knee {
			timePerCost = base * time.Duration(n) / time.Duration(knee)
		}
		now = now.Add(timePerCost * 10)
		for range n {
			l.Observe(now, timePerCost*10, 10, n, false)
		}
	}
	return now
}

func TestLimitFindsTheKneeFromBothSides(t *testing.T) {
	for _, knee := range []int{8, 64, 500} {
		for _, initial := range []int{1, 16, 2000} {
			l := NewLimit(initial)
			now := serve(l, knee, 400, time.Unix(0, 0), 20*time.Millisecond)
			if initial > knee {
				now = serve(l, knee, 4000, now, 20*time.Millisecond)
			}
			require.InDelta(t, float64(knee), float64(l.Value()), float64(knee)*0.3+2, "knee %d from %d", knee, initial)
			require.NotZero(t, now)
		}
	}
}

func TestLimitFollowsALossOfCapacity(t *testing.T) {
	l := NewLimit(16)
	now := serve(l, 200, 100, time.Unix(0, 0), 20*time.Millisecond)
	require.InDelta(t, 200, l.Value(), 62)
	serve(l, 50, 60, now, 20*time.Millisecond)
	require.InDelta(t, 50, l.Value(), 17)
}

func TestLimitShrinksWhereTargetsReportOverload(t *testing.T) {
	l := NewLimit(100)
	now := time.Unix(0, 0)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		l.Observe(now, time.Second, 10, 100, i%2 == 0)
	}
	require.Less(t, l.Value(), 60)
	require.GreaterOrEqual(t, l.Value(), 1)
}
