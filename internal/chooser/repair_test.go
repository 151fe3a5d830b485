package chooser

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// testEngine has 4 layers and a pipe that takes 20 ms for the 1,000 tokens of testDemand.
func testEngine() *matcher.Engine {
	return &matcher.Engine{
		Slots: 100, Layers: 4, LayerBytes: 1e9, TokenBytes: 4e5, StepTime: time.Millisecond, PrefillRate: 250e3,
		ActivationBytes: 20e3, PipeBytesPerSecond: 1e9, Kinds: map[string]matcher.Accelerator{"card": {MemoryBytes: 40e9, Pace: 1, PrefillFactor: 1}},
	}
}

func testDemand() Demand {
	return Demand{Service: "llm", Engine: testEngine(), Tokens: 1000, PrefillTokens: 800}
}

// testTarget is a target of a data centre with its range of layers.
type testTarget struct {
	name       string
	dataCentre cataloger.DataCentre
	first, end uint32
}

func newTestChooser(now *time.Time, targets ...testTarget) *Chooser {
	clock := func() time.Time { return *now }
	a := assessor.New(clock)
	for _, h := range targets {
		a.Put(cataloger.Target{
			Name: h.name, Address: h.name, Service: "llm", DataCentre: h.dataCentre, Kind: "card", State: cataloger.StateLive,
			Incarnation: 1, Holdings: []cataloger.Holding{{Version: "1", FirstLayer: h.first, EndLayer: h.end, Ready: true}},
		})
	}
	c := New(a, clock)
	c.Daemons = func() int { return 2 }
	return c
}

func pathOf(stages ...testTarget) []cataloger.Stage {
	var out []cataloger.Stage
	for _, h := range stages {
		out = append(out, cataloger.Stage{Target: h.name, Address: h.name, FirstLayer: h.first, EndLayer: h.end})
	}
	return out
}

var (
	head      = testTarget{"a-head", "a", 0, 2}
	tail      = testTarget{"a-tail", "a", 2, 4}
	spare     = testTarget{"a-spare", "a", 2, 4}
	otherHead = testTarget{"b-head", "b", 0, 2}
	otherTail = testTarget{"b-tail", "b", 2, 4}
)

// Many streams lose a stage of which their data centre holds no other copy. The first ones are transferred to another data centre
// until they fill the pipe; the others are sent again, and those that may not be moved wait rather than delay all.
func TestRepairWithoutCopyInTheDataCentre(t *testing.T) {
	now := time.Unix(100, 0)
	c := newTestChooser(&now, head, tail, otherHead, otherTail)
	lost := map[string]bool{tail.name: true}
	c.Targets.Suspect(tail.name, 1, now)
	counts := map[Repair]int{}
	repair := func(mayMove bool) Repair {
		next, how := c.Repair(testDemand(), pathOf(head, tail), lost, func() bool { return mayMove })
		if how == RepairReplace {
			require.Equal(t, pathOf(head, otherTail), next)
		}
		counts[how]++
		return how
	}
	for range 20 {
		repair(true)
	}
	// Each stream takes 20 ms of the pipe, and the other daemon is assumed to transfer as many.
	require.Equal(t, map[Repair]int{RepairReplace: 3, RepairMove: 17}, counts)
	clear(counts)
	for range 100 {
		repair(false)
	}
	require.Equal(t, map[Repair]int{RepairReplace: 27, RepairWait: 73}, counts, "the pipe is not filled for longer than clients wait")
	now = now.Add(2 * time.Second)
	require.Equal(t, RepairReplace, repair(true), "the pipe has carried the backlog")
}

func TestRepairPrefersCopyInTheDataCentre(t *testing.T) {
	now := time.Unix(100, 0)
	c := newTestChooser(&now, head, tail, spare, otherTail)
	for range 200 {
		next, how := c.Repair(testDemand(), pathOf(head, tail), map[string]bool{tail.name: true}, func() bool { return true })
		require.Equal(t, RepairReplace, how)
		require.Equal(t, pathOf(head, spare), next)
	}
}

func TestRepairWithoutHolders(t *testing.T) {
	now := time.Unix(100, 0)
	c := newTestChooser(&now, head, tail)
	_, how := c.Repair(testDemand(), pathOf(head, tail), map[string]bool{tail.name: true}, func() bool { return true })
	require.Equal(t, RepairNone, how)
}

