package orderer

import (
	"context"
	"fmt"
	"sync"
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
	Slots: 10, Layers: 12, LayerBytes: 1e9, TokenBytes: 1e3, LoadTime: 2 * time.Second, LoadsAtOnce: 2, UsualPrompt: 10, UsualAnswer: 10,
	Kinds: map[string]matcher.Accelerator{"l4": {MemoryBytes: 6.1e9, Pace: 1}},
}

// engines is a fleet of targets that take orders.
type engines struct {
	mu      sync.Mutex
	targets *assessor.Assessor
	counts  map[string]uint64
	given   []string
	reports int
	// lose is how many more orders are not answered; the targets carry them out.
	lose int
	// silent targets list nothing of what they hold.
	silent bool
}

func (e *engines) list(name string, first, end uint32) { e.listAt(name, "a", first, end) }

func (e *engines) listAt(name string, dc cataloger.DataCentre, first, end uint32) {
	t := cataloger.Target{Name: name, Service: "llm", Address: name, DataCentre: dc, Kind: "l4", State: cataloger.StateLive, Incarnation: 1}
	if end > first {
		t.Holdings = []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}}
	}
	e.targets.Put(t)
}

func (e *engines) place(_ context.Context, t cataloger.Target, p Placement) (Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Expected != e.counts[t.Name] {
		return Conflict, errors.New("409")
	}
	e.counts[t.Name]++
	e.given = append(e.given, fmt.Sprintf("%s %d-%d", t.Name, p.First, p.End))
	if !e.silent {
		e.list(t.Name, p.First, p.End)
	}
	if e.lose > 0 {
		e.lose--
		return Unknown, errors.New("no answer")
	}
	return Loading, nil
}

func (e *engines) report(_ context.Context, t cataloger.Target) (relayer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	return relayer.Report{Orders: e.counts[t.Name]}, nil
}

func (e *engines) orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.given...)
}

func start(t *testing.T, e *engines) *Orderer {
	o := New(e.targets, timer.System{})
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
	return o
}

func newEngines(names ...string) *engines {
	e := &engines{targets: assessor.New(time.Now), counts: map[string]uint64{}}
	for _, n := range names {
		e.list(n, 0, 0)
	}
	return e
}

func TestLayersArePlacedOnceTheListStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a")
		start(t, e)
		time.Sleep(settleTime / 2)
		e.list("b", 0, 0)
		time.Sleep(settleTime / 2)
		require.Empty(t, e.orders(), "more targets may be listed any moment")
		time.Sleep(2 * settleTime)
		require.ElementsMatch(t, []string{"a 0-6", "b 6-12"}, e.orders())
		require.Zero(t, e.reports, "targets that have just started have accepted nothing")
		time.Sleep(time.Minute)
		require.Len(t, e.orders(), 2, "what is placed is left alone")
	})
}

func TestAnEmptyTargetTakesOverALostRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines()
		e.list("a", 0, 6)
		e.list("b", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Lose("b", 1, time.Now())
		e.list("c", 0, 0)
		time.Sleep(time.Second)
		require.Equal(t, []string{"c 6-12"}, e.orders(), "ordered within a second of the loss")
	})
}

// TestHoldersMoveIntoLastingGapsOnly: a target that holds a spare copy is moved once the gap has lasted.
func TestHoldersMoveIntoLastingGapsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines()
		e.list("a", 0, 6)
		e.list("b", 6, 12)
		e.list("spare", 0, 6)
		e.counts["spare"] = 3
		// Another data centre holds the model, too, so that it is served all the while.
		e.listAt("far1", "far", 0, 6)
		e.listAt("far2", "far", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Lose("b", 1, time.Now())
		time.Sleep(moveTime - interval)
		require.Empty(t, e.orders(), "the target may answer again")
		time.Sleep(3 * interval)
		require.Len(t, e.orders(), 1)
		require.Equal(t, 1, e.reports, "its count of orders is learnt from its report")
	})
}

// TestLayersHeldNowhereAreWorthAMoveAtOnce: no other data centre holds the lost range.
func TestLayersHeldNowhereAreWorthAMoveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines()
		e.list("a", 0, 6)
		e.list("b", 6, 12)
		e.list("spare", 0, 6)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Lose("b", 1, time.Now())
		time.Sleep(urgentMoveTime + 3*interval)
		require.Len(t, e.orders(), 1)
	})
}

// TestUnansweredOrderIsNotGivenTwice: the order was carried out, and its answer and the list say nothing.
func TestUnansweredOrderIsNotGivenTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", "b")
		e.lose, e.silent = 1, true
		start(t, e)
		time.Sleep(settleTime + 2*interval)
		require.Len(t, e.orders(), 2)
		// Half of the layers load in half of the load time.
		time.Sleep(testEngine.LoadTime/2 + listTime - interval)
		require.Len(t, e.orders(), 2, "orders count as under way for as long as a load and its listing take")
		time.Sleep(time.Second)
		require.Greater(t, len(e.orders()), 2, "an order that came to nothing is given again")
	})
}

// TestSuccessorKnowsPendingOrders: the daemon before has ordered, and the list does not show it yet.
func TestSuccessorKnowsPendingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", "b")
		o := start(t, e)
		for _, p := range []Pending{{Target: "a", First: 0, End: 6}, {Target: "b", First: 6, End: 12}} {
			p.Incarnation, p.At, p.Until = 1, time.Now(), time.Now().Add(3*time.Second)
			o.MergePending(p)
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, e.orders())
		require.Len(t, o.Pending(), 2)
		time.Sleep(2 * time.Second)
		require.Len(t, e.orders(), 2, "an order that came to nothing is given again")
	})
}

// TestConflictIsSettledByTheReport: another daemon has given orders meanwhile.
func TestConflictIsSettledByTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines("a", "b")
		e.counts["a"] = 7
		start(t, e)
		time.Sleep(settleTime + retryPause + time.Second)
		require.ElementsMatch(t, []string{"a 0-6", "b 6-12"}, e.orders())
		require.Equal(t, 1, e.reports)
	})
}

// TestEachGapHasItsOwnWait: an older gap, which nobody can fill, does not make a new one count as lasting.
func TestEachGapHasItsOwnWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines()
		for _, dc := range []cataloger.DataCentre{"a", "b"} {
			e.listAt(string(dc)+"1", dc, 0, 6)
			e.listAt(string(dc)+"2", dc, 6, 12)
		}
		e.listAt("far1", "far", 0, 6)
		e.listAt("far1b", "far", 0, 6)
		e.listAt("far2", "far", 6, 12)
		e.listAt("b-spare", "b", 6, 12)
		start(t, e)
		time.Sleep(time.Second)
		e.targets.Lose("a1", 1, time.Now())
		time.Sleep(moveTime)
		e.targets.Lose("a1", 1, time.Now())
		e.targets.Lose("b1", 1, time.Now())
		time.Sleep(moveTime - interval)
		require.Empty(t, e.orders(), "the new gap has not lasted")
		time.Sleep(3 * interval)
		require.Equal(t, []string{"b-spare 0-6"}, e.orders())
	})
}
