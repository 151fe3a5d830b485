package selector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func newTestSelector() (*Selector, *timer.Manual) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	return New(clock, rand.New(rand.NewPCG(1, 2))), clock
}

var testRequest = Request{Model: "m", Version: "v1", PromptTokens: 10, MaxTokens: 10}

// reachable reports, by trying every holding, whether a chain covers the layers.
func reachable(f cataloger.Fleet, layers uint32) bool {
	reached := map[uint32]bool{0: true}
	for range f.Targets {
		for _, t := range f.Targets {
			h := t.Holdings[0]
			if !isUsable(t.State) || !h.Ready || h.Version != "v1" {
				continue
			}
			for l := h.FirstLayer; l < h.EndLayer; l++ {
				if reached[l] {
					reached[min(h.EndLayer, layers)] = true
				}
			}
		}
	}
	return reached[layers]
}

// TestPickAgainstOracle changes the fleet at random and requires that a valid route is found exactly if one exists.
func TestPickAgainstOracle(t *testing.T) {
	const layers = 12
	states := []cataloger.State{cataloger.StateLive, cataloger.StateSuspect, cataloger.StateLeaving, cataloger.StateDead, cataloger.StateJoining}
	rapid.Check(t, func(t *rapid.T) {
		s, clock := newTestSelector()
		var fleet cataloger.Fleet
		for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			end := rapid.IntRange(first+1, layers).Draw(t, "end")
			fleet.Targets = append(fleet.Targets, mixTarget(i, 1000, first, end))
		}
		model := []Model{{Name: "m", Version: "v1", Layers: layers, ActivationBytes: 100}}
		s.Update(fleet, model)
		var permits []*Permit
		target := func(t *rapid.T) int { return rapid.IntRange(0, len(fleet.Targets)-1).Draw(t, "target") }
		t.Repeat(map[string]func(*rapid.T){
			"state": func(t *rapid.T) {
				targets := append([]cataloger.Target(nil), fleet.Targets...)
				i := target(t)
				targets[i] = targets[i].WithState(rapid.SampledFrom(states).Draw(t, "state"))
				fleet.Targets = targets
				s.Update(fleet, model)
			},
			"fail":  func(t *rapid.T) { s.ReportFailed(fleet.Targets[target(t)].Name) },
			"blame": func(t *rapid.T) { s.ReportSuspects([]string{fleet.Targets[target(t)].Name}) },
			"time":  func(t *rapid.T) { clock.Advance(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second) },
			"done": func(t *rapid.T) {
				if len(permits) > 0 {
					permits[0].Done()
					permits = permits[1:]
				}
			},
			"pick": func(t *rapid.T) {
				req := testRequest
				req.Avoid = []string{fleet.Targets[target(t)].Name}
				route, permit, err := s.Pick(req)
				require.Equal(t, reachable(fleet, layers), err == nil)
				if err != nil {
					require.Equal(t, refuser.NoPipeline, refuser.From(err).Code)
					require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
					return
				}
				permits = append(permits, permit)
				require.True(t, route.Covers(layers))
				requireHeld(t, fleet, route)
			},
			"": func(t *rapid.T) {
				streams := 0.0
				for _, x := range s.targets {
					streams += x.streams
				}
				want := 0
				for _, p := range permits {
					for i := range p.n {
						if s.targets[p.legs[i].t.name] == p.legs[i].t {
							want++
						}
					}
				}
				require.InDelta(t, float64(want), streams, 1e-9)
			},
		})
	})
}

// requireHeld checks that each stage's target is usable and holds the stage's layers.
func requireHeld(t require.TestingT, fleet cataloger.Fleet, route cataloger.Route) {
	for _, st := range route.Stages {
		ok := false
		for _, tg := range fleet.Targets {
			h := tg.Holdings[0]
			ok = ok || tg.Name == st.Target && isUsable(tg.State) && h.FirstLayer <= st.FirstLayer && st.EndLayer <= h.EndLayer
		}
		require.True(t, ok, "%v", st)
	}
}

// share returns the share of many picks that use a target.
func share(t *testing.T, s *Selector, name string) float64 {
	const picks = 2000
	n := 0
	for range picks {
		route, permit, err := s.Pick(testRequest)
		require.NoError(t, err)
		for _, st := range route.Stages {
			if st.Target == name {
				n++
			}
		}
		permit.Done()
	}
	return float64(n) / picks
}

func fullRangeFleet(n int) cataloger.Fleet {
	f := cataloger.Fleet{}
	for i := range n {
		f.Targets = append(f.Targets, mixTarget(i, 1000, 0, 12))
	}
	return f
}

var fullRangeModel = []Model{{Name: "m", Version: "v1", Layers: 12}}

func TestTargetSeenAtStartGetsItsFullShareImmediately(t *testing.T) {
	s, clock := newTestSelector()
	s.Update(fullRangeFleet(3), fullRangeModel)
	clock.Advance(settlingTime / 2)
	s.Update(fullRangeFleet(4), fullRangeModel)
	require.InDelta(t, 0.25, share(t, s, "t3"), 0.1)
}

