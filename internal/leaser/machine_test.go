package leaser

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/platformfaker"
	"github.com/rattantray/rattantray/internal/storer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261203")
		_ = flag.Set("rapid.steps", "80")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

// node is a daemon with its own clock in a world whose real time the test sets.
type node struct {
	*machine
	rate   float64
	offset time.Duration
	paused bool
	// calls are in flight to the store, answers in flight back.
	calls   []operation
	answers []answer
}

type answer struct {
	operation
	result
}

// world runs nodes against one store; calls and answers wait until the test executes or delivers them.
type world struct {
	realTime time.Duration
	platform *platformfaker.Platform
	store    storer.Store
	nodes    []*node
	// highest is the highest fencing number of each lease that was valid.
	highest   map[string]uint64
	violation string
}

var testTiming = NewTiming(10 * time.Second)

func newWorld(rates []float64, t Timing) *world {
	p := platformfaker.New(platformfaker.Config{})
	w := &world{platform: p, store: p.Store(), highest: map[string]uint64{}}
	for i, rate := range rates {
		w.nodes = append(w.nodes, &node{
			machine: newMachine(fmt.Sprintf("entry-%d", i), "1", t),
			rate:    rate,
			offset:  time.Duration(i) * time.Hour,
		})
	}
	return w
}

func (w *world) now(n *node) time.Time {
	return time.Unix(1_000_000, 0).Add(n.offset + time.Duration(float64(w.realTime)*n.rate))
}

// advance advances real time and checks at each step that at most one node holds each lease.
func (w *world) advance(d, step time.Duration) {
	for end := w.realTime + d; w.realTime < end; {
		w.realTime += min(step, end-w.realTime)
		for _, n := range w.nodes {
			if !n.paused {
				n.calls = append(n.calls, n.tick(w.now(n))...)
			}
		}
		w.checkHolders()
	}
}

func (w *world) checkHolders() {
	for _, name := range []string{"planner", "shard"} {
		var holders []string
		for _, n := range w.nodes {
			fencing, ok := n.holds(w.now(n), name)
			if !ok {
				continue
			}
			holders = append(holders, fmt.Sprintf("%s with %d", n.holder, fencing))
			if fencing < w.highest[name] {
				w.violation = fmt.Sprintf("%s holds %s with fencing number %d after %d", n.holder, name, fencing, w.highest[name])
			}
			w.highest[name] = max(w.highest[name], fencing)
		}
		if len(holders) > 1 {
			w.violation = fmt.Sprintf("%s is held by %v", name, holders)
		}
	}
}

// execute makes the store run a call; its answer is lost, or waits to be delivered.
func (w *world) execute(n *node, i int, lost bool) {
	op := n.calls[i]
	n.calls = slices.Delete(n.calls, i, i+1)
	r := w.callStore(op)
	if lost {
		r = result{err: storer.ErrUncertain}
		if op.kind == readLease || op.kind == readSession {
			r.err = storer.ErrUnavailable
		}
	}
	n.answers = append(n.answers, answer{op, r})
}

func (w *world) callStore(op operation) (r result) {
	ctx := context.Background()
	if op.kind == readLease || op.kind == readSession {
		r.object, r.err = w.store.Get(ctx, op.key)
	} else {
		r.version, r.err = w.store.Put(ctx, op.key, op.value, op.expected)
	}
	return r
}

// timeOut makes a call time out for its node while it is still in flight, and returns it.
func (w *world) timeOut(n *node, i int) operation {
	op := n.calls[i]
	n.calls = slices.Delete(n.calls, i, i+1)
	err := storer.ErrUncertain
	if op.kind == readLease || op.kind == readSession {
		err = storer.ErrUnavailable
	}
	n.answers = append(n.answers, answer{op, result{err: err}})
	return op
}

func (w *world) deliver(n *node, i int) {
	a := n.answers[i]
	n.answers = slices.Delete(n.answers, i, i+1)
	n.calls = append(n.calls, n.handleResult(w.now(n), a.operation, a.result)...)
	w.checkHolders()
}

// runHealthy runs the world for the given time without faults.
func (w *world) runHealthy(d time.Duration) {
	for end := w.realTime + d; w.realTime < end; {
		for _, n := range w.nodes {
			for !n.paused && (len(n.calls) > 0 || len(n.answers) > 0) {
				for len(n.calls) > 0 {
					w.execute(n, 0, false)
				}
				for len(n.answers) > 0 {
					w.deliver(n, 0)
				}
			}
		}
		w.advance(100*time.Millisecond, 100*time.Millisecond)
	}
}

func (w *world) holder(name string) int {
	for i, n := range w.nodes {
		if _, ok := n.holds(w.now(n), name); ok {
			return i
		}
	}
	return -1
}

