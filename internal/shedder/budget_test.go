package shedder

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261206")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// fakeBody is a body whose reader releases it once it is cut.
type fakeBody struct {
	*Body
	read int64
	cut  bool
}

func begin(b *Budget, workspace string, now time.Time) *fakeBody {
	f := &fakeBody{}
	f.Body = b.Begin(workspace, func() { f.cut = true }, now)
	return f
}

// receive adds bytes as a reader does.
func (f *fakeBody) receive(bytes int64, now time.Time) Verdict {
	verdict := f.Grow(bytes, now)
	if verdict == Granted {
		f.read += bytes
		f.Advance(f.read, now)
	}
	return verdict
}

// TestStalledBodiesGiveWay checks which of the bodies goes when another needs memory.
func TestStalledBodiesGiveWay(t *testing.T) {
	const limit = 1 << 20
	type held struct {
		workspace string
		bytes     int64
		idle      time.Duration
		finished  bool
	}
	cases := []struct {
		name   string
		bodies []held
		bytes  int64
		want   Verdict
		cut    []bool
	}{
		{"room is left", []held{{"a", 500_000, time.Minute, false}}, 200_000, Granted, []bool{false}},
		{"the one that stopped goes", []held{{"a", 400_000, 0, false}, {"a", 300_000, time.Second, false}}, 200_000, Wait, []bool{false, true}},
		{"most bytes", []held{{"a", 500_000, time.Second, false}, {"a", 200_000, time.Second, false}}, 200_000, Wait, []bool{true, false}},
		{"longest without progress", []held{{"a", 400_000, time.Second, false}, {"a", 300_000, 9 * time.Second, false}}, 200_000, Wait, []bool{false, true}},
		{"as many as needed", []held{{"a", 350_000, time.Second, false}, {"a", 350_000, time.Second, false}}, 700_000, Wait, []bool{true, true}},
		{"finished bodies stay", []held{{"a", 700_000, time.Minute, true}}, 200_000, Refused, []bool{false}},
		{"all make progress", []held{{"a", 700_000, time.Millisecond, false}}, 200_000, Refused, []bool{false}},
		{"a small body beside large ones", []held{{"a", 780_000, 0, true}}, 60_000, Granted, []bool{false}},
		{"another workspace holds more", []held{{"b", 400_000, 0, false}, {"b", 380_000, 0, false}}, 200_000, Wait, []bool{true, false}},
		{"another workspace holds no more without it", []held{{"b", 780_000, 0, false}}, 200_000, Refused, []bool{false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &Budget{Limit: limit}
			now := start.Add(time.Hour)
			var bodies []*fakeBody
			for _, h := range c.bodies {
				f := begin(b, h.workspace, now.Add(-h.idle))
				require.Equal(t, Granted, f.receive(h.bytes, now.Add(-h.idle)))
				require.True(t, !h.finished || f.Finish())
				bodies = append(bodies, f)
			}
			taker := begin(b, "a", now)
			require.Equal(t, c.want, taker.receive(c.bytes, now))
			require.Equal(t, c.want == Refused, taker.cut)
			for i, f := range bodies {
				require.Equal(t, c.cut[i], f.cut, "body %d", i)
				if f.cut {
					require.False(t, f.Finish(), "a body that was given up is not passed on")
					f.Release()
				}
			}
			if c.want == Wait {
				require.Equal(t, Granted, taker.receive(c.bytes, now), "their memory is free")
			}
		})
	}
}

// TestFewBytesAreNoProgress guards against a client that keeps its memory by a byte now and then.
func TestFewBytesAreNoProgress(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	drip, other := begin(b, "a", start), begin(b, "a", start)
	require.Equal(t, Granted, drip.receive(500_000, start))
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		drip.read++
		drip.Advance(drip.read, now)
	}
	require.Equal(t, Wait, other.receive(400_000, now))
	require.True(t, drip.cut)
}

// TestBudgetHolds lets crowds of all kinds send beside ordinary clients, and checks that memory stays within the budget, that no
// finished body is given up, and that a small body is served beside any crowd that has stopped.
func TestBudgetHolds(t *testing.T) {
	const limit = 1 << 20
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: limit}
		now := start
		var bodies []*fakeBody
		finished := map[*fakeBody]bool{}
		release := func(i int) {
			bodies[i].Release()
			bodies = append(bodies[:i], bodies[i+1:]...)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, len(bodies)).Draw(t, "body")
			if n == len(bodies) {
				bodies = append(bodies, begin(b, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace"), now))
			}
			f := bodies[n]
			switch rapid.IntRange(0, 9).Draw(t, "act") {
			case 0:
				release(n)
			case 1:
				require.NotEqual(t, f.cut, f.Finish())
				finished[f] = !f.cut
			default:
				if !finished[f] && f.receive(rapid.SampledFrom([]int64{1, 1500, 64 << 10, limit / 4, limit}).Draw(t, "bytes"), now) == Refused {
					release(n)
				}
			}
			require.LessOrEqual(t, b.Used(), int64(limit))
			for i := len(bodies) - 1; i >= 0; i-- {
				if bodies[i].cut {
					require.False(t, finished[bodies[i]], "a finished body was given up")
					release(i)
				}
			}
		}
		var held int64
		for _, f := range bodies {
			held += f.read
		}
		require.Equal(t, held, b.Used())
		// The finished ones are served, the others stop.
		for i := len(bodies) - 1; i >= 0; i-- {
			if finished[bodies[i]] {
				release(i)
			}
		}
		now = now.Add(time.Minute)
		small := begin(b, "c", now)
		verdict := small.receive(4<<10, now)
		require.NotEqual(t, Refused, verdict)
		for i := len(bodies) - 1; verdict == Wait && i >= 0; i-- {
			if bodies[i].cut {
				release(i)
			}
		}
		require.Equal(t, Granted, small.receive(4<<10, now))
		require.True(t, small.Finish())
	})
}

// TestConnections checks which connection is closed over the bound.
func TestConnections(t *testing.T) {
	type open struct {
		since time.Duration
		phase phase
	}
	cases := []struct {
		name   string
		open   []open
		closed int
		ok     bool
	}{
		{"the longest idle one", []open{{3 * time.Second, phaseIdle}, {5 * time.Second, phaseIdle}, {9 * time.Second, phaseReading}}, 1, true},
		{"a request that stopped", []open{{9 * time.Second, phaseServing}, {time.Second, phaseReading}, {4 * time.Second, phaseReading}}, 2, true},
		{"none that is served or read", []open{{9 * time.Second, phaseServing}, {time.Millisecond, phaseReading}}, -1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			shed := 0
			b := &Connections{Limit: len(c.open), OnShed: func() { shed++ }}
			closed := -1
			var all []*Connection
			now := start.Add(time.Hour)
			for i, o := range c.open {
				added := b.Add(func() { closed = i }, now.Add(-o.since))
				require.NotNil(t, added)
				require.True(t, added.enter(o.phase, now.Add(-o.since)))
				all = append(all, added)
			}
			require.Equal(t, c.ok, b.Add(func() {}, now) != nil)
			require.Equal(t, c.closed, closed)
			require.Equal(t, 1, shed)
			require.Equal(t, len(c.open), b.Open())
			if c.ok {
				require.False(t, all[closed].Serving(now), "its request is not passed on")
			}
			for _, o := range all {
				o.Remove()
			}
			require.Equal(t, len(c.open)-len(all)+map[bool]int{true: 1}[c.ok], b.Open())
		})
	}
}
