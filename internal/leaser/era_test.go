package leaser

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
)

// cuttable returns a store that answers nothing while cut.
func cuttable(store storer.Store, cut *atomic.Bool) storer.Store {
	get, put := store.Get, store.Put
	store.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if cut.Load() {
			return storer.Object{}, storer.ErrUnavailable
		}
		return get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		if cut.Load() {
			return 0, storer.ErrUncertain
		}
		return put(ctx, key, value, expected)
	}
	return store
}

// TestLeaseEndsWithItsEra: a holder that hears of a new era of the store holds nothing until it has the lease anew, under a higher
// fencing number, although the copy still names it.
func TestLeaseEndsWithItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		a := start(t, p.Store(), "a")
		defer a.end()
		first := acquire(t, a, "planner")
		time.Sleep(time.Minute)
		require.NoError(t, p.Restore(30*time.Second))
		a.AdvanceEra(1)
		synctest.Wait()
		require.False(t, first.Valid())
		began := time.Now()
		second := acquire(t, a, "planner")
		require.Greater(t, second.Fencing(), first.Fencing())
		require.Less(t, time.Since(began), 2*NewTiming(DefaultDuration).Wait)
	})
}

// TestOneHolderThroughDrills has the store come back from older copies, to before any lease was taken, beside daemons that are cut off
// from it: two daemons never hold the lease at a time, and fencing numbers never fall.
func TestOneHolderThroughDrills(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"restore", "cut", "join", "release", "wait"}), 4, 16).Draw(rt, "steps")
		var who, times []int
		for range steps {
			who = append(who, rapid.IntRange(0, 2).Draw(rt, "who"))
			times = append(times, rapid.IntRange(1, 40).Draw(rt, "seconds"))
		}
		synctest.Test(t, func(t *testing.T) {
			p := platformfaker.New(platformfaker.Config{})
			var runs []*run
			cuts := make([]atomic.Bool, 3)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			var mu sync.Mutex
			held := map[int]*Lease{}
			var fencings []uint64
			for i := range cuts {
				r := start(t, cuttable(p.Store(), &cuts[i]), fmt.Sprint("daemon-", i))
				runs = append(runs, r)
				wg.Go(func() {
					for ctx.Err() == nil {
						lease, err := r.Acquire(ctx, "planner")
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						mu.Lock()
						held[i] = lease
						fencings = append(fencings, lease.Fencing())
						mu.Unlock()
						select {
						case <-lease.Lost():
						case <-ctx.Done():
						}
					}
				})
			}
			wg.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(50 * time.Millisecond)
					mu.Lock()
					valid := 0
					for _, lease := range held {
						if lease.Valid() {
							valid++
						}
					}
					mu.Unlock()
					require.LessOrEqual(t, valid, 1, "holders after %v", steps)
				}
			})
			time.Sleep(2 * DefaultDuration)
			for i, step := range steps {
				d := time.Duration(times[i]) * time.Second
				switch step {
				case "restore":
					require.NoError(t, p.Restore(d))
				case "cut":
					cuts[who[i]].Store(true)
				case "join":
					cuts[who[i]].Store(false)
				case "release":
					mu.Lock()
					lease := held[who[i]]
					mu.Unlock()
					if lease != nil {
						require.NoError(t, lease.Release(ctx))
					}
				case "wait":
					time.Sleep(d)
				}
				time.Sleep(time.Second)
			}
			for i := range cuts {
				cuts[i].Store(false)
			}
			time.Sleep(4 * DefaultDuration)
			mu.Lock()
			valid := 0
			for _, lease := range held {
				if lease.Valid() {
					valid++
				}
			}
			mu.Unlock()
			require.Equal(t, 1, valid, "somebody holds the lease in the end, after %v", steps)
			require.IsIncreasing(t, fencings)
			cancel()
			wg.Wait()
			for _, r := range runs {
				r.end()
			}
		})
	})
}
