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

// node is a daemon with a clock of its own in a world whose real time the test sets.
type node struct {
	*machine
	rate   float64
	offset time.Duration
	paused bool
	// calls are on their way to the store, answers on their way back.
	calls   []operation
	answers []answer
}

type answer struct {
	operation
	result
}

// world runs nodes against one store; calls and answers wait until the test moves them.
type world struct {
	real     time.Duration
	platform *platformfaker.Platform
	store    storer.Store
	nodes    []*node
	// highest is the highest fencing number that was valid, and its holder.
	highest map[string]uint64
	broken  string
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
	return time.Unix(1_000_000, 0).Add(n.offset + time.Duration(float64(w.real)*n.rate))
}

// advance moves real time on and checks at each step that one node at most believes in a lease.
func (w *world) advance(d, step time.Duration) {
	for end := w.real + d; w.real < end; {
		w.real += min(step, end-w.real)
		for _, n := range w.nodes {
			if !n.paused {
				n.calls = append(n.calls, n.tick(w.now(n))...)
			}
		}
		w.check()
	}
}

func (w *world) check() {
	for _, name := range []string{"planner", "shard"} {
		var holders []string
		for _, n := range w.nodes {
			fencing, ok := n.holds(w.now(n), name)
			if !ok {
				continue
			}
			holders = append(holders, fmt.Sprintf("%s with %d", n.holder, fencing))
			if fencing < w.highest[name] {
				w.broken = fmt.Sprintf("%s holds %s with fencing number %d after %d", n.holder, name, fencing, w.highest[name])
			}
			w.highest[name] = max(w.highest[name], fencing)
		}
		if len(holders) > 1 {
			w.broken = fmt.Sprintf("%s is held by %v", name, holders)
		}
	}
}

// execute lets the store run a call; the answer is lost, or waits to be delivered.
func (w *world) execute(n *node, i int, lost bool) {
	op := n.calls[i]
	n.calls = slices.Delete(n.calls, i, i+1)
	r := w.run(op)
	if lost {
		r = result{err: storer.ErrUncertain}
		if op.kind == readLease || op.kind == readSession {
			r.err = storer.ErrUnavailable
		}
	}
	n.answers = append(n.answers, answer{op, r})
}

func (w *world) run(op operation) (r result) {
	ctx := context.Background()
	if op.kind == readLease || op.kind == readSession {
		r.object, r.err = w.store.Get(ctx, op.key)
	} else {
		r.version, r.err = w.store.Put(ctx, op.key, op.value, op.expected)
	}
	return r
}

// giveUp tells the node that a call timed out while it is still on its way.
func (w *world) giveUp(n *node, i int) operation {
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
	n.calls = append(n.calls, n.done(w.now(n), a.operation, a.result)...)
	w.check()
}

