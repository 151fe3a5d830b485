package quarantiner

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestContentVerdicts guards against a request that crashes its targets and is not blamed when it comes again, and against parts
// of its prompt and other requests at its crashes that are refused in its place.
func TestContentVerdicts(t *testing.T) {
	const part, deadly, sound Key = 1, 100, 101
	keys := []Key{part, deadly}
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	cases := []struct {
		name string
		play func(q *Quarantiner, c *testClock)
		// content is the verdict on the deadly request, shared that on others with its part, and other that on the sound one.
		content, shared, other Verdict
		mayRepeat              bool
	}{
		{"one crash of a request whose part was answered", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part})
			c.advance(second(1))
			q.RecordContentCrash(keys, 1, 7, true)
		}, Suspect, Clear, Clear, true},
		{"one crash of a request whose part was never answered", func(q *Quarantiner, _ *testClock) {
			q.RecordContentCrash(keys, 1, 7, true)
		}, Suspect, Suspect, Clear, false},
		{"two targets that crash together", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part})
			c.advance(second(1))
			q.RecordContentCrash(keys, 1, 7, true)
			q.RecordContentCrash(keys, 2, 7, false)
		}, Suspect, Clear, Clear, false},
		{"two targets that crash together as they begin it", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part})
			c.advance(second(1))
			q.RecordContentCrash(keys, 1, 7, true)
			q.RecordContentCrash(keys, 2, 7, true)
		}, Quarantined, Clear, Clear, false},
		{"two crashes, and answers to its part between them", func(q *Quarantiner, c *testClock) {
			for target := range uint32(2) {
				q.RecordContentCrash(keys, target, 7, true)
				c.advance(second(1))
				q.RecordContentAnswered([]Key{part, sound})
				c.advance(second(1))
			}
		}, Quarantined, Clear, Clear, false},
		{"five crashes of a request whose part was answered before", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part})
			for target := range uint32(5) {
				c.advance(second(1))
				q.RecordContentCrash(keys, target, 7, true)
			}
		}, Quarantined, Clear, Clear, false},
		{"two crashes of two requests with a part that was never answered", func(q *Quarantiner, c *testClock) {
			q.RecordContentCrash(keys, 1, 7, true)
			c.advance(second(1))
			q.RecordContentCrash([]Key{part, 102}, 2, 8, true)
		}, Quarantined, Quarantined, Clear, false},
		{"two crashes of one request, and another with its part at one", func(q *Quarantiner, c *testClock) {
			q.RecordContentCrash(keys, 1, 7, true)
			c.advance(second(1))
			q.RecordContentCrash(keys, 2, 7, true)
			q.RecordContentCrash([]Key{part, 102}, 2, 8, true)
			c.advance(doubtTime)
		}, Quarantined, Quarantined, Clear, false},
		{"two crashes, and a request that had not begun at both", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part, 3})
			for target := range uint32(2) {
				c.advance(second(1))
				q.RecordContentCrash([]Key{3, sound}, target, 8, false)
				q.RecordContentCrash(keys, target, 7, true)
			}
		}, Quarantined, Clear, Clear, false},
		{"two crashes, and a request at both that had begun as well", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part, 3})
			for target := range uint32(2) {
				c.advance(second(1))
				q.RecordContentCrash([]Key{3, sound}, target, 8, true)
				q.RecordContentCrash(keys, target, 7, true)
			}
		}, Suspect, Clear, Suspect, false},
		{"an answer to the other one at both", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{part, 3})
			for target := range uint32(2) {
				c.advance(second(1))
				q.RecordContentCrash([]Key{3, sound}, target, 8, true)
				q.RecordContentCrash(keys, target, 7, true)
			}
			c.advance(second(1))
			q.RecordContentAnswered([]Key{3, sound})
		}, Quarantined, Clear, Clear, false},
		{"crashes that a part explains", func(q *Quarantiner, c *testClock) {
			for target := range uint32(2) {
				q.RecordContentCrash([]Key{part, Key(200 + target)}, target, target, true)
				c.advance(second(1))
			}
		}, Quarantined, Quarantined, Clear, false},
		{"an answer", func(q *Quarantiner, c *testClock) {
			for target := range uint32(3) {
				q.RecordContentCrash(keys, target, 7, true)
				c.advance(second(1))
			}
			q.RecordContentAnswered(keys)
		}, Clear, Clear, Clear, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, clock := newTest()
			c.play(q, clock)
			started := New(clock.Now)
			exchange(q, started)
			// A daemon that has just started and hears of it decides the same.
			for _, d := range []*Quarantiner{q, started} {
				require.Equal(t, c.content, verdict(d, part, deadly))
				require.Equal(t, c.shared, verdict(d, part, 999))
				require.Equal(t, c.other, verdict(d, 3, sound))
				require.Equal(t, c.mayRepeat, d.MayRepeat(keys))
			}
		})
	}
}

