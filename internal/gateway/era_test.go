package gateway

import (
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
)

// writeTarget writes the entry of a target, whether there is one or not.
func (f *spreadFleet) writeTarget(name string) {
	store := f.platform.Store()
	var expected storer.Point
	if o, err := store.Get(f.t.Context(), "servers/"+name); err == nil {
		expected = o.Version
	}
	_, err := store.Put(f.t.Context(), "servers/"+name, []byte("10.9.0.1:80"), expected)
	require.NoError(f.t, err)
}

func (f *spreadFleet) removeTarget(name string) {
	store := f.platform.Store()
	o, err := store.Get(f.t.Context(), "servers/"+name)
	require.NoError(f.t, err)
	_, err = store.Delete(f.t.Context(), o.Key, o.Version)
	require.NoError(f.t, err)
}

// TestFleetThroughADrill guards against a fleet that takes the older copy of the store for the newer state: a key that was withdrawn
// would be accepted again, and a target that has left be used again, until the store's revisions pass those of before.
func TestFleetThroughADrill(t *testing.T) {
	const rewritten = 2 * time.Second
	for _, n := range []int{4, 31, 118, 400} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			if n > 118 && raced {
				t.Skip("CI plays the design size without the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newSpreadFleet(t, n)
				f.acknowledge(1)
				for _, name := range []string{"stays", "gone"} {
					f.writeTarget(name)
				}
				time.Sleep(20 * time.Second)
				require.Zero(t, f.behind(1), "the fleet has started")
				for version := uint64(2); version <= 5; version++ {
					f.acknowledge(version)
				}
				f.removeTarget("gone")
				f.writeTarget("came")
				f.writeTarget("lost")
				time.Sleep(3 * time.Second)
				require.Zero(t, f.behind(5))
				require.Equal(t, n, f.listing("lost"))
				require.Zero(t, f.listing("gone"))

				require.NoError(t, f.platform.Restore(10*time.Second))
				fresh := f.start(n, false)
				time.Sleep(rewritten)
				require.GreaterOrEqual(t, fresh.configVersion(), uint64(5), "a gateway that starts takes it from peers")
				require.Zero(t, f.behind(5), "what was acknowledged stays in force")
				for _, g := range f.all[:n] {
					v, _ := g.targets.Get("gone")
					require.False(t, v.Usable(), "what had left stays left, where that was known")
				}
				f.writeTarget("stays")
				f.writeTarget("came")
				// The operator writes again what the copy lacks, one version after the other, and goes on.
				for version := uint64(2); version <= 6; version++ {
					f.acknowledge(version)
					synctest.Wait()
					require.Zero(t, f.behind(5), "nothing goes out of force on the way")
				}
				time.Sleep(rewritten)
				require.Zero(t, f.behind(6), "a change after the restore is in force on all")
				f.removeTarget("gone")
				time.Sleep(follower.ReturnTime)
				require.Equal(t, n+1, f.listing("stays"))
				require.Equal(t, n+1, f.listing("came"))
				require.Zero(t, f.listing("lost"), "nobody has written it again")
				time.Sleep(10 * time.Second)
				require.Zero(t, f.listing("gone"))
				for _, g := range f.all[:n] {
					require.Equal(t, int64(1), g.eras.Load(), fmt.Sprintf("%s has noticed the drill", g.Settings.Name))
				}
			})
		})
	}
}
