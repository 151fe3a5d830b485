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

// TestReplaces checks that the revision decides within an era, and that between eras the content does, or else the later era.
func TestReplaces(t *testing.T) {
	cases := []struct {
		name                         string
		currentEra, currentRevision  uint64
		current                      string
		offeredEra, offeredRevision  uint64
		offered                      string
		replaces, replacesUncompared bool
	}{
		{"a later change", 0, 5, "1", 0, 6, "2", true, true},
		{"a later change back to the earlier value", 0, 5, "2", 0, 6, "1", true, true},
		{"an earlier change", 0, 5, "1", 0, 4, "2", false, false},
		{"the same change", 0, 5, "1", 0, 5, "1", false, false},
		{"an older value in the restored copy", 0, 5, "2", 1, 3, "1", false, true},
		{"the same value in the restored copy", 0, 5, "2", 1, 5, "2", true, true},
		{"written after the restore", 0, 5, "2", 1, 4, "3", true, true},
		{"an earlier era", 1, 3, "2", 0, 9, "1", false, false},
		{"an earlier era with a later value", 1, 3, "1", 0, 9, "2", true, false},
		{"two eras later", 0, 9, "2", 2, 1, "2", true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current := storer.Object{Value: []byte(c.current), Version: point(t, c.currentEra, c.currentRevision)}
			offered := storer.Object{Value: []byte(c.offered), Version: point(t, c.offeredEra, c.offeredRevision)}
			require.Equal(t, c.replaces, replaces(current, offered, compareValues))
			require.Equal(t, c.replacesUncompared, replaces(current, offered, nil))
		})
	}
}

// TestStaleListRestoresNothing guards against a lagging peer or a stale read that brings back an object that has been dropped
// since: a target that has left, or a key that was revoked.
func TestStaleListRestoresNothing(t *testing.T) {
	f := New(storer.Store{}, "servers/", timer.System{})
	f.Apply = func(storer.Object, bool) {}
	a := storer.Object{Key: "servers/a", Value: []byte("1"), Version: 3}
	b := storer.Object{Key: "servers/b", Value: []byte("1"), Version: 4}
	f.reconcile([]storer.Object{a, b}, 5)
	f.applyEvent(storer.Event{Object: storer.Object{Key: a.Key, Version: 7}, Deleted: true, Revision: 7})
	f.reconcile([]storer.Object{a, b}, 6)
	c, _ := f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects)
	f.applyEvent(storer.Event{Object: a, Revision: 6})
	c, _ = f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects, "a stale event restores nothing either")
	b.Version = 9
	f.applyEvent(storer.Event{Object: b, Revision: 9})
	f.applyEvent(storer.Event{Object: storer.Object{Key: b.Key, Version: 8}, Deleted: true, Revision: 8})
	c, _ = f.Snapshot()
	require.Equal(t, []storer.Object{b}, c.Objects, "an earlier removal does not remove an object that was written again")
	a.Version = 10
	f.reconcile([]storer.Object{a, b}, 10)
	c, _ = f.Snapshot()
	require.Len(t, c.Objects, 2, "an object that was created again is present")
}

// TestPeerAheadRestoresNoDroppedObject guards against a removed target that is used again, as a peer that is ahead still keeps
// it for a while in case it reappears.
func TestPeerAheadRestoresNoDroppedObject(t *testing.T) {
	cases := []struct {
		name                               string
		droppedEra, offeredEra, offeredRev uint64
		value                              string
		accepted                           bool
	}{
		{"the dropped object", 0, 0, 3, "1", false},
		{"the dropped object, a store that was restored since", 1, 0, 3, "1", false},
		{"created again", 0, 0, 8, "1", true},
		{"a later value of an earlier era", 1, 0, 3, "2", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := New(storer.Store{}, "servers/", timer.System{})
			f.Apply = func(storer.Object, bool) {}
			f.Compare = compareValues
			a := storer.Object{Key: "servers/a", Value: []byte("1"), Version: point(t, c.droppedEra, 3)}
			f.reconcile([]storer.Object{a}, point(t, c.droppedEra, 5))
			f.applyEvent(storer.Event{Object: storer.Object{Key: a.Key}, Deleted: true, Revision: point(t, c.droppedEra, 7)})
			offered := storer.Object{Key: a.Key, Value: []byte(c.value), Version: point(t, c.offeredEra, c.offeredRev)}
			for _, source := range []storer.Point{point(t, 1, 9), point(t, 2, 1)} {
				f.reconcile([]storer.Object{offered}, source)
				s, _ := f.Snapshot()
				require.Equal(t, c.accepted, len(s.Objects) == 1, "from a source at %s", source)
			}
		})
	}
}

