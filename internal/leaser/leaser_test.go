package leaser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
)

type runningLeaser struct {
	*Leaser
	stop context.CancelFunc
	done chan struct{}
}

func startLeaser(t *testing.T, store storer.Store, name string) *runningLeaser {
	l := New(cataloger.Member{Name: name, Incarnation: 1})
	l.Store = store
	l.Random = rand.New(rand.NewPCG(1, uint64(len(name))))
	ctx, cancel := context.WithCancel(t.Context())
	r := &runningLeaser{Leaser: l, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = l.Run(ctx)
	}()
	return r
}

func (r *runningLeaser) end() {
	r.stop()
	<-r.done
}

func acquire(t *testing.T, r *runningLeaser, name string) *Lease {
	t.Helper()
	lease, err := r.Acquire(t.Context(), name)
	require.NoError(t, err)
	require.True(t, lease.Valid())
	return lease
}

func TestAcquireAndRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformfaker.New(platformfaker.Config{}).Store()
		a, b := startLeaser(t, store, "a"), startLeaser(t, store, "b")
		defer a.end()
		defer b.end()
		first := acquire(t, a, "planner")
		_, err := a.Acquire(t.Context(), "planner")
		require.ErrorIs(t, err, ErrHeld)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		_, err = b.Acquire(ctx, "planner")
		require.ErrorIs(t, err, context.DeadlineExceeded)
		cancel()
		require.True(t, first.Valid())
		require.Greater(t, first.Remaining(), DefaultDuration/2)
		require.NoError(t, first.Release(t.Context()))
		<-first.Lost()
		require.False(t, first.Valid())
		second := acquire(t, b, "planner")
		require.Greater(t, second.Fencing(), first.Fencing())
		require.Equal(t, "planner", second.Name())
	})
}

func TestStopReleasesAllLeasesInOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		a, b := startLeaser(t, p.Store(), "a"), startLeaser(t, p.Store(), "b")
		defer b.end()
		for i := range 20 {
			acquire(t, a, fmt.Sprint("duty-", i))
		}
		writes := p.Ledger().Calls[platformfaker.OperationPut]
		a.end()
		require.Equal(t, writes+1, p.Ledger().Calls[platformfaker.OperationPut])
		begin := time.Now()
		for i := range 20 {
			acquire(t, b, fmt.Sprint("duty-", i))
		}
		require.Less(t, time.Since(begin), DefaultDuration/3, "nobody waits for the leases of a daemon that stopped")
		_, err := a.Acquire(t.Context(), "duty-1")
		require.ErrorIs(t, err, ErrStopped)
	})
}

// TestTakeOver checks that a duty has no holder for at most two polls after a stop, and for TakeOverDelay and two polls after a
// crash.
func TestTakeOver(t *testing.T) {
	timing := NewTiming(DefaultDuration)
	cases := []struct {
		name  string
		stop  func(a *runningLeaser, cut *atomic.Bool)
		bound time.Duration
	}{
		{"stop", func(a *runningLeaser, _ *atomic.Bool) { a.end() }, 2 * timing.PollInterval},
		{"crash", func(_ *runningLeaser, cut *atomic.Bool) { cut.Store(true) }, timing.TakeOverDelay + 2*timing.PollInterval},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := platformfaker.New(platformfaker.Config{})
				disconnected := &atomic.Bool{}
				store := p.Store()
				put := store.Put
				store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
					if disconnected.Load() {
						return 0, storer.ErrUnavailable
					}
					return put(ctx, key, value, expected)
				}
				b := startLeaser(t, p.Store(), "b")
				defer b.end()
				worst := time.Duration(0)
				for i := range 20 {
					name := fmt.Sprint("duty-", i)
					disconnected.Store(false)
					a := startLeaser(t, store, fmt.Sprint("a-", i))
					lease := acquire(t, a, name)
					acquired := make(chan *Lease)
					go func() {
						l, err := b.Acquire(t.Context(), name)
						require.NoError(t, err)
						acquired <- l
					}()
					time.Sleep(time.Duration(i+2) * 773 * time.Millisecond)
					require.True(t, lease.Valid())
					begin := time.Now()
					c.stop(a, disconnected)
					<-acquired
					worst = max(worst, time.Since(begin))
					require.False(t, lease.Valid())
					a.end()
				}
				t.Logf("taken over within %s", worst)
				require.LessOrEqual(t, worst, c.bound)
			})
		})
	}
}

