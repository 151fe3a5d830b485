package storer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
)

type fixture struct {
	platform *platformfaker.Platform
	store    storer.Store
}

var implementations = []struct {
	name string
	make func(t testing.TB, p *platformfaker.Platform) storer.Store
}{
	{"memory", func(_ testing.TB, p *platformfaker.Platform) storer.Store { return p.Store() }},
	{"connect", connectStore},
	{"limited", func(t testing.TB, p *platformfaker.Platform) storer.Store {
		return storer.NewLimiter(connectStore(t, p), storer.DefaultBudget()).Store(storer.ClassClaim)
	}},
}

func connectStore(t testing.TB, p *platformfaker.Platform) storer.Store {
	server := httptest.NewServer(p.Handler())
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return storer.NewClient(&http.Client{Transport: transport}, server.URL)
}

var contract = []struct {
	name  string
	fault platformfaker.Fault
	run   func(t *testing.T, ctx context.Context, f fixture)
}{
	{name: "create, read, update, delete", run: func(t *testing.T, ctx context.Context, f fixture) {
		_, err := f.store.Get(ctx, "a")
		require.ErrorIs(t, err, storer.ErrNotFound)
		v1, err := f.store.Put(ctx, "a", []byte("1"), 0)
		require.NoError(t, err)
		v2, err := f.store.Put(ctx, "a", []byte("2"), v1)
		require.NoError(t, err)
		require.Greater(t, v2, v1)
		o, err := f.store.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, storer.Object{Key: "a", Value: []byte("2"), Version: v2}, o)
		deletedAt, err := f.store.Delete(ctx, "a", v2)
		require.NoError(t, err)
		v3, err := f.store.Put(ctx, "a", []byte("3"), 0)
		require.NoError(t, err)
		require.Greater(t, v3, deletedAt, "a later create has a higher version than the delete")
	}},
	{name: "list by prefix in key order", run: func(t *testing.T, ctx context.Context, f fixture) {
		for _, key := range []string{"b/2", "a/1", "b/1"} {
			_, err := f.store.Put(ctx, key, []byte(key), 0)
			require.NoError(t, err)
		}
		objects, revision, err := f.store.List(ctx, "b/")
		require.NoError(t, err)
		require.Equal(t, storer.Point(3), revision)
		require.Len(t, objects, 2)
		require.Equal(t, "b/1", objects[0].Key)
	}},
	{name: "version conflict", run: func(t *testing.T, ctx context.Context, f fixture) {
		v, err := f.store.Put(ctx, "a", []byte("1"), 0)
		require.NoError(t, err)
		_, err = f.store.Put(ctx, "a", []byte("2"), 0)
		require.ErrorIs(t, err, storer.ErrConflict)
		_, err = f.store.Put(ctx, "a", []byte("2"), v+1)
		require.ErrorIs(t, err, storer.ErrConflict)
		_, err = f.store.Delete(ctx, "a", v+1)
		require.ErrorIs(t, err, storer.ErrConflict)
		o, err := f.store.Get(ctx, "a")
		require.NoError(t, err)
		require.Equal(t, "1", string(o.Value))
	}},
	{name: "value over 1 MB", run: func(t *testing.T, ctx context.Context, f fixture) {
		_, err := f.store.Put(ctx, "a", make([]byte, storer.MaxValueBytes+1), 0)
		require.ErrorIs(t, err, storer.ErrTooLarge)
		_, err = f.store.Put(ctx, "a", make([]byte, storer.MaxValueBytes), 0)
		require.NoError(t, err)
	}},
	{
		name:  "answer lost after the write took effect",
		fault: platformfaker.Fault{Kind: platformfaker.FaultAnswerLost, Count: 1},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			_, err := f.store.Put(ctx, "a", []byte("1"), 0)
			require.ErrorIs(t, err, storer.ErrUncertain)
			o, err := f.store.Get(ctx, "a")
			require.NoError(t, err)
			require.Equal(t, "1", string(o.Value))
		},
	},
	{
		name:  "request lost before the write took effect",
		fault: platformfaker.Fault{Kind: platformfaker.FaultRequestLost, Count: 1},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			_, err := f.store.Put(ctx, "a", []byte("1"), 0)
			require.ErrorIs(t, err, storer.ErrUncertain)
			_, err = f.store.Get(ctx, "a")
			require.ErrorIs(t, err, storer.ErrNotFound)
		},
	},
	{
		name:  "down",
		fault: platformfaker.Fault{Kind: platformfaker.FaultOutage, Count: 3},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			_, err := f.store.Get(ctx, "a")
			require.ErrorIs(t, err, storer.ErrUnavailable)
			_, err = f.store.Put(ctx, "a", []byte("1"), 0)
			require.ErrorIs(t, err, storer.ErrUnavailable)
			_, err = f.store.ListVMs(ctx)
			require.ErrorIs(t, err, storer.ErrUnavailable)
			require.Eventually(t, func() bool {
				_, err = f.store.Get(ctx, "a")
				return errors.Is(err, storer.ErrNotFound)
			}, 20*time.Second, 10*time.Millisecond, "the store is called again after the outage")
		},
	},
	{
		name:  "slow, so that the caller times out",
		fault: platformfaker.Fault{Kind: platformfaker.FaultSlow, Delay: platformfaker.Duration(time.Minute), Count: 2},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			_, err := f.store.Put(short, "a", []byte("1"), 0)
			require.True(t, errorIsAny(err, storer.ErrUncertain, storer.ErrUnavailable), "%v", err)
			short, cancel = context.WithTimeout(ctx, 20*time.Millisecond)
			defer cancel()
			_, err = f.store.Get(short, "a")
			require.ErrorIs(t, err, storer.ErrUnavailable)
		},
	},
	{
		name:  "rate exceeded",
		fault: platformfaker.Fault{Kind: platformfaker.FaultRateLimit, Count: 1},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			_, err := f.store.Put(ctx, "a", []byte("1"), 0)
			require.ErrorIs(t, err, storer.ErrRateLimited)
			_, err = f.store.Put(ctx, "a", []byte("1"), 0)
			require.NoError(t, err, "the refused write had no effect")
		},
	},
	{
		name:  "stale read",
		fault: platformfaker.Fault{Kind: platformfaker.FaultStaleRead, Count: 2},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			v1, err := f.store.Put(ctx, "a", []byte("1"), 0)
			require.NoError(t, err)
			_, err = f.store.Put(ctx, "a", []byte("2"), v1)
			require.NoError(t, err)
			o, err := f.store.Get(ctx, "a")
			require.NoError(t, err)
			require.Equal(t, v1, o.Version)
			objects, revision, err := f.store.List(ctx, "")
			require.NoError(t, err)
			require.Equal(t, v1, revision)
			require.Equal(t, "1", string(objects[0].Value))
		},
	},
	{name: "watch resumes from a version", run: func(t *testing.T, ctx context.Context, f fixture) {
		v1, err := f.store.Put(ctx, "w/a", []byte("1"), 0)
		require.NoError(t, err)
		v2, err := f.store.Put(ctx, "w/a", []byte("2"), v1)
		require.NoError(t, err)
		_, err = f.store.Put(ctx, "other", []byte("x"), 0)
		require.NoError(t, err)
		v3, err := f.store.Delete(ctx, "w/a", v2)
		require.NoError(t, err)
		got := collect(ctx, t, f, v1, 2)
		require.Equal(t, storer.Event{Object: storer.Object{Key: "w/a", Value: []byte("2"), Version: v2}, Revision: v2}, got[0])
		require.True(t, got[1].Deleted)
		require.Equal(t, v3, got[1].Revision)
	}},
	{
		name:  "watch gap",
		fault: platformfaker.Fault{Kind: platformfaker.FaultWatchGap, Count: 1},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			put(ctx, t, f, "w/a", "w/b")
			require.Equal(t, "w/b", collect(ctx, t, f, 0, 1)[0].Object.Key)
		},
	},
	{
		name:  "watch reorder",
		fault: platformfaker.Fault{Kind: platformfaker.FaultWatchReorder, Count: 1},
		run: func(t *testing.T, ctx context.Context, f fixture) {
			put(ctx, t, f, "w/a", "w/b")
			got := collect(ctx, t, f, 0, 2)
			require.Equal(t, "w/b", got[0].Object.Key)
			require.Equal(t, "w/a", got[1].Object.Key)
		},
	},
	{name: "watch from a compacted revision", run: func(t *testing.T, ctx context.Context, f fixture) {
		put(ctx, t, f, "w/a", "w/b")
		f.platform.Compact()
		err := f.store.Watch(ctx, "w/", 1, func(storer.Event) error { return nil })
		require.ErrorIs(t, err, storer.ErrCompacted)
	}},
	{name: "watch ends in an outage", run: func(t *testing.T, ctx context.Context, f fixture) {
		err := f.store.Watch(ctx, "w/", 0, func(storer.Event) error {
			f.platform.Inject(platformfaker.Fault{Kind: platformfaker.FaultOutage})
			return nil
		})
		require.ErrorIs(t, err, storer.ErrUnavailable)
	}},
	{name: "list of VMs", run: func(t *testing.T, ctx context.Context, f fixture) {
		vms := []cataloger.VM{{
			Name: "vm-1", DataCentre: "kochi", Role: cataloger.RoleTarget, Leaving: true,
			Targets: []cataloger.Target{{Name: "t", VM: "vm-1", DataCentre: "kochi", Type: cataloger.TypeEngine, ChecksFencing: true}},
		}}
		f.platform.SetVMs(vms)
		got, err := f.store.ListVMs(ctx)
		require.NoError(t, err)
		require.Equal(t, vms, got)
	}},
}

