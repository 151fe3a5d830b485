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

// held is a target of a data centre with its layers.
type held struct {
	name       string
	dataCentre cataloger.DataCentre
	first, end uint32
}

func newTestChooser(now *time.Time, targets ...held) *Chooser {
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

func pathOf(stages ...held) []cataloger.Stage {
	var out []cataloger.Stage
	for _, h := range stages {
		out = append(out, cataloger.Stage{Target: h.name, Address: h.name, FirstLayer: h.first, EndLayer: h.end})
	}
	return out
}

var (
	head      = held{"a-head", "a", 0, 2}
	tail      = held{"a-tail", "a", 2, 4}
	spare     = held{"a-spare", "a", 2, 4}
	otherHead = held{"b-head", "b", 0, 2}
	otherTail = held{"b-tail", "b", 2, 4}
)

// TestStageLostUnderLoadWithoutCopyInItsDataCentre: the first of many streams are carried over to another data centre; once
// these fill the pipe, the others are read anew there, and those that may not wait rather than make all wait.
func TestStageLostUnderLoadWithoutCopyInItsDataCentre(t *testing.T) {
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
	// Each stream takes 20 ms of the pipe, and the other daemon is taken to carry as many.
	require.Equal(t, map[Repair]int{RepairReplace: 3, RepairMove: 17}, counts)
	clear(counts)
	for range 100 {
		repair(false)
	}
	require.Equal(t, map[Repair]int{RepairReplace: 27, RepairWait: 73}, counts, "the pipe is not filled for longer than clients wait")
	now = now.Add(2 * time.Second)
	require.Equal(t, RepairReplace, repair(true), "the pipe has carried what waited")
}

func TestCopyInTheDataCentreIsAlwaysTaken(t *testing.T) {
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

// TestOnlyNewStagesRead: stages that stay keep what they have read, wherever they are.
func TestOnlyNewStagesRead(t *testing.T) {
	now := time.Unix(100, 0)
	far := held{"b-mid", "b", 1, 2}
	start, middle := held{"a-start", "a", 0, 1}, held{"a-mid", "a", 1, 2}
	c := newTestChooser(&now, start, middle, far, otherTail, tail)
	for _, test := range []struct {
		before, path []cataloger.Stage
		want         []hop
	}{
		{nil, pathOf(start, middle, tail), nil},
		{nil, pathOf(start, far, tail), []hop{{"a", "b"}, {"b", "a"}}},
		{pathOf(start, middle, otherTail), pathOf(start, far, otherTail), []hop{{"a", "b"}}},
		{pathOf(start, far, otherTail), pathOf(start, middle, otherTail), nil},
		{pathOf(start, middle, tail), pathOf(start, far, otherTail), []hop{{"a", "b"}}},
	} {
		require.Equal(t, test.want, c.crossings(test.before, test.path), fmt.Sprint(test.path))
	}
}

// TestPipesOfOtherHopsAreFree: a full pipe from one data centre to another holds up neither the way back nor a third one.
func TestPipesOfOtherHopsAreFree(t *testing.T) {
	now := time.Unix(100, 0)
	thirdTail := held{"c-tail", "c", 2, 4}
	c := newTestChooser(&now, head, tail, otherHead, otherTail, thirdTail)
	for range 60 {
		c.RecordCrossings(testDemand(), nil, pathOf(head, otherTail))
	}
	d := testDemand()
	// 16 ms of the pipe for each prompt of each of two daemons.
	require.Equal(t, 60*2*16*time.Millisecond+16*time.Millisecond, c.transfer(d, nil, pathOf(head, otherTail)))
	require.Equal(t, 16*time.Millisecond, c.transfer(d, nil, pathOf(otherHead, tail)))
	require.Equal(t, 16*time.Millisecond, c.transfer(d, nil, pathOf(head, thirdTail)))
	cost := c.crossing(testEngine())
	require.Greater(t, cost("a", "b"), crossingCost.Seconds())
	require.InDelta(t, crossingCost.Seconds(), cost("b", "a"), 1e-9)
	c.Targets.Suspect(tail.name, 1, now)
	path, ok := c.Path(d, map[string]bool{otherHead.name: true})
	require.True(t, ok)
	require.Equal(t, pathOf(head, thirdTail), path, "the empty pipe is taken")
}

// TestFirstStageInTheOwnDataCentre: of two pipelines that are as good, the one in the daemon's data centre is taken, until it
// costs more.
func TestFirstStageInTheOwnDataCentre(t *testing.T) {
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
				require.Greater(t, taken[near[0].Target], 10, "the far pipeline is taken as the near one fills")
			}
			taken[path[0].Target]++
			c.Targets.Reserve(path, testDemand().Tokens)
		}
		require.Positive(t, taken[far[0].Target])
	}
}