// flow runs the world for a while without faults.
func (w *world) flow(d time.Duration) {
	for end := w.real + d; w.real < end; {
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
	w.flow(time.Second)
	require.Equal(t, 0, w.holder("planner"))
	first, _ := w.nodes[0].holds(w.now(w.nodes[0]), "planner")
	w.nodes[1].want("planner")
	w.flow(5 * time.Minute)
	require.Equal(t, 0, w.holder("planner"), "renewals keep it")
	w.nodes[0].drop("planner")
	require.Equal(t, -1, w.holder("planner"))
	w.flow(2 * testTiming.Poll)
	require.Equal(t, 1, w.holder("planner"), "a release hands over within two polls")
	second, _ := w.nodes[1].holds(w.now(w.nodes[1]), "planner")
	require.Greater(t, second, first)
	require.Empty(t, w.broken)
}

func TestPausedHolderLapses(t *testing.T) {
	w := newWorld([]float64{1 - MaxDrift, 1 + MaxDrift}, testTiming)
	w.nodes[0].want("planner")
	w.flow(time.Second)
	w.nodes[1].want("planner")
	w.flow(time.Second)
	w.nodes[0].paused = true
	w.flow(testTiming.Duration / 2)
	require.Equal(t, 0, w.holder("planner"), "not taken before the lease is over")
	w.flow(testTiming.Wait + 3*testTiming.Poll)
	require.Equal(t, 1, w.holder("planner"))
	w.nodes[0].paused = false
	require.Empty(t, w.broken)
	w.flow(time.Minute)
	require.Equal(t, 1, w.holder("planner"), "the one that wakes does not act")
	require.Empty(t, w.broken)
}

// A renewal is on its way to the store while its holder is paused and another daemon takes the lease over.
func TestRenewalUnderWayAtTakeOver(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.want("planner")
	w.flow(time.Second)
	b.want("planner")
	w.flow(time.Second)
	w.advance(testTiming.Renew, testTiming.Poll)
	a.paused = true
	require.Equal(t, renewSession, a.calls[0].kind)
	for range int(testTiming.Wait/time.Second) - 2 {
		w.flow(time.Second)
	}
	a.paused = false
	w.execute(a, 0, false)
	w.deliver(a, 0)
	w.flow(time.Minute)
	require.Empty(t, w.broken)
}

// While the duration is changed over the fleet, daemons run with different ones.
func TestOtherDurationOfTheHolder(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.timing = NewTiming(3 * testTiming.Duration)
	a.want("planner")
	w.flow(time.Second)
	b.want("planner")
	w.flow(time.Second)
	a.paused = true
	w.flow(4 * testTiming.Wait)
	require.Empty(t, w.broken)
	require.Equal(t, 1, w.holder("planner"))
}

// Reads that go on showing an old session do not let another daemon in: closing the session takes a write.
func TestStaleSessionReads(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	w.nodes[0].want("planner")
	w.flow(time.Second)
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
	w.flow(5 * testTiming.Wait)
	require.Equal(t, 0, w.holder("planner"))
	require.Empty(t, w.broken)
}

// A write to take the lease is given up and not wanted any more, but takes effect after the daemon looked.
func TestLateTakeIsUndone(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	a.want("shard")
	w.flow(time.Second)
	a.want("planner")
	w.advance(testTiming.Poll, testTiming.Poll)
	w.execute(a, 0, false)
	w.deliver(a, 0)
	require.Equal(t, writeLease, a.calls[0].kind)
	late := w.giveUp(a, 0)
	w.deliver(a, 0)
	a.drop("planner")
	w.flow(3 * testTiming.Poll)
	w.run(late)
	b.want("planner")
	w.flow(5 * time.Second)
	require.Equal(t, 1, w.holder("planner"), "the late write leaves no lease behind")
	require.Equal(t, 0, w.holder("shard"))
	require.Empty(t, w.broken)
}

// A read from before the write that took the lease does not hide that it has to be freed.
func TestStaleReadAtRelease(t *testing.T) {
	w := newWorld([]float64{1, 1}, testTiming)
	a, b := w.nodes[0], w.nodes[1]
	b.want("planner")
	w.flow(time.Second)
	b.drop("planner")
	w.flow(time.Second)
	stale, err := w.store.Get(t.Context(), dutyPrefix+"planner")
	require.NoError(t, err)
	b.want("planner")
	w.flow(time.Second)
	b.drop("planner")
	w.flow(time.Second)
	a.want("planner")
	w.flow(time.Second)
	require.Equal(t, 0, w.holder("planner"))
	a.drop("planner")
	w.advance(testTiming.Poll, testTiming.Poll)
	require.Equal(t, readLease, a.calls[0].kind)
	op := a.calls[0]
	a.calls = nil
	a.answers = append(a.answers, answer{op, result{object: stale}})
	w.deliver(a, 0)
	w.flow(3 * testTiming.Poll)
	b.want("planner")
	w.flow(5 * time.Second)
	require.Equal(t, 1, w.holder("planner"))
}

// A suspended VM's monotonic clock may stand still; the wall clock shows the time that went by.
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
	w.flow(time.Second)
	before := p.Ledger().Calls[platformfaker.OperationPut]
	reads := p.Ledger().Calls[platformfaker.OperationGet]
	w.flow(100 * time.Second)
	require.InDelta(t, 100/testTiming.Renew.Seconds(), p.Ledger().Calls[platformfaker.OperationPut]-before, 2)
	require.Equal(t, reads, p.Ledger().Calls[platformfaker.OperationGet], "a lease that is held costs no reads")
}

// One node at most believes in a lease at any time, and the numbers grow; when the faults end, a lease that is wanted is held.
func fuzzLeases(t *rapid.T, timing Timing) {
	rates := rapid.SliceOfN(rapid.Float64Range(1-MaxDrift, 1+MaxDrift), 2, 3).Draw(t, "rates")
	w := newWorld(rates, timing)
	// late holds writes that a node has given up on and that the store may still run.
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
			w.flow(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
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
				late = append(late, w.giveUp(c.node, c.index))
			}
		},
		"late write": func(t *rapid.T) {
			if len(late) > 0 {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
				w.run(late[i])
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
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		},
	})
	for _, op := range late {
		w.run(op)
	}
	w.platform.ClearFaults()
	wanted := map[string]bool{}
	for _, n := range w.nodes {
		n.paused = false
		for name, d := range n.duties {
			wanted[name] = wanted[name] || d.wanted
		}
	}
	w.flow(3 * timing.Wait)
	for name := range wanted {
		if wanted[name] != (w.holder(name) >= 0) {
			t.Fatalf("%s is wanted %t and held by %d after the faults ended", name, wanted[name], w.holder(name))
		}
	}
	if w.broken != "" {
		t.Fatal(w.broken)
	}
}

type nodeCall struct {
	node  *node
	index int
}

func TestFuzzOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { fuzzLeases(t, testTiming) })
}
