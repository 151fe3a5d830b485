package subscriber

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// fakeEngines sends scripted events of engines to a subscriber and records what the subscriber reports.
type fakeEngines struct {
	*Subscriber
	mu      sync.Mutex
	engines []cataloger.Target
	busy    map[string]bool
	// scripts holds the events that each stream of an engine sends before it ends; the last stream stays open.
	scripts map[string][][]uint64
	// eventDelay is the time before each event.
	eventDelay  time.Duration
	openTimes   map[string][]time.Time
	openStreams map[string]int
	calls       []string
}

func newFakeEngines(streams int, engines ...string) *fakeEngines {
	x := &fakeEngines{busy: map[string]bool{}, scripts: map[string][][]uint64{}, openTimes: map[string][]time.Time{}, openStreams: map[string]int{}}
	for _, name := range engines {
		x.engines = append(x.engines, cataloger.Target{Name: name, Address: name + ":1"})
	}
	x.Subscriber = &Subscriber{
		Self: "router-1", MaxStreams: streams,
		Engines: func() []cataloger.Target {
			x.mu.Lock()
			defer x.mu.Unlock()
			return slices.Clone(x.engines)
		},
		Busy: func(target string) bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return x.busy[target]
		},
		Open:       x.openEvents,
		Observe:    func(target string, prefix uint64, removed bool) { x.recordCall("%s %d %t", target, prefix, removed) },
		ObserveGap: func(target string) { x.recordCall("%s doubt", target) },
		Clock:      timer.System{}, Random: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	}
	return x
}

func (x *fakeEngines) recordCall(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls = append(x.calls, fmt.Sprintf(format, args...))
}

func (x *fakeEngines) openEvents(ctx context.Context, address string) (*engineer.Events, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	name := address[:len(address)-2]
	n := len(x.openTimes[name])
	x.openTimes[name] = append(x.openTimes[name], time.Now())
	scripts := x.scripts[name]
	if n < len(scripts) && scripts[n] == nil {
		return nil, errors.New("refused")
	}
	x.openStreams[name]++
	var remaining []uint64
	if n < len(scripts) {
		remaining = scripts[n]
	}
	closed := sync.OnceFunc(func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.openStreams[name]--
	})
	return &engineer.Events{
		Close: func() error { closed(); return nil },
		Receive: func() (*enginev1.CacheEventsResponse, error) {
			if len(remaining) == 0 && n < len(scripts)-1 {
				return nil, io.EOF
			}
			if len(remaining) == 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if err := x.Clock.Sleep(ctx, x.eventDelay); err != nil {
				return nil, err
			}
			sequence := remaining[0]
			remaining = remaining[1:]
			// The prefix is the event's sequence number; sequence numbers that end in 1 remove it.
			return &enginev1.CacheEventsResponse{Sequence: sequence, Prefix: sequence, Removed: sequence%10 == 1}, nil
		},
	}, nil
}

// update changes the engines, or which are busy, under the lock.
func (x *fakeEngines) update(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// runDuring runs the subscriber while f runs, and checks that it closes all streams.
func (x *fakeEngines) runDuring(t *testing.T, f func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	f()
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	for name, n := range x.openStreams {
		require.Zero(t, n, "streams of %s were not closed", name)
	}
}

func TestEventsAreObserved(t *testing.T) {
	cases := []struct {
		name    string
		scripts [][]uint64
		delay   time.Duration
		after   time.Duration
		want    []string
	}{
		{name: "in order", scripts: [][]uint64{{10, 11, 12}}, want: []string{"e 10 false", "e 11 true", "e 12 false"}},
		{name: "late", scripts: [][]uint64{{10, 11}}, delay: 3 * time.Second, after: 4 * time.Second, want: []string{"e 10 false"}},
		{name: "gap", scripts: [][]uint64{{2, 5}}, want: []string{"e 2 false", "e doubt", "e 5 false"}},
		{name: "duplicates", scripts: [][]uint64{{2, 3, 2, 3, 4}}, want: []string{"e 2 false", "e 3 false", "e 4 false"}},
		{name: "stream breaks", scripts: [][]uint64{{2, 3}, {2, 3, 4}}, want: []string{"e 2 false", "e 3 false", "e doubt", "e 2 false", "e 3 false", "e 4 false"}},
		{name: "engine restarts", scripts: [][]uint64{{200, 201}, nil, {2}}, want: []string{"e 200 false", "e 201 true", "e doubt", "e doubt", "e 2 false"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFakeEngines(4, "e")
				x.scripts["e"], x.eventDelay = c.scripts, c.delay
				x.runDuring(t, func() {
					time.Sleep(max(c.after, 3*time.Second))
					synctest.Wait()
					require.Equal(t, c.want, x.calls)
				})
				require.Equal(t, "e doubt", x.calls[len(x.calls)-1], "a gap is reported when a subscription ends")
			})
		})
	}
}

func TestBackoffGrowsAndResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFakeEngines(4, "e")
		stable := make([]uint64, 20)
		for i := range stable {
			stable[i] = uint64(i + 1)
		}
		x.eventDelay = time.Second
		x.scripts["e"] = [][]uint64{nil, nil, nil, nil, nil, nil, nil, nil, nil, stable, nil, {}}
		x.runDuring(t, func() { time.Sleep(5 * time.Minute) })
		opens := x.openTimes["e"]
		require.Len(t, opens, 12)
		gap := func(i int) time.Duration { return opens[i+1].Sub(opens[i]) }
		for i := range 9 {
			limit := min(firstBackoff<<i, maxBackoff)
			require.LessOrEqual(t, gap(i), limit)
			require.GreaterOrEqual(t, gap(i), limit/2)
		}
		require.LessOrEqual(t, gap(9)-20*time.Second, firstBackoff)
	})
}

func TestStreamCountIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprint("e", i))
		}
		x := newFakeEngines(8, names...)
		following := func() map[string]bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			open := map[string]bool{}
			for name, n := range x.openStreams {
				if n > 0 {
					require.Equal(t, 1, n)
					open[name] = true
				}
			}
			return open
		}
		x.runDuring(t, func() {
			time.Sleep(10 * time.Second)
			first := following()
			require.Len(t, first, 8)
			x.update(func() { x.busy = map[string]bool{"e3": true, "e4": true} })
			time.Sleep(2 * time.Second)
			require.Len(t, following(), 8)
			require.True(t, following()["e3"] && following()["e4"])
			x.update(func() { x.busy = map[string]bool{} })
			time.Sleep(recentlyBusyFor - 2*time.Second)
			require.True(t, following()["e3"] && following()["e4"], "a recently busy engine stays selected")
			time.Sleep(5 * time.Second)
			require.Equal(t, first, following())
			x.update(func() { x.engines = x.engines[:4] })
			time.Sleep(2 * time.Second)
			require.Len(t, following(), 4, "subscriptions to removed engines end")
			x.update(func() { x.engines[0].Address = "moved:1" })
			time.Sleep(2 * time.Second)
			require.True(t, following()["moved"])
		})
	})
}

func TestSelectEnginesSpreadsLoad(t *testing.T) {
	var engines []cataloger.Target
	for i := range 660 {
		engines = append(engines, cataloger.Target{Name: fmt.Sprint("engine-", i)})
	}
	followers := map[string]int{}
	for i := range 40 {
		for _, e := range selectEngines(fmt.Sprint("router-", i), engines, func(string) bool { return false }, DefaultStreams) {
			followers[e.Name]++
		}
	}
	maxFollowers := 0
	for _, n := range followers {
		maxFollowers = max(maxFollowers, n)
	}
	require.LessOrEqual(t, maxFollowers, 14, "40 daemons with 64 streams each over 660 engines make 3.9 on average")
	require.GreaterOrEqual(t, len(followers), 630)
}
