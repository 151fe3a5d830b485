package storer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261203")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

func budget(reads, writes float64, burst int) storer.Budget {
	b := storer.DefaultBudget()
	b.Reads, b.Writes, b.Burst = reads, writes, burst
	b.Random = rand.New(rand.NewPCG(1, 1))
	return b
}

func TestBudgetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		s := storer.NewLimiter(p.Store(), budget(10, 5, 10)).Store(storer.ClassClaim)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			_, _ = s.Get(ctx, "a")
		}
		require.InDelta(t, 10+20*10, p.Ledger().Calls[platformfaker.OperationGet], 2, "burst and 10 a second for 20 s")
	})
}

func TestRatesChangeWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		l := storer.NewLimiter(p.Store(), budget(100, 100, 10))
		s := l.Store(storer.ClassClaim)
		one := budget(0, 0, 0).WithFleet(50, 200, 100)
		require.Equal(t, []float64{4, 2}, []float64{one.Reads, one.Writes})
		l.SetRates(one.Reads, one.Writes)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			_, _ = s.Get(ctx, "a")
		}
		require.InDelta(t, 10+20*4, p.Ledger().Calls[platformfaker.OperationGet], 2)
	})
}

func TestWaitingWatchTakesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		s := storer.NewLimiter(p.Store(), budget(10, 5, 10)).Store(storer.ClassClaim)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		for range 4 {
			go func() { _ = s.Watch(ctx, "w", 0, func(storer.Event) error { return nil }) }()
		}
		synctest.Wait()
		for ctx.Err() == nil {
			_, _ = s.Get(ctx, "a")
		}
		synctest.Wait()
		require.InDelta(t, 6+20*6, p.Ledger().Calls[platformfaker.OperationGet], 2, "watches reserve four of ten reads a second")
	})
}

func TestHigherClassesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		l := storer.NewLimiter(p.Store(), budget(10, 10, 10))
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		refused := map[storer.Class]int{}
		served := map[storer.Class]int{}
		done := make(chan func(), 100)
		for _, class := range []storer.Class{storer.ClassClaim, storer.ClassLease, storer.ClassConfig, storer.ClassOther} {
			go func() {
				s := l.Store(class)
				for ctx.Err() == nil {
					_, err := s.Get(ctx, "a")
					limited := errors.Is(err, storer.ErrRateLimited)
					done <- func() {
						if limited {
							refused[class]++
						} else {
							served[class]++
						}
					}
				}
				done <- nil
			}()
		}
		for ended := 0; ended < 4; {
			if f := <-done; f != nil {
				f()
			} else {
				ended++
			}
		}
		require.Zero(t, refused[storer.ClassClaim], "other classes never cause a claim to be refused")
		require.Greater(t, served[storer.ClassClaim], 290)
		require.Less(t, served[storer.ClassOther], 10)
	})
}

func TestBreakerLimitsCallsToUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		p.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage, Duration: platformfaker.Duration(10 * time.Minute)})
		b := budget(1000, 1000, 1000)
		l := storer.NewLimiter(p.Store(), b)
		s := l.Store(storer.ClassClaim)
		start := time.Now()
		for time.Since(start) < 10*time.Minute {
			_, err := s.Get(t.Context(), "a")
			require.ErrorIs(t, err, storer.ErrUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		require.False(t, l.Available())
		calls := p.Ledger().Calls[platformfaker.OperationGet]
		require.Less(t, calls, uint64(10*60/2), "fewer than one call in two seconds during an outage")
		for errors.Is(func() error { _, err := s.Get(t.Context(), "a"); return err }(), storer.ErrUnavailable) {
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, time.Since(start), 10*time.Minute+b.Breaker.MaxBackoff+time.Second, "recovery is detected within a backoff")
		require.True(t, l.Available())
	})
}

func TestSlowStoreTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		p.Inject(platformfaker.Fault{Kind: platformfaker.FaultSlow, Delay: platformfaker.Duration(time.Hour)})
		b := budget(100, 100, 100)
		s := storer.NewLimiter(p.Store(), b).Store(storer.ClassLease)
		start := time.Now()
		_, err := s.Get(t.Context(), "a")
		require.ErrorIs(t, err, storer.ErrUnavailable)
		require.Equal(t, b.Timeout, time.Since(start))
		errors := b.Metrics.Get("store-get-unavailable").(metrics.Counter)
		require.Equal(t, int64(1), errors.Count())
	})
}

func BenchmarkStore(b *testing.B) {
	for _, impl := range implementations {
		for _, size := range []int{100, 1_000, 20_000, 500_000} {
			b.Run(fmt.Sprintf("%s/value=%d", impl.name, size), func(b *testing.B) {
				p := platformfaker.New(platformfaker.Config{})
				s := impl.make(b, p)
				if impl.name == "limited" {
					unlimited := budget(1e9, 1e9, 1_000_000)
					s = storer.NewLimiter(p.Store(), unlimited).Store(storer.ClassClaim)
				}
				value := make([]byte, size)
				version, err := s.Put(b.Context(), "a", value, 0)
				require.NoError(b, err)
				b.ReportAllocs()
				for b.Loop() {
					version, err = s.Put(b.Context(), "a", value, version)
					if err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
