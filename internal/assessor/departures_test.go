package assessor

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	flag.Parse()
	os.Exit(m.Run())
}

func TestDeparture(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	require.True(t, a.RecordDeparture("x", 1, a.Now()))
	require.False(t, a.RecordDeparture("x", 1, a.Now()), "already recorded")
	require.Len(t, a.Departures(), 1)
	advance(time.Second)
	a.Put(liveTarget("x", 1))
	require.False(t, view(t, a, "x").Usable(), "a list that lags still names it as live")
	require.Equal(t, time.Second, view(t, a, "x").SinceLeaving, "since the first announcement")

	a.Remove("x")
	advance(2 * removedRetention)
	a.Put(liveTarget("y", 1))
	a.Remove("y")
	_, tracked := a.Get("x")
	require.False(t, tracked)
	a.Put(liveTarget("x", 1))
	require.False(t, view(t, a, "x").Usable(), "listed again after a store outage")
	require.Empty(t, a.Departures(), "peers have received it")

	a.Put(liveTarget("x", 2))
	require.True(t, view(t, a, "x").Usable(), "a later incarnation does not leave")
	require.False(t, a.RecordDeparture("x", 1, a.Now()), "a peer repeats the departure of an earlier incarnation")
	require.True(t, view(t, a, "x").Usable())
}

// A peer reports the departure of a target that this daemon's list does not name yet.
func TestDepartureBeforeListing(t *testing.T) {
	a, _ := newTestAssessor()
	require.True(t, a.RecordDeparture("x", 7, a.Now()))
	a.Put(liveTarget("x", 7))
	require.False(t, view(t, a, "x").Usable())
	other := liveTarget("z", 8)
	other.Address = "x:80"
	a.Put(other)
	require.True(t, view(t, a, "z").Usable(), "another target has the address now")
}

func TestPause(t *testing.T) {
	a, advance := newTestAssessor()
	a.Put(liveTarget("x", 1))
	a.Put(liveTarget("y", 1))
	a.RecordPause("x", 2, time.Second)
	require.Zero(t, view(t, a, "x").Paused, "another incarnation asked")
	a.RecordPause("x", 1, 1500*time.Millisecond)
	a.RecordPause("x", 1, time.Second)
	require.Equal(t, 1500*time.Millisecond, view(t, a, "x").Paused, "the longer pause holds")
	require.True(t, view(t, a, "x").Refusing)
	require.Zero(t, a.PauseRemaining("llm"), "another target accepts work")
	a.RecordPause("y", 1, 2500*time.Millisecond)
	require.Equal(t, 1500*time.Millisecond, a.PauseRemaining("llm"))
	advance(500 * time.Millisecond)
	a.Put(liveTarget("x", 1))
	require.Equal(t, time.Second, view(t, a, "x").Paused, "a listing does not end the pause")
	a.RecordAccepted([]cataloger.Stage{{Target: "x"}})
	require.True(t, view(t, a, "x").Refusing, "nor does an accepted request that was in progress")
	advance(time.Second)
	require.False(t, view(t, a, "x").Refusing)
	a.RecordPause("x", 1, 1000*time.Hour)
	require.Equal(t, MaxPause, view(t, a, "x").Paused)
	a.Put(liveTarget("x", 2))
	require.Zero(t, view(t, a, "x").Paused, "a later incarnation did not ask")
}

// For any order of messages from the list and the peers, an incarnation that announced its departure is never used again, and no
// other one is kept from use.
func TestDeparturesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, advance := newTestAssessor()
		listed, left := map[string]uint64{}, map[string]uint64{}
		name := func() string { return fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				n := name()
				listed[n] = max(listed[n], uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
				a.Put(liveTarget(n, listed[n]))
			},
			"leave": func(t *rapid.T) {
				n, incarnation := name(), uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
				a.RecordDeparture(n, incarnation, a.Now())
				if incarnation >= listed[n] {
					left[n] = max(left[n], incarnation)
				}
			},
			"remove": func(*rapid.T) { a.Remove(name()) },
			"wait": func(t *rapid.T) {
				advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, v := range a.Service("llm") {
					require.Equal(t, left[v.Name] < v.Incarnation, v.Usable(), "%s %d", v.Name, v.Incarnation)
				}
			},
		})
	})
}

func TestDeparturesAreBounded(t *testing.T) {
	a, advance := newTestAssessor()
	for i := range maxDepartures + 10 {
		a.RecordDeparture(fmt.Sprint(i), 1, a.Now())
		advance(time.Millisecond)
	}
	require.Len(t, a.departures, maxDepartures)
	require.NotContains(t, a.departures, "0")
	advance(departureRetention)
	a.RecordDeparture("last", 1, a.Now())
	require.Len(t, a.departures, 1, "all older ones are dropped")
}
