package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
)

// writeTarget creates or overwrites the entry of a target.
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

// TestFleetAfterRestoreFromOlderCopy guards against a fleet that takes a restored older copy of the store for the newer
// state: it would accept a withdrawn key or use a removed target again until the store's revisions exceed the old ones.
func TestFleetAfterRestoreFromOlderCopy(t *testing.T) {
	const rewriteTime = 2 * time.Second
	for _, n := range []int{4, 31, 118, 400} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			if n > 4 && raced {
				t.Skip("CI plays larger fleets without the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newSpreadFleet(t, n)
				f.writeConfig(1)
				for _, name := range []string{"stays", "gone"} {
					f.writeTarget(name)
				}
				time.Sleep(20 * time.Second)
				require.Zero(t, f.behind(1), "the fleet has started")
				for version := uint64(2); version <= 5; version++ {
					f.writeConfig(version)
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
				time.Sleep(rewriteTime)
				require.GreaterOrEqual(t, fresh.configVersion(), uint64(5), "a starting gateway gets it from its peers")
				require.Zero(t, f.behind(5), "what was acknowledged stays in force")
				for _, g := range f.all[:n] {
					v, _ := g.targets.Get("gone")
					require.False(t, v.Usable(), "gateways that had removed a target keep it removed")
				}
				f.writeTarget("stays")
				f.writeTarget("came")
				// The operator writes the versions that the copy lacks again, one after the other, and continues.
				for version := uint64(2); version <= 6; version++ {
					f.writeConfig(version)
					synctest.Wait()
					require.Zero(t, f.behind(5), "no configuration goes out of force meanwhile")
				}
				time.Sleep(rewriteTime)
				require.Zero(t, f.behind(6), "a change after the restore is in force on all")
				f.removeTarget("gone")
				time.Sleep(follower.ReturnWindow)
				require.Equal(t, n+1, f.listing("stays"))
				require.Equal(t, n+1, f.listing("came"))
				require.Zero(t, f.listing("lost"), "it was not written again")
				time.Sleep(10 * time.Second)
				require.Zero(t, f.listing("gone"))
				for _, g := range f.all[:n] {
					require.Equal(t, int64(1), g.eraCount.Load(), fmt.Sprintf("%s has noticed the new era", g.Settings.Name))
				}
			})
		})
	}
}

// TestFleetDrillsAgainstAnOracle restores the store from older copies at random moments, also twice in a row, among
// changes, targets that come and go, gateways cut off from the store, and watches that go silent. The oracle tracks what
// the operator and the targets have written: no gateway falls back behind what it had in force, none uses a target again
// that it had removed, and all agree with the store 2 s after the last write is repeated.
func TestFleetDrillsAgainstAnOracle(t *testing.T) {
	if raced {
		t.Skip("CI plays larger fleets without the race detector")
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"change", "come", "go", "drill", "two drills", "cut", "join", "silence", "wait"}), 3, 14).Draw(rt, "steps")
		var numbers []int
		for range steps {
			numbers = append(numbers, rapid.IntRange(0, drillFleet-1).Draw(rt, "number"))
		}
		playDrills(t, steps, numbers)
	})
}

// TestPeerAheadBringsNoRemovedTargetBack guards against a removed target that is used again after a change of the peer that a
// gateway follows: the new one, which had been cut off from the store, keeps the target in case it reappears.
func TestPeerAheadBringsNoRemovedTargetBack(t *testing.T) {
	if raced {
		t.Skip("CI plays larger fleets without the race detector")
	}
	steps := []string{"come", "change", "cut", "cut", "join", "change", "wait", "change", "go", "cut", "two drills", "go", "wait", "silence"}
	rapid.Check(t, func(rt *rapid.T) {
		var numbers []int
		for range steps {
			numbers = append(numbers, rapid.IntRange(0, drillFleet-1).Draw(rt, "number"))
		}
		// The target that comes is the one that goes.
		numbers[8] = numbers[0]
		playDrills(t, steps, numbers)
	})
}

// drillFleet is the number of gateways in the tests of drills.
const drillFleet = 12

// playDrills plays steps with a fleet and checks it against an oracle; the number of a step selects its target, gateway or time.
func playDrills(t *testing.T, steps []string, numbers []int) {
	const agreeTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(t, drillFleet)
		version := uint64(1)
		f.writeConfig(version)
		owned, joins := map[string]bool{}, map[int]func(){}
		time.Sleep(6 * time.Second)
		// used holds the targets that a gateway has used since they came, and removed those of them that it then
		// removed. A gateway may still learn of other removed targets from the copy.
		used, removed := make([]map[string]bool, drillFleet), make([]map[string]bool, drillFleet)
		for i := range removed {
			used[i], removed[i] = map[string]bool{}, map[string]bool{}
		}
		checkTargets := func(when string) {
			synctest.Wait()
			for i, g := range f.all {
				for k := range 4 {
					name := fmt.Sprint("target-", k)
					v, _ := g.targets.Get(name)
					switch {
					case v.Usable():
						require.False(t, removed[i][name] && !owned[name], "%s is used again by gateway %d after %s of %v", name, i, when, steps)
						used[i][name], removed[i][name] = true, false
					case !owned[name]:
						removed[i][name] = used[i][name]
					}
				}
			}
		}
		rewrite := func() {
			for _, name := range slices.Sorted(maps.Keys(owned)) {
				f.writeTarget(name)
			}
			objects, _, err := f.platform.Store().List(t.Context(), "servers/")
			require.NoError(t, err)
			for _, o := range objects {
				if name := strings.TrimPrefix(o.Key, "servers/"); !owned[name] {
					f.removeTarget(name)
				}
			}
			f.writeConfig(version)
		}
		for i, step := range steps {
			k := numbers[i]
			name := fmt.Sprint("target-", k%4)
			switch step {
			case "change":
				version++
				f.writeConfig(version)
			case "come":
				// A target that returns counts as a new one.
				if !owned[name] {
					for j := range removed {
						used[j][name], removed[j][name] = false, false
					}
				}
				owned[name] = true
				f.writeTarget(name)
			case "go":
				if owned[name] {
					delete(owned, name)
					f.removeTarget(name)
				}
			case "drill", "two drills":
				checkTargets("before a drill")
				require.NoError(t, f.platform.Restore(time.Duration(k)*time.Second))
				if step == "two drills" {
					require.NoError(t, f.platform.Restore(time.Second))
				}
				time.Sleep(300 * time.Millisecond)
				checkTargets(step)
				rewrite()
			case "cut":
				if joins[k] == nil && len(joins) < drillFleet/2 {
					joins[k] = f.cut(k)
				}
			case "join":
				if joins[k] != nil {
					joins[k]()
					delete(joins, k)
				}
			case "silence":
				f.silenceWatches()
			case "wait":
				time.Sleep(time.Duration(k) * 400 * time.Millisecond)
			}
			checkTargets(step)
		}
		for _, join := range joins {
			join()
		}
		time.Sleep(follower.ReturnWindow + time.Second)
		rewrite()
		version++
		f.writeConfig(version)
		time.Sleep(agreeTime)
		require.Zero(t, f.behind(version), "after %v", steps)
		time.Sleep(follower.ReturnWindow + 8*time.Second)
		for i, g := range f.all {
			for k := range 4 {
				name := fmt.Sprint("target-", k)
				v, _ := g.targets.Get(name)
				require.Equal(t, owned[name], v.Usable(), "%s on gateway %d after %v", name, i, steps)
			}
		}
	})
}
