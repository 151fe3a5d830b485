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

// fakeStore is a store that the test changes by hand.
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

// fail has the store fail from now on, or answer again.
func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	if err != nil {
		s.events <- storer.Event{}
	}
}

// follow runs a follower and returns what it believes.
func follow(t *testing.T, s *fakeStore) (*Follower, func() map[string]string) {
	return followStore(t, s.store(), func(*Follower) {})
}

// followStore runs a follower that set has prepared, and returns what it believes.
func followStore(t testing.TB, store storer.Store, set func(*Follower)) (*Follower, func() map[string]string) {
	f := New(store, "servers/", timer.System{})
	var mu sync.Mutex
	known := map[string]string{}
	f.Apply = func(o storer.Object, deleted bool) {
		mu.Lock()
		defer mu.Unlock()
		if deleted {
			delete(known, o.Key)
		} else {
			known[o.Key] = string(o.Value)
		}
	}
	set(f)
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
		for k, v := range known {
			out[k] = v
		}
		return out
	}
}

func TestFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		f, known := follow(t, s)
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/a": "1"}, known())
		o := s.set("servers/b", "2")
		s.events <- storer.Event{Object: o, Revision: o.Version}
		// A stale event takes nothing back.
		s.events <- storer.Event{Object: storer.Object{Key: "servers/b", Value: []byte("0"), Version: 1}, Revision: o.Version}
		s.events <- s.remove("servers/a")
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/b": "2"}, known(), "a removal in calm counts at once")
		revision, synced := f.Revision()
		require.True(t, synced)
		require.Equal(t, storer.Point(3), revision)
		require.Equal(t, storer.Point(3), f.LastChange())
	})
}

func TestLapsedObjectsMayComeBack(t *testing.T) {
	cases := []struct {
		name string
		// back is when the object is listed again after the store's return; 0 is never.
		back time.Duration
		want map[string]string
	}{
		{"back in time", 2 * time.Second, map[string]string{"servers/a": "1"}},
		{"gone", 0, map[string]string{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.set("servers/a", "1")
				f, known := follow(t, s)
				synctest.Wait()
				s.fail(storer.ErrUnavailable)
				time.Sleep(5 * time.Second)
				require.True(t, f.Failing())
				require.Len(t, known(), 1, "what is known stays while the store is away")
				s.remove("servers/a")
				s.fail(nil)
				time.Sleep(maxPause)
				require.False(t, f.Failing())
				require.Len(t, known(), 1, "a lapsed object may come back")
				if c.back > 0 {
					time.Sleep(c.back - maxPause)
					o := s.set("servers/a", "1")
					s.events <- storer.Event{Object: o, Revision: o.Version}
				}
				time.Sleep(2 * ReturnWindow)
				require.Equal(t, c.want, known())
			})
		})
	}
}

func TestHistoryThatIsGoneIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		f, known := follow(t, s)
		synctest.Wait()
		s.remove("servers/a")
		s.set("servers/b", "2")
		close(s.events)
		time.Sleep(firstPause)
		synctest.Wait()
		require.Equal(t, map[string]string{"servers/b": "2"}, known())
		require.False(t, f.Failing(), "a history that was dropped is no outage")
	})
}

func TestNudgeListsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f, known := follow(t, s)
		synctest.Wait()
		s.set("servers/a", "1")
		f.RequestList()
		time.Sleep(2 * nudgePause)
		require.Equal(t, map[string]string{"servers/a": "1"}, known(), "no watch has brought it")
	})
}

func TestPeersStandInForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.set("servers/a", "1")
		s.set("servers/b", "1")
		f, known := follow(t, s)
		f.FetchFromPeer = func(_ context.Context, _ string, revision storer.Point) (Snapshot, bool) {
			return Snapshot{Revision: 9, Objects: []storer.Object{{Key: "servers/a", Value: []byte("2"), Version: 8}, {Key: "other/x", Version: 9}}}, revision < 9
		}
		synctest.Wait()
		s.fail(storer.ErrUnavailable)
		time.Sleep(maxPause)
		require.Equal(t, map[string]string{"servers/a": "2"}, known())
	})
}
