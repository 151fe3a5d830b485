package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/planner"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// fakeStore holds one versioned object; its Put can be made to fail.
type fakeStore struct {
	mu      sync.Mutex
	object  storer.Object
	fault   error
	applies bool // the failing Put takes effect
}

func (f *fakeStore) store() *storer.Store {
	return &storer.Store{
		Get: func(context.Context, string) (storer.Object, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.object.Version == 0 {
				return storer.Object{}, storer.ErrNotFound
			}
			return f.object, nil
		},
		Put: func(_ context.Context, key string, value []byte, expected storer.Point) (storer.Point, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if expected != f.object.Version {
				return 0, storer.ErrConflict
			}
			if f.fault == nil || f.applies {
				f.object = storer.Object{Key: key, Value: value, Version: f.object.Version + 1}
			}
			return f.object.Version, f.fault
		},
	}
}

func (f *fakeStore) setFault(err error, applies bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault, f.applies = err, applies
}

func (f *fakeStore) record(t require.TestingT) Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r Record
	require.NoError(t, json.Unmarshal(f.object.Value, &r))
	return r
}

// engines are two targets that can each hold the complete model; "checks" checks fencing and "ignores" does not.
type engines struct {
	mu            sync.Mutex
	holdings      map[string][]*enginev1.Holding
	fencing       uint64
	ledger        []*enginev1.OrderRequest
	loseAnswers   bool
	describeCount int
}

func (e *engines) order(_ context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address == "checks" && r.Fencing < e.fencing {
		return &enginev1.OrderResponse{Reason: "old fencing number", Fencing: e.fencing}, nil
	}
	if address == "checks" {
		e.fencing = r.Fencing
	}
	e.ledger = append(e.ledger, r)
	switch r.Action {
	case enginev1.Action_ACTION_LOAD:
		e.holdings[address] = append(e.holdings[address], &enginev1.Holding{
			Model: r.Model, Version: r.Version, FirstLayer: r.FirstLayer, EndLayer: r.EndLayer, Ready: true,
		})
	case enginev1.Action_ACTION_UNLOAD:
		e.holdings[address] = slices.DeleteFunc(e.holdings[address], func(h *enginev1.Holding) bool { return h.Version == r.Version })
	}
	if e.loseAnswers {
		return nil, errors.New("answer lost")
	}
	return &enginev1.OrderResponse{Accepted: true, Fencing: e.fencing}, nil
}

func (e *engines) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ledger)
}

type testBed struct {
	store   fakeStore
	engines engines
}

func newTestBed() *testBed {
	return &testBed{engines: engines{holdings: map[string][]*enginev1.Holding{}}}
}

// commander returns a holder whose lease lasts until expires.
func (b *testBed) commander(t *testing.T, fencing uint64, version string, expires time.Time) *Commander {
	return &Commander{
		Clock: timer.System{}, Log: zerolog.Nop(), Store: b.store.store(), Model: "m", LeaseDuration: leaseTime,
		Lease: Lease{
			Fencing:   func() uint64 { return fencing },
			Remaining: func() time.Duration { return time.Until(expires) },
			Valid:     func() bool { return time.Now().Before(expires) },
		},
		Targets: func() []cataloger.Target {
			var ts []cataloger.Target
			for _, name := range []string{"checks", "ignores"} {
				ts = append(ts, cataloger.Target{
					Name: name, Address: name, ChecksFencing: name == "checks", State: cataloger.StateLive, DecodeRate: 100, MemoryBytes: 100,
				})
			}
			return ts
		},
		Plan: func(_ context.Context, targets []cataloger.Target) (planner.Placement, error) {
			return planner.Plan(planner.State{
				Model: planner.Model{Name: "m", Version: version, Layers: 4, LayerBytes: 10}, Targets: targets,
			}), nil
		},
		Describe: func(_ context.Context, address string) (*enginev1.DescribeResponse, error) {
			b.engines.mu.Lock()
			defer b.engines.mu.Unlock()
			b.engines.describeCount++
			return &enginev1.DescribeResponse{Holdings: slices.Clone(b.engines.holdings[address])}, nil
		},
		SendOrder: func(ctx context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error) {
			deadline, ok := ctx.Deadline()
			require.True(t, ok)
			require.True(t, deadline.Before(expires), "the order outlives the lease")
			ids := []string{}
			for _, i := range b.store.record(t).Intents {
				ids = append(ids, i.OrderID)
			}
			require.Contains(t, ids, r.OrderId, "the order is not recorded")
			return b.engines.order(ctx, address, r)
		},
	}
}

func TestOrdersAreRecordedThenSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed()
		c := b.commander(t, 1, "v1", time.Now().Add(time.Hour))
		require.NoError(t, c.Round(t.Context()))
		require.Equal(t, 2, b.engines.orderCount())
		require.NoError(t, c.Round(t.Context()))
		require.Equal(t, 2, b.engines.orderCount(), "no change, no order")
	})
}

func TestTargetsAreReadOnlyForPendingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed()
		c := b.commander(t, 1, "v1", time.Now().Add(time.Hour))
		require.NoError(t, c.Round(t.Context()))
		require.Equal(t, 2, b.engines.describeCount, "all targets are read after a takeover")
		staleTargets := c.Targets
		c.Targets = func() []cataloger.Target {
			ts := staleTargets()
			for i := range ts {
				ts[i].Holdings = []cataloger.Holding{{Model: "m", Version: "v1", EndLayer: 4, Ready: true}}
			}
			return ts
		}
		for range 10 {
			require.NoError(t, c.Round(t.Context()))
		}
		require.Equal(t, 2, b.engines.describeCount)
		c.Targets = staleTargets // the targets are reported as empty again
		require.NoError(t, c.Round(t.Context()))
		require.Equal(t, 4, b.engines.describeCount)
		require.Equal(t, 2, b.engines.orderCount(), "lagging reports are checked at the target")
	})
}

func TestOrderWithLostAnswerIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed()
		b.engines.loseAnswers = true
		c := b.commander(t, 1, "v1", time.Now().Add(time.Hour))
		for range 10 {
			require.NoError(t, c.Round(t.Context()))
			time.Sleep(time.Second)
		}
		require.Equal(t, 2, b.engines.orderCount(), "the orders took effect and are not sent again")
	})
}

func TestStoreFaults(t *testing.T) {
	for _, f := range []struct {
		name    string
		err     error
		applies bool
		orders  int
		fails   bool
	}{
		{"down", storer.ErrUnavailable, false, 0, true},
		{"rate limited", storer.ErrRateLimited, false, 0, true},
		{"answer lost after the write", storer.ErrUncertain, true, 2, false},
		{"answer lost before the write", storer.ErrUncertain, false, 0, true},
		{"written by another holder", storer.ErrConflict, false, 0, true},
	} {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBed()
				c := b.commander(t, 1, "v1", time.Now().Add(time.Hour))
				b.store.setFault(f.err, f.applies)
				err := c.Round(t.Context())
				require.Equal(t, f.fails, err != nil, "%v", err)
				require.Equal(t, f.orders, b.engines.orderCount())
				b.store.setFault(nil, false)
				require.NoError(t, c.Round(t.Context()))
				require.Equal(t, 2, b.engines.orderCount(), "orders are sent once the store is back")
			})
		})
	}
}

func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed()
		start := time.Now()
		old := b.commander(t, 1, "v1", start.Add(time.Hour)) // it never learns that its lease is lost
		require.NoError(t, old.Round(t.Context()))
		require.Equal(t, 2, b.engines.orderCount())

		next := b.commander(t, 2, "v2", start.Add(time.Hour))
		var verdicts []Verdict
		next.Observe = func(o Outcome) { verdicts = append(verdicts, o.Verdict) }
		require.NoError(t, next.Round(t.Context()))
		before := b.engines.orderCount()
		require.Greater(t, before, 2, "the target that checks fencing gets orders immediately")
		require.Error(t, old.Round(t.Context()), "the record is fenced")
		require.Equal(t, before, b.engines.orderCount())

		for range 40 {
			time.Sleep(time.Second)
			require.NoError(t, next.Round(t.Context()))
			if time.Since(start) <= leaseTime+DefaultOrderTimeout {
				require.Equal(t, "v1", b.engines.holdings["ignores"][0].Version, "no order yet to the target that ignores fencing")
			}
		}
		require.Contains(t, verdicts, VerdictSettling)
		for _, name := range []string{"checks", "ignores"} {
			require.Len(t, b.engines.holdings[name], 1, name)
			require.Equal(t, "v2", b.engines.holdings[name][0].Version, name)
		}
	})
}

func TestNoOrderNearTheEndOfTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBed()
		c := b.commander(t, 1, "v1", time.Now().Add(600*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.NoError(t, c.Run(ctx))
		require.Zero(t, b.engines.orderCount())
	})
}

func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint("orders=", n), func(b *testing.B) {
			f := &fakeStore{}
			r := recorder{store: f.store(), model: "m"}
			intents := make([]Intent, n)
			for i := range intents {
				intents[i] = Intent{OrderID: fmt.Sprint("m-1-", i), Target: fmt.Sprint("target-", i), Kind: "load", Version: "v1", EndLayer: 80}
			}
			for range b.N {
				if err := r.recordIntents(b.Context(), intents); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(f.object.Value)), "B/record")
		})
	}
}
