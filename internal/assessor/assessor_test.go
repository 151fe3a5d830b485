package assessor

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func newTestAssessor() (*Assessor, func(time.Duration)) {
	now := time.Unix(1000, 0)
	a := New(func() time.Time { return now })
	return a, func(d time.Duration) { now = now.Add(d) }
}

func liveTarget(name string, incarnation uint64) cataloger.Target {
	return cataloger.Target{Name: name, Service: "llm", Address: name + ":80", State: cataloger.StateLive, Incarnation: incarnation}
}

func view(t *testing.T, a *Assessor, name string) View {
	v, ok := a.Get(name)
	require.True(t, ok)
	return v
}

func TestSuspicionOfAnIncarnation(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	require.False(t, a.Suspect("x", 2, a.Now()), "another incarnation")
	require.True(t, a.Suspect("x", 1, a.Now()))
	require.False(t, a.Suspect("x", 1, a.Now()), "already suspected")
	require.False(t, view(t, a, "x").Usable())
	require.Len(t, a.Suspicions(), 1)
	a.Put(liveTarget("x", 2))
	require.True(t, view(t, a, "x").Usable(), "a new incarnation is not suspected")
	require.True(t, a.Suspect("x", 2, a.Now()))
	advance(SuspicionTime)
	require.True(t, view(t, a, "x").Usable(), "still listed after that time, so it is alive")
}

func TestClearSuspicion(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	lost := a.Now()
	a.Suspect("x", 1, lost)
	advance(100 * time.Millisecond)
	require.False(t, a.ClearSuspicion("x", lost), "an earlier answer proves nothing")
	require.True(t, a.ClearSuspicion("x", a.Now()))
	require.True(t, view(t, a, "x").Usable())
	require.False(t, a.Suspect("x", 1, lost.Add(50*time.Millisecond)), "a peer repeats an older suspicion")
	advance(time.Second)
	require.True(t, a.Suspect("x", 1, a.Now()))
}

// TestRelayedSuspicionEnds guards against a storm of messages: the age in a message does not include its way, so a suspicion
// comes back slightly younger than it was sent, and must not be news once it has ended here, or daemons relay it without end.
func TestRelayedSuspicionEnds(t *testing.T) {
	const delay = 3 * time.Millisecond
	now := time.Unix(1000, 0)
	a := New(func() time.Time { return now })
	a.Put(cataloger.Target{Name: "x", Service: "llm", Address: "x:1", State: cataloger.StateLive, Incarnation: 1})
	lost := now
	require.True(t, a.Suspect("x", 1, lost))
	now = lost.Add(SuspicionTime)
	require.False(t, a.Suspect("x", 1, lost.Add(delay)), "a peer, on which it ends later")
	require.Empty(t, a.Suspicions())
	v, _ := a.Get("x")
	require.False(t, v.Unreachable)
	require.True(t, a.Suspect("x", 1, now), "a later suspicion is news")
}

func TestOneUnansweredRequestIsNoSuspicion(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	require.False(t, a.RecordUnanswered("x", 1))
	require.True(t, view(t, a, "x").Refusing, "it is skipped for a while")
	advance(time.Second)
	require.True(t, a.RecordUnanswered("x", 1))
	a.RecordAccepted([]cataloger.Stage{{Target: "x"}})
	require.False(t, a.RecordUnanswered("x", 1), "an accepted request between resets the first")
	advance(3 * time.Second)
	require.False(t, a.RecordUnanswered("x", 1), "two failures far apart")
}

func TestRefusalsBackOff(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	wait := RefusalBackoff
	for range 5 {
		a.RecordRefusal("x")
		a.RecordRefusal("x")
		advance(wait - time.Millisecond)
		require.True(t, view(t, a, "x").Refusing)
		advance(time.Millisecond)
		require.False(t, view(t, a, "x").Refusing)
		wait = min(2*wait, maxRefusalBackoff)
	}
	a.RecordAccepted([]cataloger.Stage{{Target: "x"}})
	a.RecordRefusal("x")
	advance(RefusalBackoff)
	require.False(t, view(t, a, "x").Refusing, "an accepted request resets the backoff")
}

