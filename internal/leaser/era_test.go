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

// disconnectable returns a store whose Get and Put fail while disconnected is set.
func disconnectable(store storer.Store, disconnected *atomic.Bool) storer.Store {
	get, put := store.Get, store.Put
	store.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if disconnected.Load() {
			return storer.Object{}, storer.ErrUnavailable
		}
		return get(ctx, key)
	}
	store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		if disconnected.Load() {
			return 0, storer.ErrUncertain
		}
		return put(ctx, key, value, expected)
	}
	return store
}

// TestLeaseEndsWithItsEra checks that a holder that learns of a new era of the store holds nothing until it has acquired the lease
// again, under a higher fencing number, although the restored copy still shows it as the holder.
func TestLeaseEndsWithItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := platformfaker.New(platformfaker.Config{})
		a := startLeaser(t, p.Store(), "a")
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
		require.Less(t, time.Since(began), 2*NewTiming(DefaultDuration).TakeOverDelay)
	})
}

// TestOneHolderThroughRestores restores the store from older copies, even from before any lease was acquired, while daemons lose
// their connection to it: two daemons never hold the lease at the same time, and fencing numbers never fall.
func TestOneHolderThroughRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"restore", "cut", "join", "release", "wait"}), 4, 16).Draw(rt, "steps")
		var daemons, seconds []int
		for range steps {
			daemons = append(daemons, rapid.IntRange(0, 2).Draw(rt, "who"))
			seconds = append(seconds, rapid.IntRange(1, 40).Draw(rt, "seconds"))
		}
		synctest.Test(t, func(t *testing.T) {
			p := platformfaker.New(platformfaker.Config{})
			var runs []*runningLeaser
			disconnected := make([]atomic.Bool, 3)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			var mu sync.Mutex
			held := map[int]*Lease{}
			var fencings []uint64
			for i := range disconnected {
				r := startLeaser(t, disconnectable(p.Store(), &disconnected[i]), fmt.Sprint("daemon-", i))
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
				d := time.Duration(seconds[i]) * time.Second
				switch step {
				case "restore":
					require.NoError(t, p.Restore(d))
				case "cut":
					disconnected[daemons[i]].Store(true)
				case "join":
					disconnected[daemons[i]].Store(false)
				case "release":
					mu.Lock()
					lease := held[daemons[i]]
					mu.Unlock()
					if lease != nil {
						require.NoError(t, lease.Release(ctx))
					}
				case "wait":
					time.Sleep(d)
				}
				time.Sleep(time.Second)
			}
			for i := range disconnected {
				disconnected[i].Store(false)
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
			require.Equal(t, 1, valid, "a daemon holds the lease in the end, after %v", steps)
			require.IsIncreasing(t, fencings)
			cancel()
			wg.Wait()
			for _, r := range runs {
				r.end()
			}
		})
	})
}
