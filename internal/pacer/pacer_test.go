package pacer

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const (
	testWait    = 100 * time.Millisecond
	testService = "svc"
	sumInterval = 150 * time.Millisecond
)

func init() { _ = flag.Set("rapid.seed", "20261206") }

var epoch = time.Unix(1000, 0)

func target(name string, incarnation uint64) cataloger.Target {
	return cataloger.Target{Name: name, Service: testService, Incarnation: incarnation, State: cataloger.StateLive}
}

// fleet is a number of daemons whose sums lag, and the time that they share.
type fleet struct {
	now     time.Time
	daemons []*Pacer
	// reports are what the daemons reported a round ago.
	reports []Counts
	// interval is the time between two sums.
	interval time.Duration
	// cut means that no sums pass.
	cut bool
	rng *rand.Rand
	// taken is the share of the requests that suit the target.
	taken float64
	// noOtherRoom means that requests take targets that are held back too.
	noOtherRoom bool
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), taken: 1, interval: sumInterval, reports: make([]Counts, n)}
	for range n {
		f.daemons = append(f.daemons, f.newPacer())
	}
	return f
}

func (f *fleet) newPacer() *Pacer {
	p := New(func() time.Time { return f.now })
	p.Enabled = func(string) bool { return true }
	p.Daemons = func() int { return len(f.daemons) }
	p.HasSums = func() bool { return !f.cut }
	p.Lag = func() time.Duration { return 2 * f.interval }
	p.Listed = func(string) int { return 100 }
	p.Draw = f.rng.Float64
	return p
}

// busy returns the first daemon, after requests without which it paces nothing.
func (f *fleet) busy() *Pacer {
	for range minRate + 1 {
		f.daemons[0].RecordRequest(testService)
	}
	return f.daemons[0]
}

func (f *fleet) begin(t cataloger.Target) {
	for _, p := range f.daemons {
		p.Begin(t, ReasonStarted)
	}
}

// exchange gives each daemon the sum of what the others reported a round ago.
func (f *fleet) exchange() {
	all := Counts{}
	for _, counts := range f.reports {
		for key, n := range counts {
			all[key] += n
		}
	}
	for i, p := range f.daemons {
		others := maps.Clone(all)
		for key, n := range f.reports[i] {
			others[key] -= n
		}
		if !f.cut {
			p.Apply(others)
		}
	}
	for i, p := range f.daemons {
		f.reports[i] = p.Own()
	}
}

// load sends requests at a rate a second over all daemons for some time. The target answers each after answer, or rejects it if answer is
// negative. It returns the largest number of requests that waited at the target, and how many it got.
func (f *fleet) load(rate float64, d, answer time.Duration) (peak, got int) {
	type sent struct {
		s  *Sending
		at time.Time
	}
	var waiting []sent
	next, end := f.now.Add(f.interval), f.now.Add(d)
	for step := time.Duration(float64(time.Second) / rate); f.now.Before(end); f.now = f.now.Add(step) {
		if !f.now.Before(next) {
			f.exchange()
			next = next.Add(f.interval)
		}
		for len(waiting) > 0 && f.now.Sub(waiting[0].at) >= max(answer, testWait) {
			if answer < 0 {
				waiting[0].s.RecordTrouble("t")
			}
			waiting[0].s.RecordAnswer()
			waiting = waiting[1:]
		}
		p := f.daemons[f.rng.IntN(len(f.daemons))]
		p.RecordRequest(testService)
		if v := p.Verdicts(testService)["t"]; v == Open || v == HeldBack && f.noOtherRoom {
			if f.rng.Float64() >= f.taken {
				continue
			}
			waiting = append(waiting, sent{p.Send([]string{"t"}, testWait), f.now})
			got++
		}
		peak = max(peak, len(waiting))
	}
	for _, w := range waiting {
		w.s.Close()
	}
	return peak, got
}

func (f *fleet) windows() (least, most float64) {
	least = fullWindow
	for _, p := range f.daemons {
		w := p.targets["t"].window
		least, most = min(least, w), max(most, w)
	}
	return least, most
}

// warm lets the daemons learn the demand before the target starts.
func (f *fleet) warm(rate float64) { f.load(rate, 3*time.Second, testWait) }

