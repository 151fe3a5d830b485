package follower

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// point returns a point within the limits.
func point(t require.TestingT, era, revision uint64) storer.Point {
	p, err := storer.NewPoint(era, revision)
	require.NoError(t, err)
	return p
}

// compareValues orders values that are numbers.
func compareValues(a, b storer.Object) int {
	x, _ := strconv.Atoi(string(a.Value))
	y, _ := strconv.Atoi(string(b.Value))
	return cmp.Compare(x, y)
}

// TestReplaces: within an era the revision decides; between eras what the values say, and the later era where they say the same.
func TestReplaces(t *testing.T) {
	cases := []struct {
		name                         string
		knownEra, knownRevision      uint64
		known                        string
		offeredEra, offeredRevision  uint64
		offered                      string
		replaces, replacesUncompared bool
	}{
		{"a later change", 0, 5, "1", 0, 6, "2", true, true},
		{"a later change to what was", 0, 5, "2", 0, 6, "1", true, true},
		{"an earlier change", 0, 5, "1", 0, 4, "2", false, false},
		{"the same change", 0, 5, "1", 0, 5, "1", false, false},
		{"an older copy", 0, 5, "2", 1, 3, "1", false, true},
		{"the same in the copy", 0, 5, "2", 1, 5, "2", true, true},
		{"written after the restore", 0, 5, "2", 1, 4, "3", true, true},
		{"an earlier era", 1, 3, "2", 0, 9, "1", false, false},
		{"an earlier era that had more", 1, 3, "1", 0, 9, "2", true, false},
		{"two eras later", 0, 9, "2", 2, 1, "2", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known := storer.Object{Value: []byte(c.known), Version: point(t, c.knownEra, c.knownRevision)}
			offered := storer.Object{Value: []byte(c.offered), Version: point(t, c.offeredEra, c.offeredRevision)}
			require.Equal(t, c.replaces, replaces(known, offered, compareValues))
			require.Equal(t, c.replacesUncompared, replaces(known, offered, nil))
		})
	}
}

// TestStaleListBringsNothingBack guards against a peer that lags, or a stale read, that brings back an object that was dropped since: a
// target that has left, or a key that was withdrawn.
func TestStaleListBringsNothingBack(t *testing.T) {
	f := New(storer.Store{}, "servers/", timer.System{})
	f.Apply = func(storer.Object, bool) {}
	a := storer.Object{Key: "servers/a", Value: []byte("1"), Version: 3}
	b := storer.Object{Key: "servers/b", Value: []byte("1"), Version: 4}
	f.reconcile([]storer.Object{a, b}, 5)
	f.take(storer.Event{Object: storer.Object{Key: a.Key, Version: 7}, Deleted: true, Revision: 7})
	f.reconcile([]storer.Object{a, b}, 6)
	c, _ := f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects)
	f.take(storer.Event{Object: a, Revision: 6})
	c, _ = f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects, "nor does a change")
	b.Version = 9
	f.take(storer.Event{Object: b, Revision: 9})
	f.take(storer.Event{Object: storer.Object{Key: b.Key, Version: 8}, Deleted: true, Revision: 8})
	c, _ = f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects, "an object that was made anew is not removed by an earlier removal")
	a.Version = 10
	f.reconcile([]storer.Object{a, b}, 10)
	c, _ = f.Snapshot()
	require.Len(t, c.Objects, 2, "one that is made anew is there")
}

// drill is a follower of a platform that has drills.
type drill struct {
	platform *platformfaker.Platform
	follower *Follower
	known    func() map[string]string
}

// newDrill starts a follower of the prefix servers/.
func newDrill(t testing.TB, set func(f *Follower)) *drill {
	d := &drill{platform: platformfaker.New(platformfaker.Config{})}
	d.follower, d.known = followStore(t, d.platform.Store(), set)
	return d
}

func (d *drill) put(t testing.TB, key, value string) {
	store := d.platform.Store()
	var expected storer.Point
	if o, err := store.Get(t.Context(), key); err == nil {
		expected = o.Version
	}
	_, err := store.Put(t.Context(), key, []byte(value), expected)
	require.NoError(t, err)
}

func (d *drill) remove(t testing.TB, key string) {
	store := d.platform.Store()
	o, err := store.Get(t.Context(), key)
	require.NoError(t, err)
	_, err = store.Delete(t.Context(), key, o.Version)
	require.NoError(t, err)
}