func TestFaultsDecay(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	for range 10 {
		a.RecordAnswer("x", false)
	}
	high := view(t, a, "x").Faults
	require.Greater(t, high, 0.8)
	a.RecordAnswer("x", true)
	require.Less(t, view(t, a, "x").Faults, high)
	advance(4 * faultDecayTime)
	require.Less(t, view(t, a, "x").Faults, 0.05)
}

func TestReservationsEndWithTheirIncarnation(t *testing.T) {
	a, _ := newTestAssessor()
	a.Put(liveTarget("x", 1))
	path := []cataloger.Stage{{Target: "x", FirstLayer: 2, EndLayer: 5}}
	release := a.Reserve(path, 100)
	require.InDelta(t, 300, view(t, a, "x").TokenLayers, 1e-9)
	a.Put(liveTarget("x", 2))
	require.Zero(t, view(t, a, "x").TokenLayers, "a new incarnation has no load")
	again := a.Reserve(path, 10)
	release()
	release()
	require.InDelta(t, 30, view(t, a, "x").TokenLayers, 1e-9)
	again()
	require.Zero(t, view(t, a, "x").Requests)
}

func TestPeerLoadsExpire(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	a.SetPeerLoads("p", map[uint32]float64{LoadKey("x"): 50})
	require.InDelta(t, 50, view(t, a, "x").TokenLayers, 1e-9)
	advance(peerLoadRetention)
	require.Zero(t, view(t, a, "x").TokenLayers)
}

func TestRemovedTargetIsRememberedAsLeaving(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	a.Remove("x")
	require.Empty(t, a.Service("llm"))
	require.False(t, view(t, a, "x").Usable())
	v, ok := a.ByAddress("x:80")
	require.True(t, ok)
	require.Equal(t, "x", v.Name)
	a.Put(liveTarget("y", 1))
	advance(removedRetention + time.Second)
	a.Remove("y")
	_, ok = a.Get("x")
	require.False(t, ok)
}

func TestPaceExpires(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	require.InDelta(t, 1, view(t, a, "x").Pace, 0)
	a.SetPace("x", 3, a.Now())
	require.InDelta(t, 3, view(t, a, "x").Pace, 0)
	require.Equal(t, []Pace{{Target: "x", Pace: 3, At: a.Now()}}, a.Paces())
	a.SetPace("x", 9, a.Now().Add(-time.Second))
	require.InDelta(t, 3, view(t, a, "x").Pace, 0, "an older report changes nothing")
	advance(paceNewsTime)
	require.Empty(t, a.Paces(), "an old report is not propagated")
	advance(paceRetention)
	require.InDelta(t, 1, view(t, a, "x").Pace, 0)
}

func TestStaleListingIsSkippedUntilListedAgain(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	a.RecordStaleListing("x")
	advance(maxRefusalBackoff)
	require.True(t, view(t, a, "x").Refusing)
	a.Put(liveTarget("x", 1))
	require.False(t, view(t, a, "x").Refusing)
	a.RecordStaleListing("x")
	advance(staleListingBackoff)
	require.False(t, view(t, a, "x").Refusing)
}

func TestSinceUnload(t *testing.T) {
	now := time.Unix(100, 0)
	a := New(func() time.Time { return now })
	put := func(incarnation, first, end uint32) View {
		target := cataloger.Target{Name: "i-1", Address: "10.0.0.1:80", State: cataloger.StateLive, Incarnation: uint64(incarnation)}
		if end > first {
			target.Holdings = []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}}
		}
		a.Put(target)
		now = now.Add(time.Second)
		v, ok := a.Get("i-1")
		require.True(t, ok)
		return v
	}
	require.Zero(t, put(1, 0, 0).SinceUnload)
	require.Zero(t, put(1, 10, 20).SinceUnload, "the first layers")
	require.Zero(t, put(1, 10, 20).SinceUnload)
	require.Zero(t, put(1, 8, 22).SinceUnload, "more than before")
	require.Equal(t, time.Second, put(1, 0, 0).SinceUnload)
	require.Equal(t, 2*time.Second, put(1, 30, 40).SinceUnload, "others are loaded")
	require.Equal(t, time.Second, put(1, 35, 45).SinceUnload)
	require.Zero(t, put(2, 0, 0).SinceUnload, "a new incarnation has unloaded nothing")
}