// The load is that of many daemons whose requests would all take an idle target.
func TestManyDaemonsDoNotFloodATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 4, 27, 81, 400}).Draw(t, "daemons")
		rate := rapid.Float64Range(50, 800).Draw(t, "rate")
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"))
		f.cut, f.noOtherRoom = rapid.Bool().Draw(t, "cut"), rapid.Bool().Draw(t, "no other room")
		f.interval *= time.Duration(rapid.IntRange(1, 5).Draw(t, "interval"))
		f.warm(rate)
		f.begin(target("t", 1))
		// Its answers take longer than the test, so that the window stays as it was.
		peak, _ := f.load(rate, 5*f.interval/2, time.Minute)
		window := float64(minInitialWindow)
		if f.noOtherRoom {
			window *= overflowFactor
		}
		// The room is filled once within the lag of the sums, which is two intervals, give or take five standard deviations.
		expected := window * 5 / 4
		require.LessOrEqual(t, float64(peak), expected+5*math.Sqrt(expected))
	})
}

func TestWindowGrowsWithAnswersInTimeOnAllDaemonsAlike(t *testing.T) {
	for _, n := range []int{1, 27, 81} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(n, 7)
			f.warm(170)
			f.begin(target("t", 1))
			f.load(170, 1500*time.Millisecond, testWait)
			least, most := f.windows()
			require.Greater(t, least, 4.0*minInitialWindow)
			require.Less(t, most, 3*least)
			f.load(170, 3500*time.Millisecond, testWait)
			require.Zero(t, f.daemons[0].Paced())
			require.Empty(t, f.daemons[0].Verdicts(testService))
		})
	}
}

// The load is that of a target that suits one request in twenty: it is open to more of them.
func TestTargetThatSuitsFewRequestsIsNotLeftIdle(t *testing.T) {
	f := newFleet(81, 9)
	f.warm(170)
	f.taken = 0.05
	f.begin(target("t", 1))
	f.load(170, time.Second, testWait)
	_, got := f.load(170, 6*time.Second, testWait)
	require.Greater(t, float64(got), 0.8*f.taken*6*170)
}

func TestSlowOrRejectingTargetStaysSmallAndIsNotStarved(t *testing.T) {
	for name, answer := range map[string]time.Duration{"slow": 6 * testWait, "rejecting": -1} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(81, 3)
			f.warm(170)
			f.begin(target("t", 1))
			f.load(170, 4*time.Second, answer)
			_, most := f.windows()
			require.LessOrEqual(t, most, 2.0*minInitialWindow)
			_, got := f.load(170, 4*time.Second, answer)
			require.Positive(t, got)
			require.Less(t, got, 170)
			// It has recovered.
			f.load(170, 6*time.Second, testWait)
			require.Zero(t, f.daemons[0].Paced())
		})
	}
}

func TestSumsThatStopLeaveEachDaemonItsPart(t *testing.T) {
	f := newFleet(81, 5)
	f.warm(170)
	f.begin(target("t", 1))
	f.cut = true
	peak, got := f.load(170, 2*time.Second, testWait)
	require.LessOrEqual(t, peak, 5*minInitialWindow)
	require.Positive(t, got)
}

func TestNewIncarnationBeginsAnew(t *testing.T) {
	f := newFleet(1, 1)
	p := f.busy()
	p.Begin(target("t", 1), ReasonStarted)
	old := p.Send([]string{"t"}, testWait)
	p.Update(target("t", 1), true, target("t", 2))
	require.Equal(t, minInitialWindow, int(p.targets["t"].window))
	old.RecordTrouble("t")
	require.Zero(t, p.targets["t"].own, "what was sent to the old incarnation says nothing of the new one")
	p.Update(target("t", 2), true, target("t", 2))
	require.Equal(t, uint64(2), p.targets["t"].target.Incarnation)
}

func TestTargetThatIsGoneInTheRampIsForgotten(t *testing.T) {
	f := newFleet(1, 1)
	p := f.busy()
	p.Begin(target("t", 1), ReasonStarted)
	s := p.Send([]string{"t"}, testWait)
	p.Forget("t")
	s.Close()
	s.Close()
	require.Len(t, p.Own(), 1, "the demand alone")
	require.Nil(t, p.Send([]string{"t"}, testWait))
}

