package chooser

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// crossingFleet returns a chooser over a model whose two halves are held in two data centres, with a pipe that takes half a second
// for a prompt.
func crossingFleet(daemons int, now *time.Time) (*Chooser, Demand) {
	a := assessor.New(func() time.Time { return *now })
	for i, dc := range []cataloger.DataCentre{"a", "b"} {
		a.Put(cataloger.Target{
			Name: fmt.Sprint("t", i), Service: "llm", Address: fmt.Sprint(i), State: cataloger.StateLive, Kind: "slow", DataCentre: dc, Incarnation: 1,
			Holdings: []cataloger.Holding{{Version: "1", FirstLayer: uint32(i) * 20, EndLayer: uint32(i)*20 + 20, Ready: true}},
		})
	}
	c := New(a, func() time.Time { return *now })
	c.Daemons = func() int { return daemons }
	c.HasFleetLoads = func() bool { return daemons <= 8 }
	e := raceEngine()
	e.LayerBytes, e.ActivationBytes, e.PipeBytesPerSecond = 1e8, 22_900, 2*700*22_900
	return c, Demand{Service: "llm", Engine: e, Tokens: 840, PrefillTokens: 700}
}

// TestPromptsThatCannotCrossInTimeAreRefused: while a pipe is full for longer than clients wait, a generation is refused at once
// and told when it has drained; one that has begun goes on.
func TestPromptsThatCannotCrossInTimeAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	c, d := crossingFleet(1, &now)
	taken := 0
	for range 20 {
		if path, ok := c.Path(d, nil); ok {
			c.RecordCrossings(d, nil, path)
			taken++
		}
	}
	require.Equal(t, 2, taken, "two prompts of half a second each before a third that would take 1.5 s")
	back := c.RetryAfter(d)
	require.Positive(t, back)
	require.LessOrEqual(t, back, 500*time.Millisecond)
	require.Contains(t, c.NoPathReason(d), "wait for 1.5s")
	begun := d
	begun.Precedence.Begun = true
	_, ok := c.Path(begun, nil)
	require.True(t, ok)
	now = now.Add(back)
	_, ok = c.Path(d, nil)
	require.True(t, ok, "after the time that it was told")
}

// TestOneCrossingIsNoFullPipe: in a large fleet one prompt of this daemon's own does not mean that each of the others sends one at
// the same moment; where a stage is lost it does.
func TestOneCrossingIsNoFullPipe(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, daemons := range []int{31, 118, 400} {
		c, d := crossingFleet(daemons, &now)
		path, ok := c.Path(d, nil)
		require.True(t, ok)
		c.RecordCrossings(d, nil, path)
		_, ok = c.Path(d, nil)
		require.True(t, ok, "%d daemons", daemons)
		c.RecordCrossings(d, path[:1], path)
		_, ok = c.Path(d, nil)
		require.False(t, ok, "%d daemons that lose a stage", daemons)
	}
}

// TestSlowPipesAreDear: a pipeline with more hops in one data centre is cheaper than one that crosses a pipe on which a prompt
// takes as long as clients wait for a first event.
func TestSlowPipesAreDear(t *testing.T) {
	now := time.Unix(1000, 0)
	c, d := crossingFleet(12, &now)
	slow := c.crossing(d.Engine)("a", "b")
	d.Engine.PipeBytesPerSecond *= 30
	fast := c.crossing(d.Engine)("a", "b")
	require.Greater(t, slow, 2*fast)
	require.InDelta(t, crossingCost.Seconds(), fast, crossingCost.Seconds()/5)
}