// TestObjectThatTheSourceNeverHadIsRemoved guards against a removed target that is used for good: a source that is behind has not
// heard of it yet, and by the time it has caught up the target is gone, so that no event names it.
func TestObjectThatTheSourceNeverHadIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := storer.Object{Key: "servers/a", Value: []byte("1"), Version: point(t, 1, 50)}
		b := storer.Object{Key: "servers/b", Value: []byte("1"), Version: point(t, 0, 7)}
		lists := []Snapshot{
			{Objects: []storer.Object{a, b}, Revision: point(t, 1, 50)},
			// The next source is in the era before.
			{Objects: []storer.Object{b}, Revision: point(t, 0, 60)},
			{Objects: []storer.Object{b}, Revision: point(t, 1, 55)},
		}
		listed := 0
		store := storer.Store{
			List: func(context.Context, string) ([]storer.Object, storer.Point, error) {
				s := lists[min(listed, len(lists)-1)]
				listed++
				return s.Objects, s.Revision, nil
			},
			Watch: func(ctx context.Context, _ string, _ storer.Point, emit func(storer.Event) error) error {
				if listed == 1 {
					return ErrSourceChanged
				}
				time.Sleep(time.Second)
				if err := emit(storer.Event{Revision: point(t, 1, 55)}); err != nil {
					return err
				}
				<-ctx.Done()
				return ctx.Err()
			},
		}
		_, applied := followStore(t, store, func(f *Follower) { f.Compare = compareValues })
		time.Sleep(500 * time.Millisecond)
		require.Len(t, applied(), 2, "a source that is behind removes nothing newer")
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/b": "1"}, applied(), "it has caught up")
		time.Sleep(10 * time.Second)
		require.Equal(t, 3, listed, "one list is enough")
	})
}

// drill is a follower of a platform whose store the test restores from older copies.
type drill struct {
	platform *platformfaker.Platform
	follower *Follower
	applied  func() map[string]string
}

// newDrill starts a follower of the prefix servers/.
func newDrill(t testing.TB, configure func(f *Follower)) *drill {
	d := &drill{platform: platformfaker.New(platformfaker.Config{})}
	d.follower, d.applied = followStore(t, d.platform.Store(), configure)
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

// TestStoreRestoredFromOlderCopy checks what happens to each kind of object when the store is restored from an older copy.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	const age = 5 * time.Second
	cases := []struct {
		name string
		// before runs before the copy is made, after runs after that, and rewrite runs right after the restore.
		before, after, rewrite func(t testing.TB, d *drill)
		keepMissing            bool
		// afterRestore are the objects right after the restore, afterOutage those after ReturnWindow, and afterDeferral those after
		// deferTime.
		afterRestore, afterOutage, afterDeferral map[string]string
	}{
		{
			name:         "an acknowledged value stays in force until it is written again",
			before:       func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:        func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			afterRestore: map[string]string{"servers/a": "2"}, afterOutage: map[string]string{"servers/a": "2"}, afterDeferral: map[string]string{"servers/a": "2"},
		},
		{
			name:         "a change after the restore is applied, whatever its revision",
			before:       func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:        func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			rewrite:      func(t testing.TB, d *drill) { d.put(t, "servers/a", "3") },
			afterRestore: map[string]string{"servers/a": "3"}, afterOutage: map[string]string{"servers/a": "3"}, afterDeferral: map[string]string{"servers/a": "3"},
		},
		{
			name:         "an entry that the copy lacks stays for the return window",
			before:       func(testing.TB, *drill) {},
			after:        func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			afterRestore: map[string]string{"servers/a": "1"}, afterOutage: map[string]string{}, afterDeferral: map[string]string{},
		},
		{
			name:         "an entry that the copy lacks and its owner writes again stays",
			before:       func(testing.TB, *drill) {},
			after:        func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			rewrite:      func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			afterRestore: map[string]string{"servers/a": "1"}, afterOutage: map[string]string{"servers/a": "1"}, afterDeferral: map[string]string{"servers/a": "1"},
		},
		{
			name: "an object that is kept although the copy lacks it", keepMissing: true,
			before:       func(testing.TB, *drill) {},
			after:        func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			afterRestore: map[string]string{"servers/a": "1"}, afterOutage: map[string]string{"servers/a": "1"}, afterDeferral: map[string]string{"servers/a": "1"},
		},
		{
			name:         "a removed entry does not reappear with the copy at first",
			before:       func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:        func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			afterRestore: map[string]string{}, afterOutage: map[string]string{}, afterDeferral: map[string]string{"servers/a": "1"},
		},
		{
			name:         "an entry that was removed and starts again is present immediately",
			before:       func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:        func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			rewrite:      func(t testing.TB, d *drill) { d.put(t, "servers/a", "2") },
			afterRestore: map[string]string{"servers/a": "2"}, afterOutage: map[string]string{"servers/a": "2"}, afterDeferral: map[string]string{"servers/a": "2"},
		},
		{
			name:         "an entry of the copy that the store removes never reappears",
			before:       func(t testing.TB, d *drill) { d.put(t, "servers/a", "1") },
			after:        func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			rewrite:      func(t testing.TB, d *drill) { d.remove(t, "servers/a") },
			afterRestore: map[string]string{}, afterOutage: map[string]string{}, afterDeferral: map[string]string{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var eras []uint64
				d := newDrill(t, func(f *Follower) {
					f.Compare, f.KeepMissing = compareValues, c.keepMissing
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
				time.Sleep(2 * initialBackoff)
				require.Equal(t, c.afterRestore, d.applied())
				time.Sleep(ReturnWindow)
				require.Equal(t, c.afterOutage, d.applied())
				time.Sleep(deferTime)
				synctest.Wait()
				require.Equal(t, c.afterDeferral, d.applied())
				require.Equal(t, []uint64{1}, eras)
			})
		})
	}
}

