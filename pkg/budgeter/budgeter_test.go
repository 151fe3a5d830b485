package budgeter

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261203"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestBudgetBoundsRetriesToItsShare compares retries with the burst plus the share of the first attempts, in any order.
func TestBudgetBoundsRetriesToItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		burst := float64(rapid.IntRange(0, 20).Draw(t, "burst"))
		b := New(ratio, burst)
		attempts, retries, refused := 0, 0, false
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(*rapid.T) {
				b.Earn()
				attempts++
			},
			"retry": func(*rapid.T) {
				refused = !b.Spend()
				if !refused {
					retries++
				}
			},
			"": func(t *rapid.T) {
				const rounding = 1e-6
				require.LessOrEqual(t, float64(retries), burst+ratio*float64(attempts)+rounding)
				if refused {
					require.GreaterOrEqual(t, float64(retries)+1+rounding, burst, "refused before the burst was used")
				}
			},
		})
	})
}

// Every attempt of a full fleet fails; the attempts stay within the share and the burst of each budget.
func TestNoRetryStorm(t *testing.T) {
	const requests, maxAttempts = 10_000, 5
	for name, c := range map[string]struct{ ratio, burst float64 }{
		"client":        {0.2, 20},
		"dispatcher":    {0.2, 20},
		"plain service": {0.2, 10},
	} {
		b := New(c.ratio, c.burst)
		attempts := 0
		for range requests {
			b.Earn()
			attempts++
			for retry := 1; retry < maxAttempts && b.Spend(); retry++ {
				attempts++
			}
		}
		t.Logf("%s: %.4f attempts a request", name, float64(attempts)/requests)
		require.LessOrEqual(t, float64(attempts), requests*(1+c.ratio)+c.burst, name)
	}
}

func TestSetKeepsItsBound(t *testing.T) {
	s := NewSet[int](1, 4)
	require.True(t, s.Get(0).Spend())
	for key := range 20 {
		s.Get(key)
		require.LessOrEqual(t, len(s.budgets), 4)
	}
	require.False(t, s.Get(0).Spend(), "a spent budget is kept while others are full")
	for key := range 20 {
		s.Get(key).Spend()
		require.LessOrEqual(t, len(s.budgets), 4)
	}
}
