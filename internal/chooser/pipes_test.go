package chooser

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// newCrossingChooser returns a chooser over a model whose halves are held in different data centres, with a pipe that takes half a
// second for a prompt.
func newCrossingChooser(daemons int, now *time.Time) (*Chooser, Demand) {
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
	e := fleetEngine()
	e.LayerBytes, e.ActivationBytes, e.PipeBytesPerSecond = 1e8, 22_900, 2*700*22_900
	return c, Demand{Service: "llm", Engine: e, Tokens: 840, PrefillTokens: 700}
}

// While a pipe is full for longer than clients wait, a new generation is refused immediately, with the time until the pipe has
// drained. One that has begun continues.
func TestPathRefusesPromptsThatWaitTooLongForAPipe(t *testing.T) {
	now := time.Unix(1000, 0)
	c, d := newCrossingChooser(1, &now)
	accepted := 0
	for range 20 {
		if path, ok := c.Path(d, nil); ok {
			c.RecordCrossings(d, nil, path)
			accepted++
		}
	}
	require.Equal(t, 2, accepted, "two prompts of half a second each before a third that would take 1.5 s")
	retryAfter := c.RetryAfter(d)
	require.Positive(t, retryAfter)
	require.LessOrEqual(t, retryAfter, 500*time.Millisecond)
	require.Contains(t, c.NoPathReason(d), "wait for 1.5s")
	begun := d
	begun.Precedence.Begun = true
	_, ok := c.Path(begun, nil)
	require.True(t, ok)
	now = now.Add(retryAfter)
	_, ok = c.Path(d, nil)
	require.True(t, ok, "after the announced time")
}

// In a large fleet one prompt of this daemon does not mean that every other daemon sends one at the same time, unless a stage was
// lost.
func TestOneCrossingDoesNotFillThePipeOfALargeFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, daemons := range []int{31, 118, 400} {
		c, d := newCrossingChooser(daemons, &now)
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

// A crossing costs more over a pipe on which a prompt takes as long as clients wait for a first event, so that a pipeline with more
// hops inside one data centre is cheaper.
func TestSlowPipesCostMore(t *testing.T) {
	now := time.Unix(1000, 0)
	c, d := newCrossingChooser(12, &now)
	slow := c.crossingCosts(d)("a", "b")
	d.Engine.PipeBytesPerSecond *= 30
	fast := c.crossingCosts(d)("a", "b")
	require.Greater(t, slow, 2*fast)
	require.InDelta(t, idleCrossingCost.Seconds(), fast, idleCrossingCost.Seconds()/5)
}