// A target that ended is still listed beside the one that has its address now.
func TestReusedAddress(t *testing.T) {
	put := func(a *Assessor, name string, incarnation uint64, address string) {
		a.Put(cataloger.Target{Name: name, Service: "llm", Address: address, State: cataloger.StateLive, Incarnation: incarnation})
	}
	usable := func(a *Assessor) []string {
		var out []string
		for _, v := range a.Service("llm") {
			if v.Usable() {
				out = append(out, v.Name)
			}
		}
		return out
	}
	at := func(a *Assessor, address string) string {
		v, _ := a.ByAddress(address)
		return v.Name
	}
	for _, order := range [][]string{{"old", "new"}, {"new", "old"}} {
		now := time.Unix(100, 0)
		a := New(func() time.Time { return now })
		incarnations := map[string]uint64{"old": 5, "new": 9}
		put(a, "other", 1, "10.0.0.2:80")
		for range 2 {
			for _, name := range order {
				put(a, name, incarnations[name], "10.0.0.1:80")
			}
		}
		require.Equal(t, []string{"new", "other"}, usable(a), order)
		require.Equal(t, "new", at(a, "10.0.0.1:80"))
		a.Remove("old")
		require.Equal(t, "new", at(a, "10.0.0.1:80"))
		require.Equal(t, []string{"new", "other"}, usable(a))

		put(a, "old", 5, "10.0.0.5:80")
		require.Equal(t, []string{"new", "old", "other"}, usable(a), "it has moved")
		require.Equal(t, "new", at(a, "10.0.0.1:80"))
		put(a, "old", 12, "10.0.0.3:80")
		require.Equal(t, []string{"new", "old", "other"}, usable(a), "it has started again elsewhere")
		put(a, "new", 9, "10.0.0.4:80")
		require.Equal(t, []string{"new", "old", "other"}, usable(a))
		require.Empty(t, at(a, "10.0.0.1:80"))
	}
}

// TestHoldingTargetsAreDrawnFromAll: in a large fleet, a choice looks at some of the targets that hold layers.
func TestHoldingTargetsAreDrawnFromAll(t *testing.T) {
	a := New(time.Now)
	put := func(i int, end uint32) {
		a.Put(cataloger.Target{
			Name: fmt.Sprintf("t%03d", i), Service: "llm", State: cataloger.StateLive, Incarnation: 1,
			Holdings: []cataloger.Holding{{FirstLayer: 0, EndLayer: end, Ready: true}},
		})
	}
	for i := range 40 {
		put(i, uint32(i%2))
	}
	require.Empty(t, a.AppendHolding(nil, "llm", 20), "all of them are read with Service")
	seen := map[string]bool{}
	for range 200 {
		drawn := a.AppendHolding(nil, "llm", 7)
		require.Len(t, drawn, 7)
		for i, v := range drawn {
			require.True(t, i == 0 || v.Name > drawn[i-1].Name, "sorted, and none twice")
			seen[v.Name] = true
		}
	}
	require.Len(t, seen, 20)
	put(0, 3)
	put(1, 0)
	a.Remove("t003")
	for range 200 {
		for _, v := range a.AppendHolding(nil, "llm", 18) {
			require.NotContains(t, []string{"t001", "t003"}, v.Name)
		}
	}
	require.Len(t, a.AppendHolding(nil, "llm", 18), 18)
	require.Len(t, a.Service("llm"), 39)
}