// TestTargetReturnsLongAfterRestore guards against an entry that stays deferred forever: it was dropped before a restore and is
// written again after deferTime.
func TestTargetReturnsLongAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrill(t, func(f *Follower) { f.Compare = compareValues })
		d.put(t, "servers/a", "1")
		time.Sleep(10 * time.Second)
		d.remove(t, "servers/a")
		time.Sleep(time.Second)
		require.NoError(t, d.platform.Restore(0))
		time.Sleep(deferTime + time.Second)
		require.Empty(t, d.applied())
		d.put(t, "servers/a", "1")
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/a": "1"}, d.applied())
	})
}

// TestReissuedRevisions guards against a watch that continues in a new era from a revision of the previous one, and so misses
// the writes that reused the revisions in between.
func TestReissuedRevisions(t *testing.T) {
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
		require.Equal(t, want, slices.Sorted(maps.Keys(d.applied())))
	})
}

// TestDrillsAgainstAnOracle restores the store from older copies at any moment, between any changes. The oracle tracks what was
// acknowledged: no acknowledged value is reverted, no dropped object reappears, and once all owners have written again the
// follower has what the store has.
func TestDrillsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"put", "put", "put", "remove", "restore", "restore-twice", "outage", "wait"}), 5, 40).Draw(rt, "steps")
		var keys, ages []int
		for range steps {
			keys = append(keys, rapid.IntRange(0, 4).Draw(rt, "key"))
			ages = append(ages, rapid.IntRange(1, 20).Draw(rt, "age"))
		}
		synctest.Test(t, func(t *testing.T) {
			// inForce are the last values that the follower applied, and dropped the last values of the objects it removed.
			inForce, dropped, newest := map[string]int{}, map[string]int{}, map[string]int{}
			var reverted []string
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
						reverted = append(reverted, fmt.Sprintf("%s is %d after %d, dropped at %d", o.Key, value, inForce[o.Key], dropped[o.Key]))
					default:
						inForce[o.Key] = value
					}
					apply(o, deleted)
				}
			})
			time.Sleep(time.Second)
			// owned are the objects of their owners, who write them again after a restore.
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
					time.Sleep(2 * initialBackoff)
					rewrite()
					// The store removes the entries whose owners do not renew them.
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
			require.Empty(t, reverted, strings.Join(steps, " "))
			require.Equal(t, owned, d.applied(), strings.Join(steps, " "))
		})
	})
}

// TestLaggingStoreIsCorrectedByPeers checks that a daemon whose store shows an older configuration than a peer applies the peer's.
func TestLaggingStoreIsCorrectedByPeers(t *testing.T) {
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
		require.Equal(t, map[string]string{"servers/a": "7"}, d.applied())
		behind.Store(false)
		d.put(t, "servers/a", "8")
		time.Sleep(time.Second)
		require.Equal(t, map[string]string{"servers/a": "8"}, d.applied(), "a write after the restore is applied")
	})
}

// TestChangesOfOneAnswerMayBeUnordered checks that no change is lost where an earlier one follows a later one: all changes of an
// answer carry the point that they lead to together.
func TestChangesOfOneAnswerMayBeUnordered(t *testing.T) {
	f := New(storer.Store{}, "servers/", timer.System{})
	f.Apply = func(storer.Object, bool) {}
	f.reconcile(nil, 5)
	f.applyEvent(storer.Event{Object: storer.Object{Key: "servers/b", Version: 9}, Revision: 9})
	f.applyEvent(storer.Event{Object: storer.Object{Key: "servers/a", Version: 8}, Revision: 9})
	c, _ := f.Snapshot()
	require.Len(t, c.Objects, 2)
}
