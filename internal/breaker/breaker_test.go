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
	s := DefaultSettings()
	now := time.Unix(0, 0)
	b := New(&s, newRand())
	for range s.Consecutive {
		require.True(t, b.Allow(now))
		b.Record(now, false)
	}
	require.Equal(t, StateOpen, b.State(now))
	require.False(t, b.Allow(now))
	require.Zero(t, b.Weight(now))

	now = now.Add(s.OpenFor * 5 / 4)
	for range s.Probes {
		require.True(t, b.Allow(now))
		require.False(t, b.Allow(now), "one probe at a time")
		b.Record(now, true)
	}
	require.Equal(t, StateClosed, b.State(now))
	require.Equal(t, s.MinWeight, b.Weight(now))
	require.InDelta(t, 0.5, b.Weight(now.Add(s.SlowStart/2)), 1e-9)
	require.Equal(t, 1.0, b.Weight(now.Add(s.SlowStart)))
}

func TestBreakerFreesTheLostProbe(t *testing.T) {
	s := DefaultSettings()
	now := time.Unix(0, 0)
	b := New(&s, newRand())
	for range s.Consecutive {
		b.Record(now, false)
	}
	now = now.Add(time.Minute)
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now.Add(s.ProbeTimeout-1)))
	require.True(t, b.Allow(now.Add(s.ProbeTimeout)))
}

// The oracle counts what the breaker let through and knows when it must and must not.
func TestBreakerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		now := time.Unix(0, 0)
		b := New(&s, newRand())
		failures, quiet := 0, time.Time{}
		var probeAt time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"request": func(t *rapid.T) {
				before := b.State(now)
				if !b.Allow(now) {
					return
				}
				require.NotEqual(t, StateOpen, before)
				if before == StateHalfOpen {
					if !probeAt.IsZero() {
						require.GreaterOrEqual(t, now.Sub(probeAt), s.ProbeTimeout, "two probes at once")
					}
					probeAt = now
				}
				ok := rapid.Bool().Draw(t, "ok")
				if before == StateHalfOpen && rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					return
				}
				probeAt = time.Time{}
				b.Record(now, ok)
				failures = map[bool]int{true: 0, false: failures + 1}[ok]
				if before == StateClosed && failures >= s.Consecutive {
					require.Equal(t, StateOpen, b.State(now))
				}
				if b.State(now) == StateOpen {
					quiet = now
					failures = 0
				}
			},
			"": func(t *rapid.T) {
				w := b.Weight(now)
				require.True(t, w >= 0 && w <= 1)
				if b.State(now) == StateOpen {
					require.LessOrEqual(t, now.Sub(quiet), s.MaxOpenFor*5/4, "open for ever")
				}
			},
		})
	})
}

// server is processor sharing with a knee: the time per unit of cost grows once more than knee requests run.
func serve(l *Limit, knee, rounds int, start time.Time, base time.Duration) time.Time {
	now := start
	for range rounds {
		n := l.Value()
		per := base
		if n > knee {
			per = base * time.Duration(n) / time.Duration(knee)
		}
		now = now.Add(per * 10)
		for range n {
			l.Observe(now, per*10, 10, n, false)
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
