package follower

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

// fakeStore is a store whose contents and errors the test sets.
type fakeStore struct {
	mu       sync.Mutex
	objects  map[string]storer.Object
	revision storer.Point
	events   chan storer.Event
	// err is what every call returns.
	err   error
	lists int
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]storer.Object{}, events: make(chan storer.Event, 100)}
}

func (s *fakeStore) store() storer.Store {
	return storer.Store{
		List: func(context.Context, string) ([]storer.Object, storer.Point, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lists++
			var out []storer.Object
			for _, o := range s.objects {
				out = append(out, o)
			}
			return out, s.revision, s.err
		},
		Watch: func(ctx context.Context, _ string, _ storer.Point, emit func(storer.Event) error) error {
			for {
				select {
				case <-ctx.Done():
					return ctx.Err()
				case e, ok := <-s.events:
					if !ok {
						return storer.ErrCompacted
					}
					if e.Revision == 0 {
						return storer.ErrUnavailable
					}
					if err := emit(e); err != nil {
						return err
					}
				}
			}
		},
	}
}

func (s *fakeStore) set(key, value string) storer.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[key] = storer.Object{Key: key, Value: []byte(value), Version: s.revision}
	return s.objects[key]
}

func (s *fakeStore) remove(key string) storer.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, key)
	return storer.Event{Object: storer.Object{Key: key, Version: s.revision}, Deleted: true, Revision: s.revision}
}

// setError makes the store fail from now on, or answer again if err is nil.
func (s *fakeStore) setError(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	if err != nil {
		s.events <- storer.Event{}
	}
}

// follow runs a follower and returns it with a function that returns the objects it applied.
func follow(t *testing.T, s *fakeStore) (*Follower, func() map[string]string) {
	return followStore(t, s.store(), func(*Follower) {})
}

// followStore is follow for any store; configure sets the follower's fields before it runs.
func followStore(t testing.TB, store storer.Store, configure func(*Follower)) (*Follower, func() map[string]string) {
	f := New(store, "servers/", timer.System{})
	var mu sync.Mutex
	applied := map[string]string{}
	f.Apply = func(o storer.Object, deleted bool) {
		mu.Lock()
		defer mu.Unlock()
		if deleted {
			delete(applied, o.Key)
		} else {
			applied[o.Key] = string(o.Value)
		}
	}
	configure(f)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		out := map[string]string{}
		for k, v := range applied {
			out[k] = v
		}
		return out
	}
}

func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		f, applied := follow(t, s)
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/a": "1"}, applied())
		o := s.set("servers/b", "2")
		s.events <- storer.Event{Object: o, Revision: o.Version}
		// A stale event reverts nothing.
		s.events <- storer.Event{Object: storer.Object{Key: "servers/b", Value: []byte("0"), Version: 1}, Revision: o.Version}
		s.events <- s.remove("servers/a")
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/b": "2"}, applied(), "a removal outside of outages is applied immediately")
		revision, synced := f.Revision()
		require.True(t, synced)
		require.Equal(t, storer.Point(3), revision)
		require.Equal(t, storer.Point(3), f.LastChange())
	})
}

func TestLapsedObjectsMayReturn(t *testing.T) {
	cases := []struct {
		name string
		// returnsAfter is the time from the store's recovery until the object is listed again; 0 is never.
		returnsAfter time.Duration
		want         map[string]string
	}{
		{"back in time", 2 * time.Second, map[string]string{"servers/a": "1"}},
		{"gone", 0, map[string]string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.set("servers/a", "1")
				f, applied := follow(t, s)
				synctest.Wait()
				s.setError(storer.ErrUnavailable)
				time.Sleep(5 * time.Second)
				require.True(t, f.Failing())
				require.Len(t, applied(), 1, "objects stay while the store is unavailable")
				s.remove("servers/a")
				s.setError(nil)
				time.Sleep(maxBackoff)
				require.False(t, f.Failing())
				require.Len(t, applied(), 1, "a lapsed object may still reappear")
				if c.returnsAfter > 0 {
					time.Sleep(c.returnsAfter - maxBackoff)
					o := s.set("servers/a", "1")
					s.events <- storer.Event{Object: o, Revision: o.Version}
				}
				time.Sleep(2 * ReturnWindow)
				require.Equal(t, c.want, applied())
			})
		})
	}
}

// TestWindowAfterAnOutageIsNotCutShort guards against lapsed objects that are dropped, as the store turns this daemon alone away for a
// moment just after an outage.
func TestWindowAfterAnOutageIsNotCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		outageEnded := false
		f, applied := followStore(t, s.store(), func(f *Follower) { f.WasAvailable = func(time.Time) bool { return outageEnded } })
		synctest.Wait()
		s.setError(storer.ErrUnavailable)
		time.Sleep(5 * time.Second)
		s.remove("servers/a")
		awaitFailing := func(failing bool) {
			for f.Failing() != failing {
				time.Sleep(10 * time.Millisecond)
			}
		}
		s.setError(nil)
		awaitFailing(false)
		outageEnded = true
		s.setError(storer.ErrUnavailable)
		awaitFailing(true)
		s.setError(nil)
		awaitFailing(false)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, applied(), 1, "the object may still reappear")
		time.Sleep(2 * ReturnWindow)
		require.Empty(t, applied())
	})
}

func TestCompactedHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		f, applied := follow(t, s)
		synctest.Wait()
		s.remove("servers/a")
		s.set("servers/b", "2")
		close(s.events)
		time.Sleep(initialBackoff)
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/b": "2"}, applied())
		require.False(t, f.Failing(), "compaction does not count as an outage")
	})
}

func TestRequestListListsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f, applied := follow(t, s)
		synctest.Wait()
		s.set("servers/a", "1")
		f.RequestList()
		time.Sleep(2 * minListInterval)
		require.Equal(t, map[string]string{"servers/a": "1"}, applied(), "the list returns it, as no watch event did")
	})
}

func TestPeersReplaceUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		s.set("servers/b", "1")
		f, applied := follow(t, s)
		f.FetchFromPeer = func(_ context.Context, _ string, revision storer.Point) (Snapshot, bool) {
			return Snapshot{Revision: 9, Objects: []storer.Object{{Key: "servers/a", Value: []byte("2"), Version: 8}, {Key: "other/x", Version: 9}}}, revision < 9
		}
		synctest.Wait()
		s.setError(storer.ErrUnavailable)
		time.Sleep(maxBackoff)
		require.Equal(t, map[string]string{"servers/a": "2"}, applied())
	})
}

// TestRemovalIsHeldBackOnlyAfterAnOutage guards against removed targets that are used on, and against targets that are dropped though
// they lapsed only while the store was away: what tells the two apart is how the removal arrives, and what failed before it.
func TestRemovalIsHeldBackOnlyAfterAnOutage(t *testing.T) {
	const maxDelay = 1500 * time.Millisecond
	cut := func(s *fakeStore) { s.events <- storer.Event{} }
	outage := func(d time.Duration) func(*fakeStore) {
		return func(s *fakeStore) {
			s.setError(storer.ErrUnavailable)
			time.Sleep(d)
			s.setError(nil)
		}
	}
	cases := []struct {
		name string
		// quiet is how long the watch waits without an answer before fault.
		quiet time.Duration
		fault func(*fakeStore)
		// removedBefore removes the object before the store answers again, so that a list shows it; otherwise an event does.
		removedBefore bool
		// keptFor is how long the object is used on after the next answer, and bound when it must be gone.
		keptFor, bound time.Duration
	}{
		{"event", time.Minute, func(*fakeStore) {}, false, 0, 0},
		{"event after a cut", time.Minute, cut, false, 0, initialBackoff},
		{"event after an outage", time.Minute, outage(5 * time.Second), false, maxDelay - time.Second, maxBackoff + maxDelay},
		{"list after a cut", minOutage / 2, cut, true, 0, initialBackoff},
		{"list after a cut that may hide an outage", 5 * time.Second, cut, true, maxDelay - time.Millisecond, initialBackoff + maxDelay},
		{"list after an outage", time.Minute, outage(5 * time.Second), true, 2 * time.Second, maxBackoff + ReturnWindow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.set("servers/a", "1")
				_, applied := followStore(t, s.store(), func(f *Follower) { f.MaxRemovalDelay = maxDelay })
				time.Sleep(c.quiet)
				require.Len(t, applied(), 1)
				if c.removedBefore {
					s.remove("servers/a")
				}
				c.fault(s)
				answers := time.Now()
				if !c.removedBefore {
					synctest.Wait()
					s.events <- s.remove("servers/a")
				}
				if c.keptFor > 0 {
					time.Sleep(c.keptFor)
					synctest.Wait()
					require.Len(t, applied(), 1, "it may reappear")
				}
				time.Sleep(c.bound - time.Since(answers))
				synctest.Wait()
				require.Empty(t, applied())
			})
		})
	}
}

// TestRequestedListEndsDoubtAboutARemoval guards against a target that is used on as its watch was silent before it was cut off, though
// another daemon's write has since shown that the store was available and changes were missed.
func TestRequestedListEndsDoubtAboutARemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		f, applied := follow(t, s)
		time.Sleep(5 * time.Second)
		s.remove("servers/a")
		s.events <- storer.Event{}
		synctest.Wait()
		require.Len(t, applied(), 1)
		f.MarkMissedChanges()
		time.Sleep(minListInterval + initialBackoff)
		synctest.Wait()
		require.Empty(t, applied())
	})
}

// TestLapsedObjectIsDroppedThoughTheNextListLags guards against a removed target that is used for good: it was held back as the store
// failed again, and the next list is older than the removal.
func TestLapsedObjectIsDroppedThoughTheNextListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		_, applied := follow(t, s)
		time.Sleep(time.Second)
		s.setError(storer.ErrUnavailable)
		time.Sleep(time.Second)
		s.setError(nil)
		time.Sleep(maxBackoff)
		s.events <- s.remove("servers/a")
		synctest.Wait()
		require.Len(t, applied(), 1, "it may reappear")
		s.setError(storer.ErrUnavailable)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.revision = 0
		s.mu.Unlock()
		s.setError(nil)
		time.Sleep(maxBackoff + ReturnWindow)
		synctest.Wait()
		require.Empty(t, applied())
	})
}