func TestRefreshAppliesStatesImmediately(t *testing.T) {
	s, _ := newTestSelector()
	fleet := fullRangeFleet(3)
	s.Update(fleet, fullRangeModel)
	fleet.Targets[0] = fleet.Targets[0].WithState(cataloger.StateDead)
	s.Refresh(fleet)
	require.Zero(t, share(t, s, "t0"))
	require.Positive(t, share(t, s, "t1"))
}

func TestJoiningTargetStartsSlowly(t *testing.T) {
	s, clock := newTestSelector()
	s.Update(fullRangeFleet(3), fullRangeModel)
	clock.Advance(settlingTime)
	s.Update(fullRangeFleet(4), fullRangeModel)
	early := share(t, s, "t3")
	require.Less(t, early, 0.2)
	require.Positive(t, early)
	clock.Advance(DefaultSlowStart)
	require.InDelta(t, 0.25, share(t, s, "t3"), 0.1)
}

func TestReturningTargetStartsSlowlyAfterLongAbsence(t *testing.T) {
	cases := []struct {
		name     string
		absent   time.Duration
		minShare float64
		maxShare float64
	}{
		{"a moment", briefOutage / 2, 0.15, 0.35},
		{"longer", 2 * briefOutage, 0.001, 0.1},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			s, clock := newTestSelector()
			fleet := fullRangeFleet(4)
			s.Update(fleet, fullRangeModel)
			down := fullRangeFleet(4)
			down.Targets[0] = down.Targets[0].WithState(cataloger.StateDead)
			s.Refresh(down)
			clock.Advance(tt.absent)
			s.Update(fleet, fullRangeModel)
			got := share(t, s, "t0")
			require.GreaterOrEqual(t, got, tt.minShare)
			require.LessOrEqual(t, got, tt.maxShare)
		})
	}
}

func TestFailedTargetIsAvoidedAndReturns(t *testing.T) {
	s, clock := newTestSelector()
	s.Update(fullRangeFleet(4), fullRangeModel)
	s.ReportFailed("t0")
	require.Zero(t, share(t, s, "t0"))
	clock.Advance(time.Second)
	require.Positive(t, share(t, s, "t0"))
	for range 4 {
		clock.Advance(s.targets["t0"].suspectUntil.Sub(clock.Now()))
		s.ReportFailed("t0")
	}
	clock.Advance(time.Second)
	require.Zero(t, share(t, s, "t0"), "consecutive failures keep it out for longer")
	clock.Advance(maxSuspicion*2 + DefaultSlowStart)
	require.InDelta(t, 0.25, share(t, s, "t0"), 0.1)
}

func TestSuspectedTargetIsUsedWhenNoOtherExists(t *testing.T) {
	s, _ := newTestSelector()
	s.Update(fullRangeFleet(1), fullRangeModel)
	s.ReportFailed("t0")
	_, _, err := s.Pick(testRequest)
	require.NoError(t, err)
}

func TestLoadReportsDecayWithAge(t *testing.T) {
	s, clock := newTestSelector()
	s.Update(fullRangeFleet(2), fullRangeModel)
	s.ObserveLoad("t0", &enginev1.LoadResponse{Running: 500, Age: durationpb.New(100 * time.Millisecond)})
	require.Less(t, share(t, s, "t0"), 0.15)
	clock.Advance(20 * time.Second)
	require.InDelta(t, 0.5, share(t, s, "t0"), 0.1)
}

func TestTargetWithFullKVMemoryIsAvoided(t *testing.T) {
	s, _ := newTestSelector()
	s.Update(fullRangeFleet(2), fullRangeModel)
	s.ObserveLoad("t0", &enginev1.LoadResponse{KvUsedBytes: 100, KvTotalBytes: 100})
	require.Less(t, share(t, s, "t0"), 0.05)
}

func TestTargetReportedLeavingIsAvoided(t *testing.T) {
	s, _ := newTestSelector()
	s.Update(fullRangeFleet(2), fullRangeModel)
	s.ObserveLoad("t0", &enginev1.LoadResponse{Leaving: true})
	require.True(t, s.Leaving("t0"))
	require.Zero(t, share(t, s, "t0"))
}

func TestCachedPrefixIsPreferredOnlyWhileCheaper(t *testing.T) {
	s, _ := newTestSelector()
	s.Update(fullRangeFleet(8), fullRangeModel)
	req := testRequest
	req.PromptTokens = 2048
	for i := range uint64(32) {
		req.Prefixes = append(req.Prefixes, 1000+i)
		s.ObserveCache("t5", 1000+i, false)
	}
	route, permit, err := s.Pick(req)
	require.NoError(t, err)
	require.Equal(t, "t5", route.Stages[0].Target)
	permit.Done()
	s.ObserveLoad("t5", &enginev1.LoadResponse{Running: 10_000})
	route, _, err = s.Pick(req)
	require.NoError(t, err)
	require.NotEqual(t, "t5", route.Stages[0].Target)
}