func TestDaemonThatEndsTakesNothingFromTheWindow(t *testing.T) {
	r := newRamp(epoch, 0)
	r.applyOthers(epoch, progress{waiting: 1, inTime: 2})
	require.InDelta(t, minInitialWindow+2, r.window, 0)
	r.applyOthers(epoch, progress{})
	require.InDelta(t, minInitialWindow+2, r.window, 0)
	r.applyOthers(epoch, progress{inTime: 100})
	require.InDelta(t, 2*(minInitialWindow+2), r.window, 0, "a sum that was incomplete adds one round")
}

func TestIdleTargetIsNoLongerPacedAfterATimeWithoutTrouble(t *testing.T) {
	f := newFleet(1, 1)
	p := f.busy()
	p.Begin(target("t", 1), ReasonSuspected)
	f.now = f.now.Add(calmTime - 1)
	require.Equal(t, 1, p.Paced())
	f.now = f.now.Add(1)
	require.Zero(t, p.Paced())
	f.now = f.now.Add(endedRetention)
	p.Own()
	require.Empty(t, p.targets)
}

func TestTargetsArePacedOnlyBesideEnoughPeers(t *testing.T) {
	f := newFleet(1, 1)
	p := f.busy()
	p.Listed = func(string) int { return 2 }
	p.Begin(target("t", 1), ReasonStarted)
	for range minInitialWindow {
		p.Send([]string{"t"}, testWait)
	}
	require.Equal(t, HeldBack, p.Verdicts(testService)["t"])
	p.Begin(target("u", 1), ReasonStarted)
	require.Empty(t, p.Verdicts(testService))
}

func TestTargetIsFullAtAMultipleOfItsWindow(t *testing.T) {
	f := newFleet(1, 1)
	p := f.busy()
	p.Begin(target("t", 1), ReasonStarted)
	for range overflowFactor * minInitialWindow {
		p.Send([]string{"t"}, testWait)
	}
	require.Equal(t, Full, p.Verdicts(testService)["t"])
}

func TestUpdatePacesTargetsThatGainLayers(t *testing.T) {
	holding := func(first, end uint32, ready bool) cataloger.Target {
		return target("t", 1).WithHoldings([]cataloger.Holding{{FirstLayer: first, EndLayer: end, Ready: ready, Version: "1"}})
	}
	for _, test := range []struct {
		name          string
		before, after cataloger.Target
		paced         int
	}{
		{"loaded", holding(0, 10, false), holding(0, 10, true), 1},
		{"grown", holding(0, 10, true), holding(0, 12, true), 1},
		{"moved", holding(0, 10, true), holding(10, 20, true), 1},
		{"shrunk", holding(0, 10, true), holding(0, 8, true), 0},
		{"same", holding(0, 10, true), holding(0, 10, true), 0},
		{"leaving", holding(0, 10, false), holding(0, 10, true).WithState(cataloger.StateLeaving), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newFleet(1, 1).busy()
			p.Update(test.before, true, test.after)
			require.Equal(t, test.paced, p.Paced())
		})
	}
}

// A fleet that starts has no requests yet, and no target of it is to be idle once they come.
func TestNothingIsPacedWithoutDemand(t *testing.T) {
	p := newFleet(1, 1).daemons[0]
	p.Begin(target("t", 1), ReasonStarted)
	require.Zero(t, p.Paced())
}

func TestNothingIsPacedUnlessEnabled(t *testing.T) {
	p := newFleet(1, 1).busy()
	p.Enabled = func(string) bool { return false }
	p.Update(cataloger.Target{}, false, target("t", 1))
	p.RecordRequest(testService)
	require.Zero(t, p.Paced())
	require.Empty(t, p.Own())
}

// BenchmarkVerdicts measures what a choice costs while a quarter of 400 targets are paced.
func BenchmarkVerdicts(b *testing.B) {
	p := newFleet(1, 1).busy()
	p.Listed = func(string) int { return 400 }
	for i := range 100 {
		p.Begin(target(fmt.Sprint("t", i), 1), ReasonStarted)
	}
	for b.Loop() {
		_ = p.Verdicts(testService)
	}
}