func TestHandOver(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	w.nodes[0].want("planner")
	w.runHealthy(time.Second)
	require.Equal(t, 0, w.holder("planner"))
	first, _ := w.nodes[0].holds(w.now(w.nodes[0]), "planner")
	w.nodes[1].want("planner")
	w.runHealthy(5 * time.Minute)
	require.Equal(t, 0, w.holder("planner"), "renewals keep it")
	w.nodes[0].drop("planner")
	require.Equal(t, -1, w.holder("planner"))
	w.runHealthy(2 * testTiming.PollInterval)
	require.Equal(t, 1, w.holder("planner"), "another node acquires a released lease within two polls")
	second, _ := w.nodes[1].holds(w.now(w.nodes[1]), "planner")
	require.Greater(t, second, first)
	require.Empty(t, w.violation)
}

func TestPausedHolderLapses(t *testing.T) {
	w := newWorld([]float64{1 - MaxDrift, 1 + MaxDrift}, testTiming)
	w.nodes[0].want("planner")
	w.runHealthy(time.Second)
	w.nodes[1].want("planner")
	w.runHealthy(time.Second)
	w.nodes[0].paused = true
	w.runHealthy(testTiming.Duration / 2)
	require.Equal(t, 0, w.holder("planner"), "not acquired before the lease is over")
	w.runHealthy(testTiming.TakeOverDelay + 3*testTiming.PollInterval)
	require.Equal(t, 1, w.holder("planner"))
	w.nodes[0].paused = false
	require.Empty(t, w.violation)
	w.runHealthy(time.Minute)
	require.Equal(t, 1, w.holder("planner"), "the resumed node does not hold the lease")
	require.Empty(t, w.violation)
}

// TestRenewalInFlightAtTakeOver: a renewal is in flight to the store while its holder is paused and another daemon takes the lease over.
func TestRenewalInFlightAtTakeOver(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.want("planner")
	w.runHealthy(time.Second)
	b.want("planner")
	w.runHealthy(time.Second)
	w.advance(testTiming.RenewInterval, testTiming.PollInterval)
	a.paused = true
	require.Equal(t, renewSession, a.calls[0].kind)
	for range int(testTiming.TakeOverDelay/time.Second) - 2 {
		w.runHealthy(time.Second)
	}
	a.paused = false
	w.execute(a, 0, false)
	w.deliver(a, 0)
	w.runHealthy(time.Minute)
	require.Empty(t, w.violation)
}

// TestHolderWithLongerDuration: daemons use different lease durations while the setting is being rolled out to the fleet.
func TestHolderWithLongerDuration(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.timing = NewTiming(3 * testTiming.Duration)
	a.want("planner")
	w.runHealthy(time.Second)
	b.want("planner")
	w.runHealthy(time.Second)
	a.paused = true
	w.runHealthy(4 * testTiming.TakeOverDelay)
	require.Empty(t, w.violation)
	require.Equal(t, 1, w.holder("planner"))
}

// TestStaleSessionReads: reads that keep showing an old session do not let another daemon take over, as closing the session
// requires a write.
func TestStaleSessionReads(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	w.nodes[0].want("planner")
	w.runHealthy(time.Second)
	get, frozen := w.store.Get, map[string]storer.Object{}
	w.store.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if o, ok := frozen[key]; ok {
			return o, nil
		}
		o, err := get(ctx, key)
		if strings.HasPrefix(key, sessionPrefix) && err == nil {
			frozen[key] = o
		}
		return o, err
	}
	w.nodes[1].want("planner")
	w.runHealthy(5 * testTiming.TakeOverDelay)
	require.Equal(t, 0, w.holder("planner"))
	require.Empty(t, w.violation)
}

// TestLateAcquireIsReverted: a write to acquire the lease times out and the lease is no longer wanted, but the write takes effect
// after the daemon has read the lease.
func TestLateAcquireIsReverted(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.want("shard")
	w.runHealthy(time.Second)
	a.want("planner")
	w.advance(testTiming.PollInterval, testTiming.PollInterval)
	w.execute(a, 0, false)
	w.deliver(a, 0)
	require.Equal(t, writeLease, a.calls[0].kind)
	late := w.timeOut(a, 0)
	w.deliver(a, 0)
	a.drop("planner")
	w.runHealthy(3 * testTiming.PollInterval)
	w.callStore(late)
	b.want("planner")
	w.runHealthy(5 * time.Second)
	require.Equal(t, 1, w.holder("planner"), "the lease from the late write was released")
	require.Equal(t, 0, w.holder("shard"))
	require.Empty(t, w.violation)
}

// TestStaleReadAtRelease: a read from before the acquiring write does not hide that the lease has to be freed.
func TestStaleReadAtRelease(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	b.want("planner")
	w.runHealthy(time.Second)
	b.drop("planner")
	w.runHealthy(time.Second)
	stale, err := w.store.Get(t.Context(), dutyPrefix+"planner")
	require.NoError(t, err)
	b.want("planner")
	w.runHealthy(time.Second)
	b.drop("planner")
	w.runHealthy(time.Second)
	a.want("planner")
	w.runHealthy(time.Second)
	require.Equal(t, 0, w.holder("planner"))
	a.drop("planner")
	w.advance(testTiming.PollInterval, testTiming.PollInterval)
	require.Equal(t, readLease, a.calls[0].kind)
	op := a.calls[0]
	a.calls = nil
	a.answers = append(a.answers, answer{op, result{object: stale}})
	w.deliver(a, 0)
	w.runHealthy(3 * testTiming.PollInterval)
	b.want("planner")
	w.runHealthy(5 * time.Second)
	require.Equal(t, 1, w.holder("planner"))
}