func TestSlowLinkLosesShareAndRecovers(t *testing.T) {
	s, clock := newTestSelector()
	fleet := cataloger.Fleet{Targets: []cataloger.Target{mixTarget(0, 1000, 0, 6), mixTarget(1, 1000, 6, 12), mixTarget(2, 1000, 6, 12)}}
	fleet.Links = []cataloger.Link{{From: "t0", To: "t1", Bandwidth: 1e6, LatencySeconds: 0.001}, {From: "t0", To: "t2", Bandwidth: 1e6, LatencySeconds: 0.001}}
	models := []Model{{Name: "m", Version: "v1", Layers: 12, ActivationBytes: 10_000}}
	s.Update(fleet, models)
	require.InDelta(t, 0.5, share(t, s, "t1"), 0.1)
	for range 40 {
		s.linkOf("t0", "t1").observe(clock.Now(), 0.11, 0.011)
	}
	require.Less(t, share(t, s, "t1"), 0.1)
	require.Positive(t, share(t, s, "t1"), "exploration continues")
	clock.Advance(2 * time.Minute)
	require.InDelta(t, 0.5, share(t, s, "t1"), 0.15)
}

func TestSubstituteKeepsTheOtherStages(t *testing.T) {
	s, _ := newTestSelector()
	fleet := cataloger.Fleet{Targets: []cataloger.Target{mixTarget(0, 1000, 0, 6), mixTarget(1, 1000, 6, 12), mixTarget(2, 1000, 4, 12)}}
	s.Update(fleet, fullRangeModel)
	route := cataloger.Route{Model: "m", Version: "v1", Stages: []cataloger.Stage{{Target: "t0", EndLayer: 6}, {Target: "t1", FirstLayer: 6, EndLayer: 12}}}
	got, permit, ok := s.Substitute(testRequest, route, "t1")
	require.True(t, ok)
	require.True(t, got.Covers(12))
	require.Equal(t, "t0", got.Stages[0].Target)
	require.Equal(t, "t2", got.Stages[1].Target)
	permit.Done()
	_, _, ok = s.Substitute(testRequest, route, "t0")
	require.False(t, ok)
}

// designFleet returns n accelerators over 13 data centres, in chains of five.
func designFleet(n int) cataloger.Fleet {
	f := evenFleet(n, acceleratorRate)
	for i := range f.Targets {
		f.Targets[i].DataCentre = cataloger.DataCentre(fmt.Sprintf("dc%d", i%13))
	}
	return f
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 400, 1320, 6600} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			s := New(timer.System{}, rand.New(rand.NewPCG(1, 2)))
			s.Update(designFleet(n), []Model{mixModel})
			req := testRequest
			req.PromptTokens = 2048
			for i := range uint64(32) {
				req.Prefixes = append(req.Prefixes, i)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, permit, err := s.Pick(req)
				if err != nil {
					b.Fatal(err)
				}
				permit.Done()
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	s := New(timer.System{}, rand.New(rand.NewPCG(1, 2)))
	s.Update(designFleet(400), []Model{mixModel})
	_, permit, err := s.Pick(testRequest)
	require.NoError(b, err)
	r := &commonv1.Receipt{}
	for range permit.n {
		r.Stages = append(r.Stages, &commonv1.StageRun{Transfer: durationpb.New(time.Millisecond)})
	}
	b.ReportAllocs()
	for b.Loop() {
		permit.Observe(r)
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{40, 400, 1320, 6600} {
		b.Run(fmt.Sprintf("accelerators=%d", n), func(b *testing.B) {
			s := New(timer.System{}, rand.New(rand.NewPCG(1, 2)))
			fleet := designFleet(n)
			for b.Loop() {
				s.Update(fleet, []Model{mixModel})
			}
		})
	}
}

func TestTargetWithoutReportsIsAssumedTypicallyLoaded(t *testing.T) {
	cases := []struct {
		name string
		// silent is the time for which the reports of t0 are missing.
		silent   time.Duration
		reported bool
	}{
		{"no reports for 3 s", 3 * time.Second, true},
		{"no reports for 20 s", 20 * time.Second, true},
		{"never reported", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, clock := newTestSelector()
			s.Update(fullRangeFleet(4), fullRangeModel)
			report := func(from int) {
				for i := from; i < 4; i++ {
					s.ObserveLoad(fmt.Sprintf("t%d", i), &enginev1.LoadResponse{Running: 100})
				}
			}
			first := 1
			if c.reported {
				first = 0
			}
			for range 20 {
				report(first)
				clock.Advance(time.Second)
			}
			for range int(c.silent / time.Second) {
				clock.Advance(time.Second)
				report(1)
			}
			report(1)
			picks := 0
			for range 400 {
				route, _, err := s.Pick(testRequest)
				require.NoError(t, err)
				if route.Stages[0].Target == "t0" {
					picks++
				}
			}
			require.InDelta(t, 100, picks, 20)
		})
	}
}