func TestCallsPerLease(t *testing.T) {
	for _, n := range []int{1, 16, 64, 256} {
		synctest.Test(t, func(t *testing.T) {
			p := platformfaker.New(platformfaker.Config{})
			a := startLeaser(t, p.Store(), "a")
			defer a.end()
			for i := range n {
				acquire(t, a, fmt.Sprint("duty-", i))
			}
			before := p.Ledger().Calls
			time.Sleep(10 * time.Minute)
			after := p.Ledger().Calls
			writes := float64(after[platformfaker.OperationPut]-before[platformfaker.OperationPut]) / 600
			reads := float64(after[platformfaker.OperationGet]-before[platformfaker.OperationGet]) / 600
			t.Logf("%d leases held: %.3f writes/s, %.3f reads/s", n, writes, reads)
			require.Less(t, writes, 3.2/DefaultDuration.Seconds(), "one renewal for all")
			require.Zero(t, reads)
		})
	}
}

func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault platformfaker.Fault
		lost  bool
	}{
		{"answers lost for a while", platformfaker.Fault{Kind: platformfaker.FaultAnswerLost, Count: 3}, false},
		{"requests lost for a while", platformfaker.Fault{Kind: platformfaker.FaultRequestLost, Count: 2}, false},
		{"down for a third of the duration", platformfaker.Fault{Kind: platformfaker.FaultOutage, Duration: platformfaker.Duration(DefaultDuration / 3)}, false},
		{"slow", platformfaker.Fault{Kind: platformfaker.FaultSlow, Delay: platformfaker.Duration(DefaultDuration / 5), Duration: platformfaker.Duration(time.Minute)}, false},
		{"too slow to be of use", platformfaker.Fault{Kind: platformfaker.FaultSlow, Delay: platformfaker.Duration(time.Minute), Duration: platformfaker.Duration(time.Minute)}, true},
		{"down for twice the duration", platformfaker.Fault{Kind: platformfaker.FaultOutage, Duration: platformfaker.Duration(2 * DefaultDuration)}, true},
		{"every answer lost for long", platformfaker.Fault{Kind: platformfaker.FaultAnswerLost, Duration: platformfaker.Duration(time.Minute)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := platformfaker.New(platformfaker.Config{})
				a, b := startLeaser(t, p.Store(), "a"), startLeaser(t, p.Store(), "b")
				defer a.end()
				defer b.end()
				lease := acquire(t, a, "planner")
				next := make(chan *Lease, 1)
				go func() {
					if l, err := b.Acquire(t.Context(), "planner"); err == nil {
						next <- l
					}
				}()
				time.Sleep(time.Second)
				p.Inject(c.fault)
				for range 3000 {
					time.Sleep(100 * time.Millisecond)
					if len(next) > 0 {
						break
					}
				}
				select {
				case got := <-next:
					require.True(t, c.lost)
					require.False(t, lease.Valid())
					<-lease.Lost()
					require.Greater(t, got.Fencing(), lease.Fencing())
				default:
					require.False(t, c.lost)
					require.True(t, lease.Valid())
				}
				p.ClearFaults()
			})
		})
	}
}

func TestSweepClearsOldSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformfaker.New(platformfaker.Config{}).Store()
		keep := startLeaser(t, store, "keep")
		defer keep.end()
		lease := acquire(t, keep, "planner")
		for i := range 30 {
			r := startLeaser(t, store, fmt.Sprint("old-", i))
			acquire(t, r, fmt.Sprint("duty-", i))
			r.end()
		}
		sessions := func() int {
			objects, _, err := store.List(t.Context(), sessionPrefix)
			require.NoError(t, err)
			return len(objects)
		}
		require.Equal(t, 31, sessions())
		time.Sleep(3 * sweepInterval)
		require.Equal(t, 1, sessions())
		require.True(t, lease.Valid())
		require.True(t, acquire(t, keep, "duty-3").Valid(), "a lease under a deleted session is free")
	})
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("leases=%d", n), func(b *testing.B) {
			w := newWorld([]float64{1}, testTiming)
			for i := range n {
				w.nodes[0].want(fmt.Sprint("duty-", i))
			}
			w.runHealthy(3 * time.Second)
			now := w.now(w.nodes[0])
			b.ReportAllocs()
			for b.Loop() {
				w.nodes[0].tick(now)
			}
		})
	}
}
