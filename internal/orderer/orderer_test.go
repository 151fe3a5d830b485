package orderer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/internal/timer"
)

var testEngine = &matcher.Engine{
	Slots: 10, Layers: 12, LayerBytes: 1e9, TokenBytes: 1e3, LoadTime: 2 * time.Second, MaxConcurrentLoads: 2, UsualPrompt: 10, UsualAnswer: 10,
	Kinds: map[string]matcher.Accelerator{"l4": {MemoryBytes: 6.1e9, Pace: 1}},
}

// fakeFleet is a fleet of targets that accept orders.
type fakeFleet struct {
	mu       sync.Mutex
	targets  *assessor.Assessor
	counts   map[string]uint64
	accepted []string
	reports  int
	// unanswered is how many more orders get no answer; the targets carry them out.
	unanswered int
	// unlisted keeps the layers that targets hold out of the list.
	unlisted bool
}

func (e *fakeFleet) put(name string, first, end uint32) { e.putAt(name, "a", first, end) }

func (e *fakeFleet) putAt(name string, dc cataloger.DataCentre, first, end uint32) {
	t := cataloger.Target{Name: name, Service: "llm", Address: name, DataCentre: dc, Kind: "l4", State: cataloger.StateLive, Incarnation: 1}
	if end > first {
		t.Holdings = []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}}
	}
	e.targets.Put(t)
}

func (e *fakeFleet) place(_ context.Context, t cataloger.Target, p Placement) (Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Expected != e.counts[t.Name] {
		return Conflict, errors.New("409")
	}
	e.counts[t.Name]++
	e.accepted = append(e.accepted, fmt.Sprintf("%s %d-%d", t.Name, p.First, p.End))
	if !e.unlisted {
		e.put(t.Name, p.First, p.End)
	}
	if e.unanswered > 0 {
		e.unanswered--
		return Unknown, errors.New("no answer")
	}
	return Loading, nil
}

func (e *fakeFleet) report(_ context.Context, t cataloger.Target) (relayer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	return relayer.Report{Orders: e.counts[t.Name]}, nil
}

func (e *fakeFleet) orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.accepted...)
}

func start(t *testing.T, e *fakeFleet) *Orderer {
	o := New(e.targets, timer.System{})
	run(t, e, o)
	return o
}

func run(t *testing.T, e *fakeFleet, o *Orderer) {
	o.Services = func() []matcher.Service { return []matcher.Service{{Name: "llm", Engine: testEngine}} }
	o.HoldsDuty, o.Place, o.Report = func() bool { return true }, e.place, e.report
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = o.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func newFakeFleet(names ...string) *fakeFleet {
	e := &fakeFleet{targets: assessor.New(time.Now), counts: map[string]uint64{}}
	for _, n := range names {
		e.put(n, 0, 0)
	}
	return e
}

func TestLayersArePlacedOnceTheListIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet("a")
		start(t, e)
		time.Sleep(settleTime / 2)
		e.put("b", 0, 0)
		time.Sleep(settleTime / 2)
		require.Empty(t, e.orders(), "more targets may still be listed")
		time.Sleep(2 * settleTime)
		require.ElementsMatch(t, []string{"a 0-6", "b 6-12"}, e.orders())
		require.Zero(t, e.reports, "targets that have just started have accepted nothing")
		time.Sleep(time.Minute)
		require.Len(t, e.orders(), 2, "a complete placement gets no more orders")
	})
}

func TestAnEmptyTargetTakesOverALostRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet()
		e.put("a", 0, 6)
		e.put("b", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Suspect("b", 1, time.Now())
		e.put("c", 0, 0)
		time.Sleep(time.Second)
		require.Equal(t, []string{"c 6-12"}, e.orders(), "ordered within a second of the loss")
	})
}

// TestHoldersMoveIntoLastingGapsOnly: a target that holds a spare copy is moved only once a gap has lasted for moveDelay.
func TestHoldersMoveIntoLastingGapsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet()
		e.put("a", 0, 6)
		e.put("b", 6, 12)
		e.put("spare", 0, 6)
		e.counts["spare"] = 3
		// Another data centre holds the model too, so it is served the whole time.
		e.putAt("far1", "far", 0, 6)
		e.putAt("far2", "far", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Suspect("b", 1, time.Now())
		time.Sleep(moveDelay - reconcileInterval)
		require.Empty(t, e.orders(), "the target may answer again")
		time.Sleep(3 * reconcileInterval)
		require.Len(t, e.orders(), 1)
		require.Equal(t, 1, e.reports, "its count of orders comes from its report")
	})
}

// TestLayersHeldNowhereAreMovedSooner: no other data centre holds the lost range, so a target is moved after urgentMoveDelay.
func TestLayersHeldNowhereAreMovedSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet()
		e.put("a", 0, 6)
		e.put("b", 6, 12)
		e.put("spare", 0, 6)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Suspect("b", 1, time.Now())
		time.Sleep(urgentMoveDelay + 3*reconcileInterval)
		require.Len(t, e.orders(), 1)
	})
}

// TestUnansweredOrderIsNotSentTwice: the order is carried out, but neither an answer nor the list shows it.
func TestUnansweredOrderIsNotSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet("a", "b")
		e.unanswered, e.unlisted = 1, true
		start(t, e)
		time.Sleep(settleTime + 2*reconcileInterval)
		require.Len(t, e.orders(), 2)
		// Half of the layers load in half of the load time.
		time.Sleep(testEngine.LoadTime/2 + maxListingDelay - reconcileInterval)
		require.Len(t, e.orders(), 2, "orders stay pending for as long as a load and its listing take")
		time.Sleep(time.Second)
		require.Greater(t, len(e.orders()), 2, "an order without effect is sent again")
	})
}