// TestStoreComesBackFromAnOlderCopy says what becomes of each kind of state.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	const age = 5 * time.Second
	cases := []struct {
		name string
		// before happens before the copy is made, after while it is older than the store, and rewrite right after the restore.
		before, after, rewrite func(t testing.TB, d *drill)
		keep                   bool
		// soon is what is known at once after the restore, settled after the time of an outage, and late after what was deferred.
		soon, settled, late map[string]string
	}{
		{
			name:   "what was acknowledged stays in force until it is written again",
			before: func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			soon:   map[string]string{"servers/a": "2"}, settled: map[string]string{"servers/a": "2"}, late: map[string]string{"servers/a": "2"},
		},
		{
			name:    "a change after the restore is taken, whatever its revision",
			before:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:   func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			rewrite: func(t testing.TB, d *drill) { d.put(t, "servers/a", "3") },
			soon:    map[string]string{"servers/a": "3"}, settled: map[string]string{"servers/a": "3"}, late: map[string]string{"servers/a": "3"},
		},
		{
			name:   "an entry that the copy lacks stays for the time of an outage",
			before: func(testing.TB, *drill) {},
			after:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			soon:   map[string]string{"servers/a": "1"}, settled: map[string]string{}, late: map[string]string{},
		},
		{
			name:    "an entry that the copy lacks and its owner writes again stays",
			before:  func(testing.TB, *drill) {},
			after:   func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			rewrite: func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			soon:    map[string]string{"servers/a": "1"}, settled: map[string]string{"servers/a": "1"}, late: map[string]string{"servers/a": "1"},
		},
		{
			name: "an object that is kept although the copy lacks it", keep: true,
			before: func(testing.TB, *drill) {},
			after:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			soon:   map[string]string{"servers/a": "1"}, settled: map[string]string{"servers/a": "1"}, late: map[string]string{"servers/a": "1"},
		},
		{
			name:   "an entry that had left does not come back with the copy",
			before: func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:  func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			soon:   map[string]string{}, settled: map[string]string{}, late: map[string]string{"servers/a": "1"},
		},
		{
			name:    "one that starts anew after it had left is there at once",
			before:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:   func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			rewrite: func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			soon:    map[string]string{"servers/a": "2"}, settled: map[string]string{"servers/a": "2"}, late: map[string]string{"servers/a": "2"},
		},
		{
			name:    "an entry of the copy that the store removes never comes back",
			before:  func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:   func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			rewrite: func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			soon:    map[string]string{}, settled: map[string]string{}, late: map[string]string{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var eras []uint64
				d := newDrill(t, func(f *Follower) {
					f.Compare, f.KeepMissing = compareValues, c.keep
					f.OnNewEra = func(era uint64) { eras = append(eras, era) }
				})
				c.before(t, d)
				time.Sleep(2 * age)
				c.after(t, d)
				synctest.Wait()
				require.NoError(t, d.platform.Restore(age))
				synctest.Wait()
				if c.rewrite != nil {
					c.rewrite(t, d)
				}
				time.Sleep(2 * firstPause)
				require.Equal(t, c.soon, d.known())
				time.Sleep(ReturnWindow)
				require.Equal(t, c.settled, d.known())
				time.Sleep(deferTime)
				synctest.Wait()
				require.Equal(t, c.late, d.known())
				require.Equal(t, []uint64{1}, eras)
			})
		})
	}
}

// TestTargetThatComesBackLongAfterADrill guards against an entry that waits for ever, as it was dropped before a drill and is written
// again after the time in which a copy may name it.
func TestTargetThatComesBackLongAfterADrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrill(t, func(f *Follower) { f.Compare = compareValues })
		d.put(t, "servers/a", "1")
		time.Sleep(10 * time.Second)
		d.remove(t, "servers/a")
		time.Sleep(time.Second)
		require.NoError(t, d.platform.Restore(0))
		time.Sleep(deferTime + time.Second)
		require.Empty(t, d.known())
		d.put(t, "servers/a", "1")
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/a": "1"}, d.known())
	})
}

// TestRevisionsThatAreGivenOutAgain guards against a watch that goes on in a new era from a revision of the one before, and so
// misses what was written under the numbers in between.
func TestRevisionsThatAreGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrill(t, func(f *Follower) { f.Compare = compareValues })
		d.put(t, "servers/a", "1")
		time.Sleep(10 * time.Second)
		for i := range 5 {
			d.put(t, fmt.Sprint("servers/old", i), "1")
		}
		synctest.Wait()
		require.NoError(t, d.platform.Restore(time.Second))
		for i := range 9 {
			d.put(t, fmt.Sprint("servers/new", i), "1")
		}
		time.Sleep(ReturnWindow + time.Second)
		want := []string{"servers/a"}
		for i := range 9 {
			want = append(want, fmt.Sprint("servers/new", i))
		}
		require.Equal(t, want, slices.Sorted(maps.Keys(d.known())))
	})
}