func TestContract(t *testing.T) {
	for _, impl := range implementations {
		for _, c := range contract {
			t.Run(impl.name+"/"+c.name, func(t *testing.T) {
				p := platformfaker.New(platformfaker.Config{})
				if c.fault.Kind != "" {
					p.Inject(c.fault)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				c.run(t, ctx, fixture{platform: p, store: impl.make(t, p)})
			})
		}
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.URL
	server.Close()
	s := storer.NewClient(&http.Client{Transport: transport}, address)
	_, err := s.Put(context.Background(), "a", nil, 0)
	require.ErrorIs(t, err, storer.ErrUnavailable, "a write that was never sent is not uncertain")
}

func put(ctx context.Context, t *testing.T, f fixture, keys ...string) {
	for _, key := range keys {
		_, err := f.store.Put(ctx, key, []byte(key), 0)
		require.NoError(t, err)
	}
}

// collect watches until n changes have arrived.
func collect(ctx context.Context, t *testing.T, f fixture, after storer.Point, n int) []storer.Event {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var got []storer.Event
	err := f.store.Watch(ctx, "w/", after, func(e storer.Event) error {
		if e.Object.Key == "" {
			return nil
		}
		if got = append(got, e); len(got) == n {
			cancel()
		}
		return nil
	})
	require.ErrorIs(t, err, context.Canceled)
	return got
}

func errorIsAny(err error, targets ...error) bool {
	for _, target := range targets {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