// Only new stages receive the generation again; stages that stay keep their KV cache, in any data centre.
func TestOnlyNewStagesPrefill(t *testing.T) {
	now := time.Unix(100, 0)
	far := testTarget{"b-mid", "b", 1, 2}
	start, middle := testTarget{"a-start", "a", 0, 1}, testTarget{"a-mid", "a", 1, 2}
	c := newTestChooser(&now, start, middle, far, otherTail, tail)
	for _, test := range []struct {
		before, path []cataloger.Stage
		want         []crossing
	}{
		{nil, pathOf(start, middle, tail), nil},
		{nil, pathOf(start, far, tail), []crossing{{"a", "b"}, {"b", "a"}}},
		{pathOf(start, middle, otherTail), pathOf(start, far, otherTail), []crossing{{"a", "b"}}},
		{pathOf(start, far, otherTail), pathOf(start, middle, otherTail), nil},
		{pathOf(start, middle, tail), pathOf(start, far, otherTail), []crossing{{"a", "b"}}},
	} {
		require.Equal(t, test.want, c.crossings(test.before, test.path), fmt.Sprint(test.path))
	}
}

// A full pipe from one data centre to another delays neither the opposite direction nor a third data centre.
func TestPipesAreIndependent(t *testing.T) {
	now := time.Unix(100, 0)
	thirdTail := testTarget{"c-tail", "c", 2, 4}
	c := newTestChooser(&now, head, tail, otherHead, otherTail, thirdTail)
	for range 60 {
		c.RecordCrossings(testDemand(), nil, pathOf(head, otherTail))
	}
	d := testDemand()
	// 16 ms of the pipe for each prompt of each of two daemons.
	require.Equal(t, 60*2*16*time.Millisecond+16*time.Millisecond, c.transferWait(d, nil, pathOf(head, otherTail)))
	require.Equal(t, 16*time.Millisecond, c.transferWait(d, nil, pathOf(otherHead, tail)))
	require.Equal(t, 16*time.Millisecond, c.transferWait(d, nil, pathOf(head, thirdTail)))
	cost := c.crossingCosts(Demand{Engine: testEngine()})
	require.Greater(t, cost("a", "b"), idleCrossingCost.Seconds())
	require.InDelta(t, idleCrossingCost.Seconds(), cost("b", "a"), 1e-9)
	c.Targets.Suspect(tail.name, 1, now)
	path, ok := c.Path(d, map[string]bool{otherHead.name: true})
	require.True(t, ok)
	require.Equal(t, pathOf(head, thirdTail), path, "the idle pipe is used")
}

// Of two equal pipelines, the one in the daemon's data centre is chosen until its load makes it cost more.
func TestFirstStagePrefersTheLocalDataCentre(t *testing.T) {
	now := time.Unix(100, 0)
	for _, own := range []cataloger.DataCentre{"a", "b"} {
		c := newTestChooser(&now, head, tail, otherHead, otherTail)
		c.DataCentre = own
		near, far := pathOf(head, tail), pathOf(otherHead, otherTail)
		if own == "b" {
			near, far = far, near
		}
		taken := map[string]int{}
		for range 250 {
			path, ok := c.Path(testDemand(), nil)
			require.True(t, ok)
			if taken[far[0].Target] == 0 && path[0].Target == far[0].Target {
				require.Greater(t, taken[near[0].Target], 10, "the far pipeline is chosen once the near one fills")
			}
			taken[path[0].Target]++
			c.Targets.Reserve(path, testDemand().Tokens)
		}
		require.Positive(t, taken[far[0].Target])
	}
}

// TestRelieveSlowStages: streams of a target that turns slow go to targets of its data centre that are not slow, and stay where others
// are slow as well or only a full pipe leads to them.
func TestRelieveSlowStages(t *testing.T) {
	const slowPace = 2
	now := time.Unix(100, 0)
	slow := map[string]bool{tail.name: true}
	c := newTestChooser(&now, head, tail, spare, otherTail)
	c.Targets.SetPace(tail.name, 12, now)
	next, ok := c.Relieve(testDemand(), pathOf(head, tail), slow, slowPace)
	require.True(t, ok)
	require.Equal(t, pathOf(head, spare), next)

	c = newTestChooser(&now, head, tail, spare)
	c.Targets.SetPace(spare.name, 12, now)
	_, ok = c.Relieve(testDemand(), pathOf(head, tail), slow, slowPace)
	require.False(t, ok, "the spare target is slow")

	c = newTestChooser(&now, head, tail, otherTail)
	relieved := 0
	for range 20 {
		if _, ok := c.Relieve(testDemand(), pathOf(head, tail), slow, slowPace); ok {
			relieved++
		}
	}
	require.Positive(t, relieved)
	require.Less(t, relieved, 20, "the pipe is full")
}
