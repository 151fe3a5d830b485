package drainer

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261203")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

var testLimits = Limits{Announce: 10 * time.Second, HandOver: 5 * time.Second, Finish: time.Minute}

func TestNextKeepsInvariants(t *testing.T) {
	order := map[Phase]int{Serving: 0, Announced: 1, Refusing: 2, Finishing: 3, Done: 4}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewState(now)
		requested, forced := false, false
		var requestedAt, refusedAt, finishingAt time.Time
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(rt, "ms")) * time.Millisecond)
			e := Event{
				Drain:      rapid.IntRange(0, 3).Draw(rt, "drain") == 0,
				HandedOver: rapid.Bool().Draw(rt, "handed"),
				InProgress: rapid.IntRange(0, 2).Draw(rt, "requests"),
				Force:      rapid.IntRange(0, 30).Draw(rt, "force") == 0,
			}
			before := s
			s = s.Next(now, e, testLimits)
			if e.Drain && !requested {
				requested, requestedAt = true, now
			}
			forced = forced || e.Force
			if order[s.Phase] < order[before.Phase] {
				rt.Fatalf("%s after %s", s.Phase, before.Phase)
			}
			if !requested && !forced && s.Phase != Serving {
				rt.Fatal("shutdown began without a request")
			}
			if !s.Accepts() && before.Accepts() {
				refusedAt = now
				if !forced && now.Sub(requestedAt) < testLimits.Announce {
					rt.Fatal("work is refused while answers that name the daemon are valid")
				}
			}
			if order[s.Phase] >= order[Finishing] && order[before.Phase] < order[Finishing] {
				finishingAt = now
			}
			if s.Phase != Done || before.Phase == Done {
				continue
			}
			late := now.Sub(finishingAt) >= testLimits.Finish
			if e.InProgress > 0 && !forced && !late {
				rt.Fatalf("%d requests cut %s after refusing", e.InProgress, now.Sub(refusedAt))
			}
			if s.Cut != e.InProgress {
				rt.Fatalf("reports %d requests cut, not %d", s.Cut, e.InProgress)
			}
		}
	})
}

// fixture is a drainer that logs its steps.
type fixture struct {
	*Drainer
	mu       sync.Mutex
	log      []string
	begin    time.Time
	requests atomic.Int64
}

func (f *fixture) record(step string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%s %s", time.Since(f.begin).Round(time.Second), step))
}

func newFixture() *fixture {
	f := &fixture{begin: time.Now()}
	f.Drainer = &Drainer{
		Limits:   testLimits,
		Announce: func(context.Context) error { f.record("announce"); return nil },
		HandOvers: []HandOver{
			{"leases", func(context.Context) error { f.record("leases"); return errors.New("store down") }},
			{"shards", func(context.Context) error { f.record("shards"); return nil }},
		},
		Move:       func(context.Context) { f.record("move") },
		InProgress: func() []Count { return []Count{{"streams", int(f.requests.Load())}, {"calls", 0}} },
		Log:        zerolog.Nop(),
	}
	return f
}

func TestDrainInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.requests.Store(2)
		done := make(chan State, 1)
		go func() { s, _ := f.Run(t.Context()); done <- s }()
		time.Sleep(time.Minute)
		require.Equal(t, Serving, f.Phase())
		f.begin = time.Now()
		require.Equal(t, "draining; in progress: 2 streams", f.HandleSignal())
		time.Sleep(9 * time.Second)
		require.True(t, f.Accepts(), "answers to Resolve still name this daemon")
		time.Sleep(2 * time.Second)
		require.False(t, f.Accepts())
		require.Equal(t, Finishing, f.Phase())
		require.Equal(t, "still draining; another signal would cut: 2 streams", f.HandleSignal())
		time.Sleep(10 * time.Second)
		require.Equal(t, Finishing, f.Phase(), "the second signal cuts nothing")
		f.requests.Store(0)
		require.Zero(t, (<-done).Cut)
		require.Equal(t, []string{"0s announce", "10s leases", "10s shards", "10s move"}, f.log)
	})
}

func TestDrainBounds(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(f *fixture)
		after time.Duration
		cut   int
	}{
		{"a request that never ends", func(f *fixture) { f.requests.Store(1); f.Drain(0) }, 70 * time.Second, 1},
		{"a shorter bound", func(f *fixture) { f.requests.Store(1); f.Drain(3 * time.Second) }, 13 * time.Second, 1},
		{"nothing in progress", func(f *fixture) { f.Drain(0) }, 10 * time.Second, 0},
		{"a hand-over that hangs", func(f *fixture) {
			f.HandOvers = []HandOver{{"stuck", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }}}
			f.Drain(0)
		}, 15 * time.Second, 0},
		{"a third signal", func(f *fixture) {
			f.requests.Store(3)
			f.HandleSignal()
			f.HandleSignal()
			f.HandleSignal()
		}, 0, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				tt.setUp(f)
				s, err := f.Run(t.Context())
				require.NoError(t, err)
				require.Equal(t, Done, s.Phase)
				require.Equal(t, tt.cut, s.Cut)
				require.Equal(t, tt.after, time.Since(f.begin).Truncate(time.Second))
			})
		})
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s, err := newFixture().Run(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, Serving, s.Phase)
	})
}
