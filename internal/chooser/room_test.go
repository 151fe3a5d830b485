package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
)

// contendedDemand is a demand of a service whose daemons share their loads and whose streams compete by priority.
func contendedDemand(ahead float64) Demand {
	e := testEngine()
	e.StepsPerPass, e.SequenceTime, e.ContextTime, e.UsualPrompt, e.UsualAnswer = 5, 5*time.Microsecond, 6*time.Microsecond, 800, 200
	return Demand{
		Service: "llm", Engine: e, Tokens: 1000, PrefillTokens: 800, SharesLoads: true, GapObjective: 250 * time.Millisecond,
		Precedence: Precedence{Contended: true, Ahead: ahead},
	}
}

// The streams that a target runs keep their objective for pauses: a slower target gets fewer, and even the slowest some.
func TestPaceBoundsTheStreamsOfATarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := contendedDemand(0)
		pace := rapid.Float64Range(0.5, 60).Draw(rt, "pace of the kind")
		d.Engine.Kinds = map[string]matcher.Accelerator{"card": {MemoryBytes: 40e9, Pace: pace}}
		v := &assessor.View{Target: cataloger.Target{Kind: "card"}, Pace: rapid.Float64Range(0.5, 10).Draw(rt, "pace")}
		const memory, layers = 100e6, 4
		room := d.paceCapacity(v, memory, layers)
		require.GreaterOrEqual(rt, room, minPaceShare*memory)
		require.LessOrEqual(rt, room, memory)
		if room > minPaceShare*memory {
			streams := room / layers / 900
			pass := 5 * (d.Engine.StepTime + time.Duration(streams*float64(d.Engine.SequenceTime+d.Engine.ContextTime*9/10))).Seconds() * pace * max(v.Pace, 1)
			require.LessOrEqual(rt, pass*passWait, d.GapObjective.Seconds()*gapShare*1.001)
		}
		slower := *v
		slower.Pace = v.Pace + 1
		require.LessOrEqual(rt, d.paceCapacity(&slower, memory, layers), room)
		d.SharesLoads = false
		require.Equal(rt, memory, d.paceCapacity(v, memory, layers), "other services are as before")
	})
}

// However requests arrive at the gateways of a fleet, what all of them send over a pipe stays under their part of it and a few prompts
// each, with no message between them.
func TestGatewaysTogetherDoNotFillAPipe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		gateways := rapid.IntRange(1, 30).Draw(rt, "gateways")
		cr := crossing{"a", "b"}
		path := []cataloger.Stage{{Target: "t0", EndLayer: 20}, {Target: "t1", FirstLayer: 20, EndLayer: 40}}
		var choosers []*Chooser
		var d Demand
		for range gateways {
			var c *Chooser
			c, d = newCrossingChooser(gateways, &now)
			c.HasFleetLoads, c.HasTally = func() bool { return false }, func() bool { return true }
			choosers = append(choosers, c)
		}
		d.Engine.UsualPrompt, d.SharesLoads = 700, true
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed")))
		busy := rapid.IntRange(1, gateways).Draw(rt, "busy gateways")
		sent := 0.0
		const seconds = 4
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			c := choosers[random.IntN(busy)]
			if c.mayCross(cr, d) {
				c.RecordCrossings(d, nil, path)
				sent += d.PrefillTokens * d.Engine.ActivationBytes
			}
		}
		prompt := d.PrefillTokens * d.Engine.ActivationBytes
		require.LessOrEqual(rt, sent, maxPipeUse*d.Engine.PipeBytesPerSecond*seconds+float64(gateways)*(maxPipePrompts+1)*prompt)
	})
}

// In a lasting burst the less urgent are told to return later than the urgent, and nobody has to wait longer than two answers take.
func TestUrgentRequestsReturnFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestChooser(&now, head, tail)
	c.HasTally = func() bool { return true }
	c.AnswerTime = func() time.Duration { return 4 * time.Second }
	loads := map[uint32]float64{}
	for _, v := range c.Targets.Service("llm") {
		loads[assessor.LoadKey(v.Name)] = 1e12
	}
	c.Targets.SetFleetLoads(loads)
	last := time.Duration(-1)
	for _, ahead := range []float64{0, 0.4, 0.9} {
		wait := c.TimeToRoom(contendedDemand(ahead))
		require.Greater(t, wait, last)
		require.LessOrEqual(t, wait, 8*time.Second)
		last = wait
	}
	ordinary := contendedDemand(0.9)
	ordinary.Precedence.Contended = false
	require.Zero(t, c.TimeToRoom(ordinary))
}

// Where the sums over the fleet say that all targets are full, a stream is refused; without them the targets decide.
func TestFullFleetRefusesAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newTestChooser(&now, head, tail)
	c.HasFleetLoads = func() bool { return false }
	known := true
	c.HasTally = func() bool { return known }
	loads := map[uint32]float64{}
	for _, v := range c.Targets.Service("llm") {
		loads[assessor.LoadKey(v.Name)] = 0.8 * contendedDemand(0).room(&v, 2)
	}
	c.Targets.SetFleetLoads(loads)
	_, ok := c.Path(contendedDemand(0), nil)
	require.True(t, ok, "there is room for the most urgent")
	_, ok = c.Path(contendedDemand(1), nil)
	require.False(t, ok, "the rest is left to more urgent ones")
	require.Contains(t, c.NoPathReason(contendedDemand(1)), "left to more urgent requests")
	known = false
	now = now.Add(10 * time.Second)
	_, ok = c.Path(contendedDemand(1), nil)
	require.True(t, ok, "nothing is refused by loads that are not known")
}
