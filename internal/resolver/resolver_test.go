package resolver

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

func member(i, dc, region int) cataloger.Member {
	return cataloger.Member{
		Name:       fmt.Sprintf("r%03d", i),
		Address:    fmt.Sprintf("r%03d:80", i),
		DataCentre: cataloger.DataCentre(fmt.Sprintf("dc%02d", dc)),
		Region:     fmt.Sprintf("region%d", region),
		State:      cataloger.StateLive,
	}
}

// fleetOf returns size members spread over data centres, with two data centres per region.
func fleetOf(size, dataCentres int) cataloger.Fleet {
	var f cataloger.Fleet
	for i := range size {
		dc := i % dataCentres
		f.Members = append(f.Members, member(i, dc, dc/2))
	}
	return f
}

func TestResolveAnswers(t *testing.T) {
	four := fleetOf(4, 3)
	state := func(f cataloger.Fleet, name string, s cataloger.State) cataloger.Fleet {
		f.Members = slices.Clone(f.Members)
		for i := range f.Members {
			if f.Members[i].Name == name {
				f.Members[i].State = s
			}
		}
		return f
	}
	tests := []struct {
		name  string
		fleet cataloger.Fleet
		query Query
		first []string
		never string
		size  int
	}{
		{"own data centre first", four, Query{DataCentre: "dc01"}, []string{"r001"}, "", 4},
		{"region next", fleetOf(6, 6), Query{DataCentre: "dc02"}, []string{"r002", "r003"}, "", 4},
		{"leaving is never returned", state(four, "r001", cataloger.StateLeaving), Query{DataCentre: "dc01"}, nil, "r001", 3},
		{"suspect is never returned", state(four, "r001", cataloger.StateSuspect), Query{DataCentre: "dc01"}, nil, "r001", 3},
		{"dead is never returned", state(four, "r001", cataloger.StateDead), Query{DataCentre: "dc01"}, nil, "r001", 3},
		{"joining is never returned", state(four, "r001", cataloger.StateJoining), Query{DataCentre: "dc01"}, nil, "r001", 3},
		{"unknown data centre falls back to the daemon's", four, Query{DataCentre: "nowhere"}, []string{"r002"}, "", 4},
		{"no data centre falls back to the daemon's", four, Query{}, []string{"r002"}, "", 4},
		{"a lost data centre falls back to its region", state(fleetOf(6, 6), "r002", cataloger.StateSuspect), Query{DataCentre: "dc02"}, []string{"r003"}, "r002", 4},
		{"an empty fleet", cataloger.Fleet{}, Query{}, nil, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entries, ttl := Resolver{DataCentre: "dc02"}.Resolve(tt.fleet, tt.query)
			require.Equal(t, DefaultTimeToLive, ttl)
			require.Len(t, entries, tt.size)
			for i, name := range tt.first {
				require.Equal(t, name, entries[i].Name)
			}
			for _, e := range entries {
				require.NotEqual(t, tt.never, e.Name)
			}
		})
	}
}

func TestResolveInvariants(t *testing.T) {
	states := []cataloger.State{cataloger.StateLive, cataloger.StateLive, cataloger.StateSuspect, cataloger.StateLeaving, cataloger.StateDead, cataloger.StateJoining}
	rapid.Check(t, func(rt *rapid.T) {
		var f cataloger.Fleet
		live, dcs, callerServed := map[string]bool{}, map[cataloger.DataCentre]bool{}, false
		q := Query{DataCentre: cataloger.DataCentre(fmt.Sprintf("dc%02d", rapid.IntRange(0, 4).Draw(rt, "caller"))), Workspace: "w", Caller: rapid.String().Draw(rt, "host")}
		for i := range rapid.IntRange(0, 12).Draw(rt, "members") {
			dc := rapid.IntRange(0, 3).Draw(rt, "dc")
			m := member(i, dc, dc/2)
			m.State = rapid.SampledFrom(states).Draw(rt, "state")
			m.Load = rapid.Float64Range(0, 1).Draw(rt, "load")
			f.Members = append(f.Members, m)
			if m.State == cataloger.StateLive {
				live[m.Name] = true
				dcs[m.DataCentre] = true
				callerServed = callerServed || m.DataCentre == q.DataCentre
			}
		}
		r := Resolver{Entries: rapid.IntRange(2, 5).Draw(rt, "entries"), TimeToLive: time.Second}
		entries, ttl := r.Resolve(f, q)
		again, _ := r.Resolve(f, q)
		require.Equal(rt, entries, again, "the same view gives the same answer")
		require.Equal(rt, time.Second, ttl)
		require.Len(rt, entries, min(r.Entries, len(live)))
		named, namedDCs := map[string]bool{}, map[cataloger.DataCentre]bool{}
		for _, e := range entries {
			require.True(rt, live[e.Name], "only live entries are returned")
			require.False(rt, named[e.Name], "no entry is returned twice")
			named[e.Name] = true
			namedDCs[e.DataCentre] = true
		}
		require.GreaterOrEqual(rt, len(namedDCs), min(2, len(dcs)), "the answer survives the loss of a data centre")
		if callerServed {
			require.Equal(rt, q.DataCentre, entries[0].DataCentre)
		}
	})
}

