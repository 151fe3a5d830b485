package forecaster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(100, 0)

func paces(of ...float64) func() []float64 { return func() []float64 { return of } }

func no() bool { return false }

// lateStream is a stream that takes 35 s for what is left of its answer, with 15 s to its deadline.
func lateStream() Stream {
	return Stream{
		ID: "r1", Deadline: start.Add(15 * time.Second), Events: 20, Delivered: 20, Expected: 60, Max: 120,
		Gap: 350 * time.Millisecond, TypicalGap: 60 * time.Millisecond, UsualSilence: 60 * time.Millisecond,
		ClientPatience: ClientPatience(500*time.Millisecond, 250*time.Millisecond), Paces: paces(1, 12, 1), Movable: func() bool { return true },
	}
}

// firstAction returns the first action on a stream whose state does not change for a while, and when it is due.
func firstAction(s Stream) (Action, time.Duration) {
	var f Forecaster
	for after := time.Duration(0); after < spreadTime+knownAfter; after += 50 * time.Millisecond {
		if a := f.Decide(start.Add(after), s); a != Keep {
			return a, after
		}
	}
	return Keep, 0
}

// TestStreamsInTimeOfSlowTargets: targets that turn twelve times slower or lose requests without failing must not take streams to their
// deadlines, nor must streams be changed that end in time, wait for a target that is silent for a second, or would be as slow elsewhere.
func TestStreamsInTimeOfSlowTargets(t *testing.T) {
	stalled := func(s *Stream) { s.Delivered, s.Gap, s.Silence = 50, 60*time.Millisecond, 1400*time.Millisecond }
	cases := []struct {
		name   string
		change func(*Stream)
		want   Action
	}{
		{"a slow later stage", func(*Stream) {}, Replace},
		{"a slow first stage", func(s *Stream) { s.Paces = paces(12, 1, 12) }, Move},
		{"a slow first stage, may not be sent again", func(s *Stream) { s.Paces, s.Movable = paces(12, 1), no }, Keep},
		{"a slow first stage, too late for another", func(s *Stream) { s.Paces, s.Deadline = paces(12, 1), start.Add(2*time.Second) }, Keep},
		{"no slow stage", func(s *Stream) { s.Paces = paces(1, 1) }, Move},
		{"a fleet as slow as the stream", func(s *Stream) { s.Paces, s.TypicalGap = paces(1, 1), s.Gap }, Keep},
		{"a slow stage, but time enough", func(s *Stream) { s.Delivered, s.Gap = 40, 120*time.Millisecond }, Keep},
		{"an answer longer than expected", func(s *Stream) { s.Delivered = 58 }, Replace},
		{"a mean gap of few events", func(s *Stream) { s.Events = minEvents - 1 }, Keep},
		{"stalled", stalled, Resend},
		{"stalled, may not be sent again", func(s *Stream) { stalled(s); s.Movable = no }, Keep},
		{"silent for a second", func(s *Stream) { stalled(s); s.Silence = time.Second }, Keep},
		{"a fleet that is as silent", func(s *Stream) { stalled(s); s.UsualSilence = 500 * time.Millisecond }, Keep},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := lateStream()
			c.change(&s)
			action, _ := firstAction(s)
			require.Equal(t, c.want, action)
		})
	}
}

// TestStreamsChangeOneAfterTheOther: the streams of a target that turns slow must not all be prefilled elsewhere at once.
func TestStreamsChangeOneAfterTheOther(t *testing.T) {
	const streams, parts = 10_000, 20
	var counts [parts + 1]int
	for i := range streams {
		s := lateStream()
		s.ID = fmt.Sprint("request-", i)
		action, after := firstAction(s)
		require.Equal(t, Replace, action)
		counts[after*parts/spreadTime]++
	}
	for part, n := range counts {
		require.Less(t, float64(n)/streams, 2.0/parts, "part %d", part)
	}
}

// TestForecasterBounds: whatever the stream, one that ends in time and is silent for a second at most is kept, one that may not be sent again
// is not sent again, and changes are retryInterval apart.
func TestForecasterBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var f Forecaster
		var changedAt time.Time
		now := start
		for range rapid.IntRange(1, 100).Draw(rt, "ticks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
			s, movable := lateStream(), rapid.Bool().Draw(rt, "movable")
			s.Delivered, s.Expected = rapid.IntRange(0, 120).Draw(rt, "delivered"), rapid.Float64Range(0, 120).Draw(rt, "expected")
			s.Gap = time.Duration(rapid.IntRange(1, 2000).Draw(rt, "gap")) * time.Millisecond
			s.Silence = time.Duration(rapid.IntRange(0, 3000).Draw(rt, "silent")) * time.Millisecond
			s.Paces = paces(rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1.5, 12}), 1, 8).Draw(rt, "paces")...)
			s.Movable = func() bool { return movable }
			action := f.Decide(now, s)
			if action == Keep {
				continue
			}
			inTime := (s.Max-float64(s.Delivered))*s.Gap.Seconds() <= usableShare*s.Deadline.Sub(now).Seconds()
			require.False(rt, inTime && s.Silence <= time.Second)
			require.True(rt, movable || action == Replace)
			require.True(rt, changedAt.IsZero() || now.Sub(changedAt) >= retryInterval)
			changedAt = now
		}
	})
}