// TestSuccessorHasPendingOrders: the previous holder of the duty has sent orders that the list does not show yet.
func TestSuccessorHasPendingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet("a", "b")
		o := start(t, e)
		for _, p := range []Pending{{Target: "a", First: 0, End: 6}, {Target: "b", First: 6, End: 12}} {
			p.Incarnation, p.At, p.Until = 1, time.Now(), time.Now().Add(3*time.Second)
			o.MergePending(p)
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, e.orders())
		require.Len(t, o.Pending(), 2)
		time.Sleep(2 * time.Second)
		require.Len(t, e.orders(), 2, "an order without effect is sent again")
	})
}

// TestConflictIsResolvedByTheReport: another daemon has sent orders in the meantime.
func TestConflictIsResolvedByTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet("a", "b")
		e.counts["a"] = 7
		start(t, e)
		time.Sleep(settleTime + retryDelay + time.Second)
		require.ElementsMatch(t, []string{"a 0-6", "b 6-12"}, e.orders())
		require.Equal(t, 1, e.reports)
	})
}

// TestEachGapHasItsOwnDelay: an older gap, which no target can fill, does not shorten the delay of a new one.
func TestEachGapHasItsOwnDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet()
		for _, dc := range []cataloger.DataCentre{"a", "b"} {
			e.putAt(string(dc)+"1", dc, 0, 6)
			e.putAt(string(dc)+"2", dc, 6, 12)
		}
		e.putAt("far1", "far", 0, 6)
		e.putAt("far1b", "far", 0, 6)
		e.putAt("far2", "far", 6, 12)
		e.putAt("b-spare", "b", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Suspect("a1", 1, time.Now())
		time.Sleep(moveDelay)
		e.targets.Suspect("a1", 1, time.Now())
		e.targets.Suspect("b1", 1, time.Now())
		time.Sleep(moveDelay - reconcileInterval)
		require.Empty(t, e.orders(), "the new gap has not lasted for moveDelay")
		time.Sleep(3 * reconcileInterval)
		require.Equal(t, []string{"b-spare 0-6"}, e.orders())
	})
}

// TestLargeFleetStartsInPortions: the loads of thousands of targets at once would all end late.
func TestLargeFleetStartsInPortions(t *testing.T) {
	newLargeFleet := func() *fakeFleet {
		e := newFakeFleet()
		for i := range 2 * maxStartOrders {
			e.put(fmt.Sprintf("t%04d", i), 0, 0)
		}
		e.unlisted = true
		return e
	}
	synctest.Test(t, func(t *testing.T) {
		e := newLargeFleet()
		o := New(e.targets, timer.System{})
		o.FirstStart = true
		run(t, e, o)
		time.Sleep(settleTime + 2*reconcileInterval)
		require.LessOrEqual(t, len(e.orders()), 2*maxOrdersAtOnce, "connections are opened in portions")
		time.Sleep(time.Second)
		require.InDelta(t, maxStartOrders, len(e.orders()), 10, "no more than these are pending")
		require.Len(t, o.Pending(), len(e.orders()))
	})
	synctest.Test(t, func(t *testing.T) {
		e := newLargeFleet()
		e.targets.Reserve([]cataloger.Stage{{Target: "t0000", EndLayer: 6}}, 10)
		o := New(e.targets, timer.System{})
		o.FirstStart = true
		run(t, e, o)
		time.Sleep(settleTime + 4*reconcileInterval)
		require.InDelta(t, testEngine.MaxConcurrentLoads, len(e.orders()), 4, "loads of a fleet in use are slow")
	})
	synctest.Test(t, func(t *testing.T) {
		e := newLargeFleet()
		for i := range maxStartOrders + 1 {
			e.targets.Remove(fmt.Sprintf("t%04d", i))
		}
		start(t, e)
		time.Sleep(settleTime + 2*reconcileInterval)
		require.Len(t, e.orders(), maxStartOrders-1, "a small fleet gets all orders together")
	})
}

// BenchmarkReconcile measures a check of a placement without moves.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range []int{230, 1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newFakeFleet()
			for i := range n {
				e.putAt(fmt.Sprintf("t%05d", i), cataloger.DataCentre(fmt.Sprint(i%3)), uint32(i%2*6), uint32(i%2*6+6))
			}
			o := New(e.targets, timer.System{})
			o.HoldsDuty = func() bool { return true }
			for b.Loop() {
				o.reconcile(b.Context(), matcher.Service{Name: "llm", Engine: testEngine})
			}
		})
	}
}

// TestLargeFleetInUseLoadsNoSpares: loads compete with those of layers that are lost, so targets without layers wait until they are
// needed.
func TestLargeFleetInUseLoadsNoSpares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeFleet()
		for i := range 2 * (spareHolders + 10) {
			e.put(fmt.Sprintf("t%04d", i), uint32(i%2*6), uint32(i%2*6+6))
		}
		for i := range maxStartOrders {
			e.put(fmt.Sprintf("x%04d", i), 0, 0)
		}
		var crowded atomic.Bool
		o := New(e.targets, timer.System{})
		o.Fill = func(matcher.Service) float64 {
			if crowded.Load() {
				return 0.5
			}
			return 0.1
		}
		run(t, e, o)
		time.Sleep(5 * time.Second)
		require.Empty(t, e.orders())
		for i := range 20 {
			e.targets.Suspect(fmt.Sprintf("t%04d", 2*i), 1, time.Now())
		}
		time.Sleep(3 * time.Second)
		require.Len(t, e.orders(), 10, "as many as there were before the loss, without the spares")
		crowded.Store(true)
		time.Sleep(5 * time.Second)
		require.Greater(t, len(e.orders()), 30, "the room is in use")
	})
}