// firstChoices returns the first choice of each of many callers.
func firstChoices(f cataloger.Fleet, callers int) map[int]string {
	out := map[int]string{}
	for i := range callers {
		q := Query{DataCentre: cataloger.DataCentre(fmt.Sprintf("dc%02d", i%3)), Workspace: cataloger.Workspace(fmt.Sprint(i % 10)), Caller: fmt.Sprint(i)}
		entries, _ := Resolver{}.Resolve(f, q)
		out[i] = entries[0].Name
	}
	return out
}

func TestFirstChoicesAreKept(t *testing.T) {
	const callers = 3000
	complete := fleetOf(30, 3)
	before := firstChoices(complete, callers)
	without := cataloger.Fleet{Members: complete.Members[1:]}
	after := firstChoices(without, callers)
	for i := range callers {
		if before[i] != after[i] {
			require.Equal(t, "r000", before[i], "only the callers of the lost entry move")
		}
	}
	perEntry := map[string]int{}
	for _, name := range before {
		perEntry[name]++
	}
	require.Len(t, perEntry, 30)
	for name, n := range perEntry {
		require.InDelta(t, callers/30, n, 50, name)
	}
}

func TestLoadedEntriesGoBehindOthers(t *testing.T) {
	f := fleetOf(9, 3)
	before := firstChoices(f, 900)
	f.Members[0].Load = 0.5
	require.Equal(t, before, firstChoices(f, 900), "load up to the floor changes nothing")
	for i := range f.Members {
		f.Members[i].Load = 0.5
	}
	require.Equal(t, before, firstChoices(f, 900), "even load changes nothing")
	f.Members[0].Load = 0.9
	for i, name := range firstChoices(f, 900) {
		require.NotEqual(t, "r000", name)
		if before[i] != "r000" {
			require.Equal(t, before[i], name, "callers of other entries keep their first choice")
		}
	}
}

func BenchmarkResolve(b *testing.B) {
	for _, size := range []int{4, 40, 200, 400} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := fleetOf(size, min(13, max(3, size/10)))
			q := Query{DataCentre: "dc01", Workspace: "w", Caller: "10.0.0.1"}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Resolver{}.Resolve(f, q)
			}
		})
	}
}

// BenchmarkMovedFirstChoices reports the share of callers whose first choice changes with one member.
func BenchmarkMovedFirstChoices(b *testing.B) {
	const callers = 2000
	for _, size := range []int{4, 40, 200, 400} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := fleetOf(size, 3)
			var left, joined int
			for b.Loop() {
				left, joined = 0, 0
				before := firstChoices(f, callers)
				afterLeave := firstChoices(cataloger.Fleet{Members: f.Members[1:]}, callers)
				afterJoin := firstChoices(cataloger.Fleet{Members: append(slices.Clone(f.Members), member(size, 0, 0))}, callers)
				for i := range callers {
					if before[i] != afterLeave[i] {
						left++
					}
					if before[i] != afterJoin[i] {
						joined++
					}
				}
			}
			b.ReportMetric(100*float64(left)/callers, "%moved-on-leave")
			b.ReportMetric(100*float64(joined)/callers, "%moved-on-join")
			b.ReportMetric(100/float64(size), "%least")
		})
	}
}
