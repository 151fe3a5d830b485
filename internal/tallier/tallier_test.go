package tallier

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

// fleet is a fleet of talliers whose reports are lost, delayed or delivered at once.
type fleet struct {
	members  []cataloger.Member
	talliers map[string]*Tallier
	own      map[string]Counts
	others   map[string]Counts
	sent     map[string]int
	keys     int
	cut      map[string]bool
}

func newFleet(dataCentres, size int) *fleet {
	f := &fleet{
		talliers: map[string]*Tallier{}, own: map[string]Counts{}, others: map[string]Counts{}, sent: map[string]int{}, cut: map[string]bool{},
	}
	for i := range size {
		m := cataloger.Member{Name: fmt.Sprintf("g%03d", i), DataCentre: cataloger.DataCentre(fmt.Sprint("dc", i%dataCentres))}
		f.members = append(f.members, m)
		t := New(timer.System{})
		t.Self, t.DataCentre, t.Epoch = m.Name, m.DataCentre, 1
		t.Enabled = func() bool { return true }
		t.Members = func() []cataloger.Member { return f.members }
		t.Own = func() Counts { return f.own[m.Name] }
		t.Apply = func(others Counts) { f.others[m.Name] = others }
		t.Send = func(to cataloger.Member, r Report) {
			f.sent[m.Name]++
			f.keys = max(f.keys, len(r.Counts))
			if !f.cut[m.Name] && !f.cut[to.Name] {
				f.talliers[to.Name].Handle(m, r)
			}
		}
		f.talliers[m.Name] = t
	}
	return f
}

// rounds lets all talliers report and sum a number of times.
func (f *fleet) rounds(n int) {
	for range n {
		time.Sleep(Interval)
		for _, m := range f.members {
			if !f.cut[m.Name] {
				f.talliers[m.Name].round()
			}
		}
	}
}

// leave removes a daemon from the membership that all see.
func (f *fleet) leave(name string) {
	var left []cataloger.Member
	for _, m := range f.members {
		if m.Name != name {
			left = append(left, m)
		}
	}
	f.members = left
	for _, t := range f.talliers {
		t.Forget(name)
	}
}

func (f *fleet) collector(dc cataloger.DataCentre) string { return collectorsOf(f.members)[dc].Name }

// In a fleet of any shape whose loads stand still, each daemon knows the exact sum over the others within three rounds.
func TestSumsOfTheOthers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dataCentres, size := rapid.IntRange(1, 5).Draw(rt, "data centres"), rapid.IntRange(1, 40).Draw(rt, "daemons")
		synctest.Test(t, func(*testing.T) {
			f := newFleet(dataCentres, size)
			total := Counts{}
			for i, m := range f.members {
				f.own[m.Name] = Counts{uint32(i % 7): uint32(i + 1), 99: 5}
				total.add(f.own[m.Name])
			}
			f.rounds(3)
			for _, m := range f.members {
				for key, n := range total {
					require.Equal(t, n-f.own[m.Name][key], f.others[m.Name][key], "%s of %d, key %d", m.Name, size, key)
				}
				require.Equal(t, size, f.talliers[m.Name].Summed())
			}
		})
	})
}

// The messages of a daemon do not grow with the fleet but for the collectors, and these have a bounded number of keys.
func TestMessagesOfLargeFleets(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(13, 400)
		for _, m := range f.members {
			f.own[m.Name] = Counts{}
			for key := range uint32(1000) {
				f.own[m.Name][key] = key
			}
		}
		f.rounds(10)
		collectors := collectorsOf(f.members)
		for _, m := range f.members {
			if collectors[m.DataCentre].Name == m.Name {
				require.LessOrEqual(t, f.sent[m.Name], 10*(400/13+13))
				continue
			}
			require.Equal(t, 10, f.sent[m.Name])
		}
		require.LessOrEqual(t, f.keys, MaxKeys)
		interval := f.talliers["g000"].interval()
		require.LessOrEqual(t, float64(31*MaxKeys*keyBytes)/interval.Seconds(), maxCollectorBytes+1.0)
		require.Less(t, interval, retention/2)
	})
}

// A collector that vanishes is replaced; until then the others have no recent sum, and what it had heard is not counted twice.
func TestCollectorVanishes(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(2, 12)
		for _, m := range f.members {
			f.own[m.Name] = Counts{1: 10}
		}
		f.rounds(3)
		lost := f.collector("dc0")
		f.cut[lost] = true
		f.rounds(int(retention/Interval) + 1)
		for _, m := range f.members {
			if m.DataCentre == "dc0" {
				require.False(t, f.talliers[m.Name].Fresh(), m.Name)
			}
		}
		f.leave(lost)
		f.rounds(3)
		for _, m := range f.members {
			require.True(t, f.talliers[m.Name].Fresh(), m.Name)
			require.EqualValues(t, 100, f.others[m.Name][1], m.Name)
		}
	})
}

// A data centre that is cut off counts for as long as its last sum is recent, and again once it is back.
func TestDataCentreIsCutOff(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(2, 8)
		for _, m := range f.members {
			f.own[m.Name] = Counts{1: 10}
		}
		f.rounds(3)
		for _, m := range f.members {
			f.cut[m.Name] = m.DataCentre == "dc1"
		}
		f.rounds(2)
		near := f.collector("dc0")
		require.EqualValues(t, 70, f.others[near][1])
		f.rounds(int(retention/Interval) + 1)
		require.EqualValues(t, 30, f.others[near][1])
		clear(f.cut)
		f.rounds(3)
		require.EqualValues(t, 70, f.others[near][1])
	})
}

// Reports that arrive out of order, or from an earlier process of their sender, change nothing.
func TestOldReportsAreDropped(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1, 2)
		c := f.talliers[f.collector("dc0")]
		from := cataloger.Member{Name: "other", DataCentre: "dc0"}
		c.Handle(from, Report{Scope: ScopeGateway, Epoch: 2, Number: 5, Counts: Counts{1: 7}, Gateways: 1})
		for _, old := range []Report{
			{Scope: ScopeGateway, Epoch: 2, Number: 4, Counts: Counts{1: 100}, Gateways: 1},
			{Scope: ScopeGateway, Epoch: 1, Number: 9, Counts: Counts{1: 100}, Gateways: 1},
			{Counts: Counts{1: 100}},
		} {
			c.Handle(from, old)
		}
		f.rounds(1)
		require.EqualValues(t, 7, f.others[c.Self][1])
	})
}