// TestSuspendedHolderLapses: the monotonic clock of a suspended VM may stand still; the wall clock shows the elapsed time.
func TestSuspendedHolderLapses(t *testing.T) {
	start := time.Now()
	later := start.Add(time.Second)
	require.Equal(t, time.Second, elapsed(start, later))
	wall := start.Round(0).Add(time.Hour)
	require.Equal(t, time.Hour, elapsed(start, wall))
	back := start.Round(0).Add(-time.Hour)
	require.GreaterOrEqual(t, elapsed(start.Round(0), back), -time.Hour)
}

func TestOneRenewalForManyLeases(t *testing.T) {
	w := newWorld([]float64{1}, testTiming)
	p := w.platform
	for i := range 100 {
		w.nodes[0].want(fmt.Sprintf("duty-%d", i))
	}
	w.runHealthy(time.Second)
	before := p.Ledger().Calls[platformfaker.OperationPut]
	reads := p.Ledger().Calls[platformfaker.OperationGet]
	w.runHealthy(100 * time.Second)
	require.InDelta(t, 100/testTiming.RenewInterval.Seconds(), p.Ledger().Calls[platformfaker.OperationPut]-before, 2)
	require.Equal(t, reads, p.Ledger().Calls[platformfaker.OperationGet], "holding a lease needs no reads")
}

// fuzzLeases checks that at most one node holds a lease at any time and that fencing numbers grow. After the faults end, every
// wanted lease is held.
func fuzzLeases(t *rapid.T, timing Timing) {
	rates := rapid.SliceOfN(rapid.Float64Range(1-MaxDrift, 1+MaxDrift), 2, 3).Draw(t, "rates")
	w := newWorld(rates, timing)
	// late holds writes that timed out for their node and that the store may still run.
	var late []operation
	node := func(t *rapid.T) *node { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
	name := func(t *rapid.T) string { return rapid.SampledFrom([]string{"planner", "shard"}).Draw(t, "name") }
	call := func(t *rapid.T) (*nodeCall, bool) {
		n := node(t)
		if len(n.calls) == 0 {
			return nil, false
		}
		return &nodeCall{n, rapid.IntRange(0, len(n.calls)-1).Draw(t, "call")}, true
	}
	t.Repeat(map[string]func(*rapid.T){
		"want":   func(t *rapid.T) { node(t).want(name(t)) },
		"drop":   func(t *rapid.T) { node(t).drop(name(t)) },
		"pause":  func(t *rapid.T) { node(t).paused = true },
		"resume": func(t *rapid.T) { node(t).paused = false },
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms"))*time.Millisecond, 250*time.Millisecond)
		},
		"flow": func(t *rapid.T) {
			w.runHealthy(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
		},
		"execute": func(t *rapid.T) {
			if c, ok := call(t); ok {
				w.execute(c.node, c.index, false)
			}
		},
		"lose answer": func(t *rapid.T) {
			if c, ok := call(t); ok {
				w.execute(c.node, c.index, true)
			}
		},
		"give up": func(t *rapid.T) {
			if c, ok := call(t); ok {
				late = append(late, w.timeOut(c.node, c.index))
			}
		},
		"late write": func(t *rapid.T) {
			if len(late) > 0 {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
				w.callStore(late[i])
				late = slices.Delete(late, i, i+1)
			}
		},
		"stale reads": func(t *rapid.T) {
			w.platform.Inject(platformfaker.Fault{
				Kind:      platformfaker.FaultStaleRead,
				Count:     rapid.IntRange(1, 6).Draw(t, "count"),
				Revisions: rapid.Uint64Range(1, 6).Draw(t, "revisions"),
			})
		},
		"deliver": func(t *rapid.T) {
			n := node(t)
			if !n.paused && len(n.answers) > 0 {
				w.deliver(n, rapid.IntRange(0, len(n.answers)-1).Draw(t, "answer"))
			}
		},
		"": func(t *rapid.T) {
			if w.violation != "" {
				t.Fatal(w.violation)
			}
		},
	})
	for _, op := range late {
		w.callStore(op)
	}
	w.platform.ClearFaults()
	wanted := map[string]bool{}
	for _, n := range w.nodes {
		n.paused = false
		for name, d := range n.duties {
			wanted[name] = wanted[name] || d.wanted
		}
	}
	w.runHealthy(3 * timing.TakeOverDelay)
	for name := range wanted {
		if wanted[name] != (w.holder(name) >= 0) {
			t.Fatalf("%s is wanted %t and held by %d after the faults ended", name, wanted[name], w.holder(name))
		}
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

type nodeCall struct {
	node  *node
	index int
}

func TestFuzzOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { fuzzLeases(t, testTiming) })
}
