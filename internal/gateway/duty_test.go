package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/leaser"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// killable returns a store whose writes fail once killed is set.
func killable(store storer.Store, killed *atomic.Bool) storer.Store {
	put := store.Put
	store.Put = func(ctx context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
		if killed.Load() {
			return 0, storer.ErrUnavailable
		}
		return put(ctx, key, value, expected)
	}
	return store
}

// TestDutyIsTakenOverFromAKilledHolder: the holder's session stays in the store, and the wait for its end must not start
// again.
func TestDutyIsTakenOverFromAKilledHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformfaker.New(platformfaker.Config{}).Store()
		ctx, cancel := context.WithCancel(t.Context())
		var killed atomic.Bool
		holder := leaser.New(cataloger.Member{Name: "z", Epoch: 1})
		holder.Store, holder.Clock, holder.Log, holder.Duration = killable(store, &killed), timer.System{}, zerolog.Nop(), leaseDuration
		holder.Random, holder.Metrics = rand.New(rand.NewPCG(1, 2)), metrics.NewRegistry()
		holderCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{}, 4)
		run := func(f func(context.Context) error, ctx context.Context) {
			go func() {
				_ = f(ctx)
				done <- struct{}{}
			}()
		}
		run(holder.Run, holderCtx)
		_, err := holder.Acquire(ctx, dutyName)
		require.NoError(t, err)
		killed.Store(true)
		stop()

		g := New(Settings{Name: "a", PeerListen: "a:2", ConfigPrefix: "config/", TargetsPrefix: "servers/"}, timer.System{}, zerolog.Nop())
		g.Adapter.Store = store
		g.prepare(nil)
		g.config.Store(matcher.New(matcher.Document{Version: 1}))
		run(g.targetFollower.Run, ctx)
		run(g.duty.leaser.Run, ctx)
		run(g.runDuty, ctx)
		time.Sleep(5 * leaseDuration)
		require.True(t, g.duty.valid())
		require.True(t, g.holdsDuty())
		cancel()
		for range 4 {
			<-done
		}
	})
}

// TestChangesAreReadWithoutALeaseHolder: the watches deliver nothing and nobody holds the lease, as while its holder is
// cut off.
func TestChangesAreReadWithoutALeaseHolder(t *testing.T) {
	const applyBound = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		fullStore := platformfaker.New(platformfaker.Config{}).Store()
		store := fullStore
		store.Watch = func(ctx context.Context, _ string, _ storer.Point, _ func(storer.Event) error) error {
			<-ctx.Done()
			return ctx.Err()
		}
		store.Put = func(context.Context, string, []byte, storer.Point) (storer.Point, error) {
			return 0, storer.ErrUnavailable
		}
		ctx, cancel := context.WithCancel(t.Context())
		g := New(Settings{Name: "a", PeerListen: "a:2", ConfigPrefix: "config/", TargetsPrefix: "servers/"}, timer.System{}, zerolog.Nop())
		g.Adapter.Store = store
		g.Adapter.DecodeTarget = func(key string, _ []byte) (cataloger.Target, error) { return cataloger.Target{Name: key}, nil }
		g.prepare(nil)
		done := make(chan struct{}, 4)
		services := []func(context.Context) error{g.configFollower.Run, g.targetFollower.Run, g.duty.leaser.Run, g.runDuty}
		for _, run := range services {
			go func() {
				_ = run(ctx)
				done <- struct{}{}
			}()
		}
		time.Sleep(5 * time.Second)
		for i := range 3 {
			_, err := fullStore.Put(ctx, fmt.Sprint("servers/", i), []byte("{}"), 0)
			require.NoError(t, err)
			time.Sleep(applyBound)
			c, _ := g.targetFollower.Snapshot()
			require.Len(t, c.Objects, i+1, "the change is applied within %s", applyBound)
		}
		cancel()
		for range services {
			<-done
		}
	})
}
