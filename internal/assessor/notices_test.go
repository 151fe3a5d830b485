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

func TestTargetThatSaidItLeaves(t *testing.T) {
	a, pass := testAssessor()
	a.Put(engine("x", 1))
	require.True(t, a.RecordDeparture("x", 1, a.Now()))
	require.False(t, a.RecordDeparture("x", 1, a.Now()), "no news")
	require.Len(t, a.Departures(), 1)
	pass(time.Second)
	a.Put(engine("x", 1))
	require.False(t, view(t, a, "x").Usable(), "a list that lags still names it as live")
	require.Equal(t, time.Second, view(t, a, "x").SinceLeaving, "since it said so first")

	a.Remove("x")
	pass(2 * removedTime)
	a.Put(engine("y", 1))
	a.Remove("y")
	_, known := a.Get("x")
	require.False(t, known)
	a.Put(engine("x", 1))
	require.False(t, view(t, a, "x").Usable(), "listed again after the store was away")
	require.Empty(t, a.Departures(), "peers have heard of it")

	a.Put(engine("x", 2))
	require.True(t, view(t, a, "x").Usable(), "a later start does not leave")
	require.False(t, a.RecordDeparture("x", 1, a.Now()), "a peer repeats what an earlier start said")
	require.True(t, view(t, a, "x").Usable())
}

// TestDepartureBeforeTheList: a peer tells of a target that this daemon's list does not name yet.
func TestDepartureBeforeTheList(t *testing.T) {
	a, _ := testAssessor()
	require.True(t, a.RecordDeparture("x", 7, a.Now()))
	a.Put(engine("x", 7))
	require.False(t, view(t, a, "x").Usable())
	other := engine("z", 8)
	other.Address = "x:80"
	a.Put(other)
	require.True(t, view(t, a, "z").Usable(), "another target has the address now")
}

func TestPause(t *testing.T) {
	a, pass := testAssessor()
	a.Put(engine("x", 1))
	a.Put(engine("y", 1))
	a.RecordPause("x", 2, time.Second)
	require.Zero(t, view(t, a, "x").Paused, "another start asked")
	a.RecordPause("x", 1, 1500*time.Millisecond)
	a.RecordPause("x", 1, time.Second)
	require.Equal(t, 1500*time.Millisecond, view(t, a, "x").Paused, "the longer one holds")
	require.True(t, view(t, a, "x").Refusing)
	require.Zero(t, a.PauseRemaining("llm"), "another one takes work")
	a.RecordPause("y", 1, 2500*time.Millisecond)
	require.Equal(t, 1500*time.Millisecond, a.PauseRemaining("llm"))
	pass(500 * time.Millisecond)
	a.Put(engine("x", 1))
	require.Equal(t, time.Second, view(t, a, "x").Paused, "a list does not end it")
	a.RecordAccepted([]cataloger.Stage{{Target: "x"}})
	require.True(t, view(t, a, "x").Refusing, "nor does an answer to what was under way")
	pass(time.Second)
	require.False(t, view(t, a, "x").Refusing)
	a.RecordPause("x", 1, 1000*time.Hour)
	require.Equal(t, MaxPause, view(t, a, "x").Paused)
	a.Put(engine("x", 2))
	require.Zero(t, view(t, a, "x").Paused, "a later start did not ask")
}

// TestDeparturesAgainstOracle: whatever the list and the peers say in whatever order, no incarnation that said it leaves is used
// again, and no other one is kept from use.
func TestDeparturesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, pass := testAssessor()
		listed, left := map[string]uint64{}, map[string]uint64{}
		name := func() string { return fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				n := name()
				listed[n] = max(listed[n], uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")))
				a.Put(engine(n, listed[n]))
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
				pass(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, v := range a.Service("llm") {
					require.Equal(t, left[v.Name] < v.Incarnation, v.Usable(), "%s %d", v.Name, v.Incarnation)
				}
			},
		})
	})
}

func TestDepartedIsBounded(t *testing.T) {
	a, pass := testAssessor()
	for i := range maxDeparted + 10 {
		a.RecordDeparture(fmt.Sprint(i), 1, a.Now())
		pass(time.Millisecond)
	}
	require.Len(t, a.departed, maxDeparted)
	require.NotContains(t, a.departed, "0")
	pass(departedTime)
	a.RecordDeparture("last", 1, a.Now())
	require.Len(t, a.departed, 1, "older ones are forgotten together")
}
