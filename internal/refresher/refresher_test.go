package refresher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCopyIsReadWithinTheBound checks that every level reads the store early enough for any bound that leaves room for a read, level
// after level, and before an outage is long enough for objects to lapse unnoticed.
func TestCopyIsReadWithinTheBound(t *testing.T) {
	// check, pause and read bound the steps from the age limit to the application.
	const check, pause, read = 100 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{
			Apply:   time.Duration(rapid.IntRange(1400, 10_000).Draw(t, "apply")) * time.Millisecond,
			Renewal: time.Duration(rapid.IntRange(1200, 5000).Draw(t, "renewal")) * time.Millisecond,
		}
		for level := range 5 {
			age := b.MaxAge(level)
			require.LessOrEqual(t, age+check+pause+read, b.Apply, "level %d", level)
			require.Less(t, age+check+pause+read, 2*b.Renewal, "level %d", level)
			require.GreaterOrEqual(t, age, minAge)
			require.GreaterOrEqual(t, b.MaxAge(level+1), age)
		}
	})
}

// TestCopyIsCompleteAsOfWhatItHolds checks that a confirmation counts once the copy holds what it names, and not before.
func TestCopyIsCompleteAsOfWhatItHolds(t *testing.T) {
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	cases := []struct {
		name     string
		confirms []confirmation
		version  uint64
		asOf     time.Time
		lacking  bool
	}{
		{"nothing is known", nil, 5, time.Time{}, false},
		{"nothing newer", []confirmation{{5, at(1)}}, 5, at(1), false},
		{"one version lacks", []confirmation{{5, at(1)}, {7, at(2)}}, 6, at(1), true},
		{"reached at once", []confirmation{{5, at(1)}, {7, at(2)}}, 8, at(2), false},
		{"an older confirmation arrives late", []confirmation{{5, at(3)}, {5, at(2)}}, 5, at(3), false},
		{"the same version again", []confirmation{{5, at(1)}, {5, at(4)}}, 5, at(4), false},
		{"a restored store has lower versions", []confirmation{{9, at(1)}, {2, at(4)}}, 2, at(4), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			copied := &Copy{}
			for _, p := range c.confirms {
				copied.Confirm(p.version, p.at)
			}
			asOf, lacking := copied.Reach(c.version)
			require.Equal(t, c.asOf, asOf)
			require.Equal(t, c.lacking, lacking)
		})
	}
}

// TestAvailability checks that the store counts as available only over gaps in which no object lapses.
func TestAvailability(t *testing.T) {
	b, start := Bounds{Renewal: time.Second}, time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	cases := []struct {
		name     string
		answers  []int
		from, to int
		lasted   bool
	}{
		{"no answer is known", nil, 0, 100, false},
		{"answers all along", []int{0, 1000, 2000, 3000}, 0, 3500, true},
		{"one was lost", []int{0, 1300, 2600}, 0, 3900, true},
		{"an outage", []int{0, 3000, 4000}, 0, 4000, false},
		{"an outage before", []int{0, 3000, 4000}, 3000, 4000, true},
		{"an outage that ended since", []int{0, 3000, 4000}, 2900, 4000, false},
		{"no answer lately", []int{0, 1000}, 0, 3000, false},
		{"an answer is told late", []int{0, 1400, 1000, 2700}, 0, 2700, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &Availability{}
			for _, ms := range c.answers {
				a.Record(at(ms), b)
			}
			require.Equal(t, c.lasted, a.Lasted(at(c.from), at(c.to), b))
		})
	}
}

// TestPauses guards against messages that count as new, as they waited while the process did not run.
func TestPauses(t *testing.T) {
	p, start := &Pauses{}, time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, p.JustEnded(at(0)), "before the first tick")
	for ms := 0; ms <= 1000; ms += 100 {
		p.Tick(at(ms))
	}
	require.False(t, p.JustEnded(at(1090)))
	require.True(t, p.JustEnded(at(5000)), "a message is handled before the first tick after a pause")
	p.Tick(at(5000))
	require.True(t, p.JustEnded(at(5100)), "there is a backlog")
	p.Tick(at(5100))
	p.Tick(at(5200))
	require.False(t, p.JustEnded(at(5210)))
}