// TestDrillsAgainstAnOracle has the store come back from older copies at any moment, between any changes. The oracle knows what was
// acknowledged: nothing of that goes out of force, nothing that was dropped comes back, and once all owners have written again the
// follower knows what the store has.
func TestDrillsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"put", "put", "put", "remove", "restore", "restore-twice", "outage", "wait"}), 5, 40).Draw(rt, "steps")
		var keys, ages []int
		for range steps {
			keys = append(keys, rapid.IntRange(0, 4).Draw(rt, "key"))
			ages = append(ages, rapid.IntRange(1, 20).Draw(rt, "age"))
		}
		synctest.Test(t, func(t *testing.T) {
			// inForce are the values that the follower had last, and dropped those that were removed.
			inForce, dropped, newest := map[string]int{}, map[string]int{}, map[string]int{}
			var undone []string
			d := newDrill(t, func(f *Follower) {
				f.Compare = compareValues
				apply := f.Apply
				f.Apply = func(o storer.Object, deleted bool) {
					value, _ := strconv.Atoi(string(o.Value))
					switch {
					case deleted:
						dropped[o.Key] = inForce[o.Key]
						delete(inForce, o.Key)
					case value < inForce[o.Key] || value <= dropped[o.Key]:
						undone = append(undone, fmt.Sprintf("%s is %d after %d, dropped at %d", o.Key, value, inForce[o.Key], dropped[o.Key]))
					default:
						inForce[o.Key] = value
					}
					apply(o, deleted)
				}
			})
			time.Sleep(time.Second)
			// owned are the objects as their owners have them, who write them again after a restore.
			owned := map[string]string{}
			rewrite := func() {
				for _, key := range slices.Sorted(maps.Keys(owned)) {
					d.put(t, key, owned[key])
				}
			}
			for i, step := range steps {
				key := fmt.Sprint("servers/", keys[i])
				switch step {
				case "put":
					next := newest[key] + 1
					d.put(t, key, strconv.Itoa(next))
					newest[key], owned[key] = next, strconv.Itoa(next)
				case "remove":
					if _, ok := owned[key]; ok {
						d.remove(t, key)
						delete(owned, key)
					}
				case "restore", "restore-twice":
					require.NoError(t, d.platform.Restore(time.Duration(ages[i])*time.Second))
					if step == "restore-twice" {
						require.NoError(t, d.platform.Restore(time.Second))
					}
					time.Sleep(2 * firstPause)
					rewrite()
					// The store removes the entries of those that do not renew them.
					objects, _, err := d.platform.Store().List(t.Context(), "servers/")
					require.NoError(t, err)
					for _, o := range objects {
						if _, ok := owned[o.Key]; !ok {
							d.remove(t, o.Key)
						}
					}
				case "outage":
					d.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage, Duration: platformfaker.Duration(time.Duration(ages[i]) * 100 * time.Millisecond)})
					time.Sleep(time.Duration(ages[i])*100*time.Millisecond + 2*time.Second)
				case "wait":
					time.Sleep(time.Duration(ages[i]) * 500 * time.Millisecond)
				}
			}
			time.Sleep(ReturnWindow + deferTime + 2*time.Second)
			synctest.Wait()
			require.Empty(t, undone, strings.Join(steps, " "))
			require.Equal(t, owned, d.known(), strings.Join(steps, " "))
		})
	})
}

// TestLagIsMadeUpForFromPeers: a daemon whose store names an older configuration than a peer has takes that of the peer.
func TestLagIsMadeUpForFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var behind atomic.Bool
		d := newDrill(t, func(f *Follower) {
			f.Compare = compareValues
			f.Behind = behind.Load
			f.FetchFromPeer = func(context.Context, string, storer.Point) (Snapshot, bool) {
				return Snapshot{Revision: point(t, 0, 9), Objects: []storer.Object{{Key: "servers/a", Value: []byte("7"), Version: point(t, 0, 9)}}}, true
			}
		})
		d.put(t, "servers/a", "5")
		time.Sleep(time.Second)
		require.NoError(t, d.platform.Restore(0))
		behind.Store(true)
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/a": "7"}, d.known())
		behind.Store(false)
		d.put(t, "servers/a", "8")
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/a": "8"}, d.known(), "what is written after the restore is taken")
	})
}

// TestChangesOfOneAnswerNeedNoOrder: the changes of one answer come with the point that they lead to together, and an earlier one may
// follow a later one.
func TestChangesOfOneAnswerNeedNoOrder(t *testing.T) {
	f := New(storer.Store{}, "servers/", timer.System{})
	f.Apply = func(storer.Object, bool) {}
	f.reconcile(nil, 5)
	f.take(storer.Event{Object: storer.Object{Key: "servers/b", Version: 9}, Revision: 9})
	f.take(storer.Event{Object: storer.Object{Key: "servers/a", Version: 8}, Revision: 9})
	c, _ := f.Snapshot()
	require.Len(t, c.Objects, 2)
}
