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

// fakes are engines that play scripts of events and what a subscriber tells of them.
type fakes struct {
	*Subscriber
	mu      sync.Mutex
	engines []cataloger.Target
	busy    map[string]bool
	// scripts holds what each stream of an engine gives before it ends; after the last one a stream stays open.
	scripts map[string][][]uint64
	// delay is the time before each event.
	delay time.Duration
	opens map[string][]time.Time
	open  map[string]int
	told  []string
}

func newFakes(streams int, engines ...string) *fakes {
	x := &fakes{busy: map[string]bool{}, scripts: map[string][][]uint64{}, opens: map[string][]time.Time{}, open: map[string]int{}}
	for _, name := range engines {
		x.engines = append(x.engines, cataloger.Target{Name: name, Address: name + ":1"})
	}
	x.Subscriber = &Subscriber{
		Self: "router-1", Streams: streams,
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
		Open:    x.openEvents,
		Observe: func(target string, prefix uint64, removed bool) { x.tell("%s %d %t", target, prefix, removed) },
		Doubt:   func(target string) { x.tell("%s doubt", target) },
		Clock:   timer.System{}, Random: rand.New(rand.NewPCG(1, 2)), Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	}
	return x
}

func (x *fakes) tell(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.told = append(x.told, fmt.Sprintf(format, args...))
}

func (x *fakes) openEvents(ctx context.Context, address string) (*engineer.Events, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	name := address[:len(address)-2]
	n := len(x.opens[name])
	x.opens[name] = append(x.opens[name], time.Now())
	scripts := x.scripts[name]
	if n < len(scripts) && scripts[n] == nil {
		return nil, errors.New("refused")
	}
	x.open[name]++
	var left []uint64
	if n < len(scripts) {
		left = scripts[n]
	}
	closed := sync.OnceFunc(func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.open[name]--
	})
	return &engineer.Events{
		Close: func() error { closed(); return nil },
		Receive: func() (*enginev1.CacheEventsResponse, error) {
			if len(left) == 0 && n < len(scripts)-1 {
				return nil, io.EOF
			}
			if len(left) == 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if err := x.Clock.Sleep(ctx, x.delay); err != nil {
				return nil, err
			}
			sequence := left[0]
			left = left[1:]
			// The prefix is the number of the event; numbers that end in 1 remove.
			return &enginev1.CacheEventsResponse{Sequence: sequence, Prefix: sequence, Removed: sequence%10 == 1}, nil
		},
	}, nil
}

// change changes what the subscriber is told.
func (x *fakes) change(f func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// during runs the subscriber while f does.
func (x *fakes) during(t *testing.T, f func()) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	f()
	stop()
	require.ErrorIs(t, <-done, context.Canceled)
	for name, n := range x.open {
		require.Zero(t, n, "streams left open of %s", name)
	}
}

func TestEvents(t *testing.T) {
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
				x := newFakes(4, "e")
				x.scripts["e"], x.delay = c.scripts, c.delay
				x.during(t, func() {
					time.Sleep(max(c.after, 3*time.Second))
					synctest.Wait()
					require.Equal(t, c.want, x.told)
				})
				require.Equal(t, "e doubt", x.told[len(x.told)-1], "what is no longer followed is doubted")
			})
		})
	}
}

func TestBackoffGrowsAndStartsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFakes(4, "e")
		steady := make([]uint64, 20)
		for i := range steady {
			steady[i] = uint64(i + 1)
		}
		x.delay = time.Second
		x.scripts["e"] = [][]uint64{nil, nil, nil, nil, nil, nil, nil, nil, nil, steady, nil, {}}
		x.during(t, func() { time.Sleep(5 * time.Minute) })
		opens := x.opens["e"]
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

func TestStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprint("e", i))
		}
		x := newFakes(8, names...)
		following := func() map[string]bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			open := map[string]bool{}
			for name, n := range x.open {
				if n > 0 {
					require.Equal(t, 1, n)
					open[name] = true
				}
			}
			return open
		}
		x.during(t, func() {
			time.Sleep(10 * time.Second)
			first := following()
			require.Len(t, first, 8)
			x.change(func() { x.busy = map[string]bool{"e3": true, "e4": true} })
			time.Sleep(2 * time.Second)
			require.Len(t, following(), 8)
			require.True(t, following()["e3"] && following()["e4"])
			x.change(func() { x.busy = map[string]bool{} })
			time.Sleep(busyFor - 2*time.Second)
			require.True(t, following()["e3"] && following()["e4"], "an engine that was busy lately stays")
			time.Sleep(5 * time.Second)
			require.Equal(t, first, following())
			x.change(func() { x.engines = x.engines[:4] })
			time.Sleep(2 * time.Second)
			require.Len(t, following(), 4, "lost engines are let go")
			x.change(func() { x.engines[0].Address = "moved:1" })
			time.Sleep(2 * time.Second)
			require.True(t, following()["moved"])
		})
	})
}

func TestChoiceSpreads(t *testing.T) {
	var engines []cataloger.Target
	for i := range 660 {
		engines = append(engines, cataloger.Target{Name: fmt.Sprint("engine-", i)})
	}
	followers := map[string]int{}
	for i := range 40 {
		for _, e := range choice(fmt.Sprint("router-", i), engines, func(string) bool { return false }, DefaultStreams) {
			followers[e.Name]++
		}
	}
	most := 0
	for _, n := range followers {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 14, "40 daemons of 64 streams over 660 engines are 3.9 on average")
	require.GreaterOrEqual(t, len(followers), 630)
}