// TestTrialsOfContentAreBounded guards against a fourth retry after the third crash of a request, however long it comes, and
// against a caller that is refused for good.
func TestTrialsOfContentAreBounded(t *testing.T) {
	const deadly Key = 100
	q, c := newTest()
	crashes := uint32(0)
	crash := func() { crashes++; q.RecordContentCrash([]Key{deadly}, crashes, 7, true) }
	retries := 0
	crash()
	c.advance(time.Second)
	for range 30 * 24 * 60 / 5 {
		if verdict(q, deadly) != Quarantined {
			q.Admit([]Key{deadly})
			if crashes >= 3 {
				retries++
			}
			crash()
		}
		if crashes >= maxContentCrashes {
			break
		}
		c.advance(5 * time.Minute)
	}
	require.EqualValues(t, maxContentCrashes, crashes)
	require.Equal(t, 3, retries)
	for range int(quarantineRetention / time.Hour) {
		c.advance(time.Hour)
		require.Equal(t, Quarantined, verdict(q, deadly))
	}
	q.RecordCrash(nil, 1<<31, 1)
	c.advance(quarantineTimes[len(quarantineTimes)-1])
	q.RecordCrash(nil, 1<<31+1, 1)
	require.NotEqual(t, Quarantined, verdict(q, deadly))
}

// TestDoubtEnds guards against sound requests that are refused for long for a part that nobody has answered yet, as one request
// with it crashed its targets.
func TestDoubtEnds(t *testing.T) {
	const part, deadly, sound Key = 1, 100, 101
	q, c := newTest()
	for target := range uint32(2) {
		q.RecordContentCrash([]Key{part, deadly}, target, 7, true)
		c.advance(time.Second)
	}
	require.Equal(t, Quarantined, verdict(q, part, sound))
	c.advance(doubtTime)
	d := q.Admit([]Key{part, sound})
	require.True(t, d.Trial)
	q.RecordContentAnswered([]Key{part, sound})
	require.Equal(t, Clear, verdict(q, part, sound))
	require.Equal(t, Quarantined, verdict(q, part, deadly), "the request itself")
}

// TestAnsweredContentTakesNoMemory guards against parts that are forgotten as each request is remembered as answered.
func TestAnsweredContentTakesNoMemory(t *testing.T) {
	q, _ := newTest()
	for i := range Key(3 * maxAnswered) {
		q.RecordContentAnswered([]Key{1, 1000 + i})
	}
	require.Len(t, q.answered.current, 1)
	require.Empty(t, q.answered.previous)
}

// TestSoundRequestDoesNotExplainThePart guards against a deadly part that is never quarantined, as a sound request without it was at two of
// its crashes each time and is blamed as a whole.
func TestSoundRequestDoesNotExplainThePart(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(func() time.Time { return now })
	const shared, part = Key(500), Key(66)
	for i := range minCrashes {
		now = now.Add(time.Second)
		q.RecordContentCrash([]Key{shared, 1000}, uint32(i+1), 1000, false)
		q.RecordContentCrash([]Key{part, Key(2000 + i)}, uint32(i+1), uint32(2000+i), false)
		q.RecordAnswered([]Key{shared})
	}
	require.Equal(t, Quarantined, q.Check([]Key{part}).Verdict)
	require.NotEqual(t, Quarantined, q.Check([]Key{shared, 1000}).Verdict)
}

// TestRequestsAtTheSameCrashesAreQuarantined guards against requests that crash their targets and are never quarantined, as they come
// together each time and either could be the one to blame.
func TestRequestsAtTheSameCrashesAreQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(func() time.Time { return now })
	const shared, first, second = Key(1), Key(100), Key(200)
	crashes := 0
	for ; crashes < 10; crashes++ {
		sent := 0
		for i, k := range []Key{first, second} {
			if q.Check([]Key{shared, k}).Verdict != Quarantined {
				q.RecordContentCrash([]Key{shared, k}, uint32(crashes+1), uint32(7+i), false)
				sent++
			}
		}
		if sent == 0 {
			break
		}
		q.RecordAnswered([]Key{shared})
		now = now.Add(5 * time.Second)
	}
	require.Equal(t, 3, crashes, "of both together")
}

// TestEvidenceWithoutAnAnswerIsToldSoon guards against a request that crashes a target through each gateway, as updates are full of the
// sound ones of its first crash.
func TestEvidenceWithoutAnAnswerIsToldSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(func() time.Time { return now })
	for i := range 300 {
		q.RecordContentCrash([]Key{Key(1000 + i)}, 1, uint32(i+1), false)
	}
	for i := range 299 {
		q.RecordContentAnswered([]Key{Key(1000 + i)})
	}
	now = now.Add(2 * recentChange)
	told := 0
	for range 200 {
		if slices.ContainsFunc(q.Evidence(12), func(e Evidence) bool { return e.Key == 1299 }) {
			told++
		}
	}
	require.Greater(t, told, 50, "half of the updates")
}

// TestPartsOutlastRequestsOfOneCrash guards against evidence against a part that is dropped for hundreds of requests that were at one crash.
func TestPartsOutlastRequestsOfOneCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New(func() time.Time { return now })
	const part = Key(66)
	q.RecordContentCrash([]Key{part, 67}, 1, 1, false)
	now = now.Add(time.Second)
	for i := range maxSuspects + 1 {
		q.RecordContentCrash([]Key{Key(1000 + i)}, 2, uint32(i+10), false)
	}
	require.Equal(t, Suspect, q.Check([]Key{part}).Verdict)
}
