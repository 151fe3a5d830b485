package quarantiner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testClock is a clock that the tests advance.
type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func (c *testClock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTest() (*Quarantiner, *testClock) {
	c := &testClock{now: time.Unix(1000, 0)}
	return New(c.Now), c
}

func verdict(q *Quarantiner, keys ...Key) Verdict {
	return q.Check(keys).Verdict
}

// exchange gives each quarantiner the evidence of the others.
func exchange(all ...*Quarantiner) {
	for _, from := range all {
		for _, to := range all {
			to.MergeCrashes(from.Crashes(maxCrashed))
		}
		for _, e := range from.Evidence(maxSuspects) {
			for _, to := range all {
				if to != from {
					to.Merge(e)
				}
			}
		}
	}
}

func TestVerdicts(t *testing.T) {
	const first, deadly, other Key = 1, 2, 3
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	cases := []struct {
		name string
		play func(q *Quarantiner, c *testClock)
		keys []Key
		want Verdict
	}{
		{"nothing is known", func(*Quarantiner, *testClock) {}, []Key{first, deadly}, Clear},
		{"one crash", func(q *Quarantiner, _ *testClock) { q.RecordCrash([]Key{deadly}, 1, 1) }, []Key{deadly}, Suspect},
		{"one crash of a key that was answered", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{first})
			c.advance(second(1))
			q.RecordCrash([]Key{first}, 1, 1)
		}, []Key{first}, Clear},
		{"two crashes of two requests", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			c.advance(second(1))
			q.RecordCrash([]Key{deadly}, 2, 2)
		}, []Key{other, deadly}, Quarantined},
		{"two crashes of one request", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			q.RecordCrash([]Key{other}, 1, 2)
			c.advance(second(1))
			q.RecordCrash([]Key{first, deadly}, 2, 1)
		}, []Key{deadly}, Quarantined},
		{"two crashes, and other requests with another key at both", func(q *Quarantiner, c *testClock) {
			for i := range uint32(2) {
				q.RecordCrash([]Key{deadly}, i, i)
				q.RecordCrash([]Key{other}, i, 10+i)
				c.advance(second(1))
			}
		}, []Key{deadly}, Suspect},
		{"two crashes of two requests, and another request at both", func(q *Quarantiner, c *testClock) {
			for i := range uint32(2) {
				q.RecordCrash([]Key{deadly}, i, i)
				q.RecordCrash([]Key{other}, i, 10)
				c.advance(second(1))
			}
		}, []Key{deadly}, Quarantined},
		{"a deadly part, and its first part in other requests at the same crashes", func(q *Quarantiner, c *testClock) {
			for i := range uint32(2) {
				q.RecordCrash([]Key{first, deadly}, i, i)
				q.RecordCrash([]Key{first}, i, 10+i)
				c.advance(second(1))
			}
		}, []Key{first, other}, Clear},
		{"the deadly part itself, with its first part in other requests at the same crashes", func(q *Quarantiner, c *testClock) {
			for i := range uint32(2) {
				q.RecordCrash([]Key{first, deadly}, i, i)
				q.RecordCrash([]Key{first}, i, 10+i)
				c.advance(second(1))
			}
		}, []Key{first, deadly}, Quarantined},
		{"a key at some crashes of a quarantined one", func(q *Quarantiner, c *testClock) {
			for i := range uint32(3) {
				q.RecordCrash([]Key{deadly}, i, i)
				if i > 0 {
					q.RecordCrash([]Key{other}, i, 10+i)
				}
				c.advance(second(1))
			}
		}, []Key{other}, Clear},
		{"two of four crashes, the others with requests that were answered", func(q *Quarantiner, c *testClock) {
			for i := range uint32(4) {
				if i%3 == 0 {
					q.RecordCrash([]Key{deadly}, i, i)
				} else {
					q.RecordCrash(nil, i, i)
				}
				c.advance(second(1))
			}
		}, []Key{deadly}, Suspect},
		{"four of many crashes", func(q *Quarantiner, c *testClock) {
			for i := range uint32(16) {
				if i%4 == 0 {
					q.RecordCrash([]Key{deadly}, i, i)
				} else {
					q.RecordCrash(nil, i, i)
				}
				c.advance(second(1))
			}
		}, []Key{deadly}, Quarantined},
		{"two crashes of one request, and another one at both", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			q.RecordCrash([]Key{other}, 1, 2)
			c.advance(second(1))
			q.RecordCrash([]Key{deadly}, 2, 1)
			q.RecordCrash([]Key{other}, 2, 2)
		}, []Key{deadly}, Suspect},
		{"two crashes of one request, and another one at both that was answered before", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{other})
			for target := range uint32(2) {
				c.advance(second(1))
				q.RecordCrash([]Key{deadly}, target, 1)
				q.RecordCrash([]Key{other}, target, 2)
			}
		}, []Key{deadly}, Quarantined},
		{"two crashes of one request, and an answer to the other one at both", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			q.RecordCrash([]Key{other}, 1, 2)
			c.advance(second(1))
			q.RecordCrash([]Key{deadly}, 2, 1)
			q.RecordCrash([]Key{other}, 2, 2)
			c.advance(second(1))
			q.RecordAnswered([]Key{other})
		}, []Key{deadly}, Quarantined},
		{"two requests at one crash", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			q.RecordCrash([]Key{deadly}, 1, 2)
		}, []Key{deadly}, Suspect},
		{"two targets that crash together", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			c.advance(jointCrashWindow - 1)
			q.RecordCrash([]Key{deadly}, 2, 2)
		}, []Key{deadly}, Suspect},
		{"an answer between two crashes", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{first}, 1, 1)
			c.advance(second(1))
			q.RecordAnswered([]Key{first})
			c.advance(second(1))
			q.RecordCrash([]Key{first}, 2, 2)
		}, []Key{first}, Clear},
		{"a shared part of requests with a deadly one", func(q *Quarantiner, c *testClock) {
			for i := range uint32(3) {
				q.RecordCrash([]Key{first, deadly}, i, i)
				c.advance(second(1))
			}
		}, []Key{first, other}, Clear},
		{"a shared part that is deadly itself", func(q *Quarantiner, c *testClock) {
			for i := range uint32(2) {
				q.RecordCrash([]Key{first, deadly + Key(i)}, i, i)
				c.advance(second(1))
			}
		}, []Key{first, other}, Quarantined},
		{"crashes of a key that was answered before", func(q *Quarantiner, c *testClock) {
			q.RecordAnswered([]Key{first})
			for i := range uint32(minAnsweredCrashes) {
				c.advance(second(1))
				q.RecordCrash([]Key{first}, i, i)
			}
		}, []Key{first}, Quarantined},
		{"an answer after the quarantine", func(q *Quarantiner, c *testClock) {
			for i := range uint32(3) {
				q.RecordCrash([]Key{first}, i, i)
				c.advance(second(1))
			}
			q.RecordAnswered([]Key{first})
		}, []Key{first}, Clear},
		{"a suspicion of long ago", func(q *Quarantiner, c *testClock) {
			q.RecordCrash([]Key{deadly}, 1, 1)
			c.advance(suspicionRetention + 1)
		}, []Key{deadly}, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, clock := newTest()
			c.play(q, clock)
			require.Equal(t, c.want, verdict(q, c.keys...))
			require.Equal(t, c.want == Clear, q.MayRepeat(c.keys))
			require.Equal(t, c.want == Quarantined, q.IsQuarantined(c.keys))
			// A daemon that has just started and hears of it decides the same.
			started := New(clock.Now)
			exchange(q, started)
			require.Equal(t, c.want, verdict(started, c.keys...))
		})
	}
}

// TestTrialsEndAQuarantine: after each quarantine one request is admitted, over all daemons; a further crash makes the next
// one longer, so that few requests are sent after the fifth crash, and an answer ends it.
func TestTrialsEndAQuarantine(t *testing.T) {
	const deadly Key = 7
	q, c := newTest()
	other := New(c.Now)
	other.TrialRank = func(Key) int { return 1 }
	crash := func(n uint32) { q.RecordCrash([]Key{deadly}, n, n); exchange(q, other) }
	crash(0)
	c.advance(time.Second)
	crash(1)
	for n, d := range quarantineTimes {
		require.Equal(t, Decision{Verdict: Quarantined, Wait: d, Index: 1}, q.Admit([]Key{1, deadly}))
		c.advance(d - 1)
		require.Equal(t, Quarantined, verdict(q, deadly))
		c.advance(1)
		require.Equal(t, Quarantined, verdict(other, deadly), "the other daemon comes later")
		require.Equal(t, Decision{Verdict: Suspect, Trial: true, Index: 1}, q.Admit([]Key{1, deadly}))
		require.Equal(t, Quarantined, verdict(q, deadly), "one trial at a time")
		exchange(q, other)
		c.advance(2 * time.Second)
		require.Equal(t, Quarantined, verdict(other, deadly), "one trial over all daemons")
		require.False(t, q.MayRepeat([]Key{deadly}))
		crash(uint32(10 + n))
	}
	c.advance(quarantineTimes[len(quarantineTimes)-1])
	require.Equal(t, Suspect, verdict(q, deadly))
	q.RecordAnswered([]Key{deadly})
	exchange(q, other)
	require.Equal(t, Clear, verdict(q, deadly))
	require.Equal(t, Clear, verdict(other, deadly))
	require.Zero(t, q.Quarantines())
}

// TestMemoryIsBounded: clients may send a new part with each request.
func TestMemoryIsBounded(t *testing.T) {
	q, c := newTest()
	for i := range uint32(3 * maxAnswered) {
		q.RecordAnswered([]Key{Key(i)})
	}
	require.LessOrEqual(t, len(q.answered.current)+len(q.answered.previous), maxAnswered)
	const deadly Key = 1 << 40
	for i := range uint32(2) {
		q.RecordCrash([]Key{deadly}, i, i)
		c.advance(time.Second)
	}
	for i := range uint32(2 * maxSuspects) {
		q.RecordCrash([]Key{Key(i) << 20}, 100+i, i)
		c.advance(time.Millisecond)
	}
	require.LessOrEqual(t, len(q.suspects), maxSuspects)
	for i := range uint32(100) {
		q.RecordCrash([]Key{deadly}, 1<<20+i, i)
	}
	require.LessOrEqual(t, len(q.suspects[deadly].evidence.Crashes), maxTargets*maxRequests)
	require.Equal(t, Quarantined, verdict(q, deadly), "evidence of a quarantine goes last")
	require.Len(t, q.Evidence(3), 3)
	require.Equal(t, deadly, q.Evidence(3)[0].Key)
}

// TestAllEvidenceIsToldInTime guards against a daemon that never hears that a key was answered, as others with crashes always go
// before it in bounded updates.
func TestAllEvidenceIsToldInTime(t *testing.T) {
	const keys, perUpdate = 60, 4
	q, c := newTest()
	for i := range Key(keys) {
		for target := range uint32(2) {
			q.RecordCrash([]Key{i}, target, uint32(i))
		}
	}
	c.advance(2 * recentChange)
	q.RecordAnswered([]Key{7})
	require.Equal(t, Key(7), q.Evidence(perUpdate)[0].Key, "what has just changed goes first")
	c.advance(2 * recentChange)
	told := map[Key]bool{}
	for range 30 * keys / perUpdate {
		for _, e := range q.Evidence(perUpdate) {
			told[e.Key] = true
		}
	}
	require.Len(t, told, keys)
}

// TestEvidenceDoesNotCirculateForever: daemons that drop evidence at different times must not give it back to each other.
func TestEvidenceDoesNotCirculateForever(t *testing.T) {
	a, c := newTest()
	b := New(c.Now)
	a.RecordCrash([]Key{1}, 1, 1)
	a.RecordCrash([]Key{2}, 2, 2)
	exchange(a, b)
	a.RecordAnswered([]Key{1})
	for range 4000 {
		c.advance(200 * time.Millisecond)
		a.RecordAnswered([]Key{1})
		a.RecordCrash([]Key{3}, 3, 3)
		exchange(a, b)
	}
	keys := func(q *Quarantiner) (out []Key) {
		for _, e := range q.Evidence(maxSuspects) {
			out = append(out, e.Key)
		}
		return out
	}
	require.NotContains(t, keys(a), Key(1))
	require.NotContains(t, keys(b), Key(1))
	require.NotContains(t, keys(a), Key(2))
	require.NotContains(t, keys(b), Key(2))
}

// testEvent is an answer to a request with a key, or a crash of a target that ran one.
type testEvent struct {
	key     Key
	answer  bool
	target  uint32
	request uint32
}

// oracle returns the verdict on each key by a history in which no crash has two keys.
func oracle(history []testEvent, keys []Key) map[Key]Verdict {
	verdicts := map[Key]Verdict{}
	crashes, answered := map[Key][]int{}, map[Key]bool{}
	for i, e := range history {
		if e.answer {
			crashes[e.key], answered[e.key] = nil, true
		} else {
			crashes[e.key] = append(crashes[e.key], i)
		}
	}
	for range keys {
		for _, k := range keys {
			own, needed := crashes[k], minCrashes
			if answered[k] {
				needed = minAnsweredCrashes
			}
			unexplained := 0
			for i, e := range history {
				if len(own) > 0 && i >= own[0] && i <= own[len(own)-1] && !e.answer && (e.key == k || verdicts[e.key] != Quarantined || !slices.Contains(crashes[e.key], i)) {
					unexplained++
				}
			}
			switch {
			case len(own) >= needed+certainCrashes, len(own) >= needed && 2*len(own) > unexplained:
				verdicts[k] = Quarantined
			case len(own) > 0 && !answered[k]:
				verdicts[k] = Suspect
			default:
				verdicts[k] = Clear
			}
		}
	}
	return verdicts
}

// TestDaemonsAgree: whatever crashes and answers daemons see, and in whatever order they hear of them, they decide the same
// once all have heard of all; and the decision is that of an oracle that sees everything.
func TestDaemonsAgree(t *testing.T) {
	keys := []Key{1, 2, 3}
	rapid.Check(t, func(t *rapid.T) {
		c := &testClock{now: time.Unix(1000, 0)}
		daemons := []*Quarantiner{New(c.Now), New(c.Now), New(c.Now)}
		var history []testEvent
		for i := range rapid.IntRange(1, 25).Draw(t, "events") {
			// Events are farther apart than daemons differ in the times that they name.
			c.advance(2 * skewTolerance)
			e := testEvent{Key(rapid.IntRange(1, 3).Draw(t, "key")), rapid.Bool().Draw(t, "answer"), uint32(i), uint32(rapid.IntRange(0, 3).Draw(t, "request"))}
			d := daemons[rapid.IntRange(0, 2).Draw(t, "daemon")]
			if e.answer {
				d.RecordAnswered([]Key{e.key})
			} else {
				d.RecordCrash([]Key{e.key}, e.target, e.request)
			}
			history = append(history, e)
			if rapid.Bool().Draw(t, "gossip") {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				daemons[to].MergeCrashes(daemons[from].Crashes(maxCrashed))
				for _, e := range daemons[from].Evidence(maxSuspects) {
					daemons[to].Merge(e)
				}
			}
		}
		for range 3 {
			exchange(daemons...)
		}
		want := oracle(history, keys)
		for _, k := range keys {
			for i, d := range daemons {
				require.Equal(t, want[k], verdict(d, k), fmt.Sprintf("daemon %d, key %d, history %v", i, k, history))
			}
		}
	})
}

// TestRepeatsOfARequestHaveOneKey: the fields of a key must not run into each other.
func TestRepeatsOfARequestHaveOneKey(t *testing.T) {
	require.Equal(t, RequestKey("s", "GET", "/a", nil), RequestKey("s", "GET", "/a", nil))
	require.NotEqual(t, RequestKey("s", "GET", "/a", []byte("b")), RequestKey("s", "GET", "/ab", nil))
	require.NotEqual(t, PartKey("m1", "2"), PartKey("m", "12"))
	require.NotEqual(t, TargetID("t", 1), TargetID("t", 2))
}

// TestNewsEnds guards against daemons that keep telling each other of the same crashes without end, as each keeps others of
// them: each daemon relays at most one update for each number of crashes.
func TestNewsEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &testClock{now: time.Unix(1000, 0)}
		daemons := []*Quarantiner{New(c.Now), New(c.Now), New(c.Now)}
		news := make([]int, len(daemons))
		for range rapid.IntRange(1, 60).Draw(t, "crashes") {
			c.advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "daemon")
			if daemons[i].RecordCrash([]Key{1}, uint32(rapid.IntRange(1, 8).Draw(t, "target")), uint32(rapid.IntRange(1, 20).Draw(t, "request"))) {
				news[i]++
			}
		}
		for range 20 {
			for _, from := range daemons {
				for _, e := range from.Evidence(maxSuspects) {
					// Datagrams take some time, which the receiver does not know.
					late := time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond
					e.Crashes = slices.Clone(e.Crashes)
					for i := range e.Crashes {
						e.Crashes[i].At = e.Crashes[i].At.Add(late)
					}
					for i, to := range daemons {
						if to != from && to.Merge(e) {
							news[i]++
						}
					}
				}
			}
		}
		for _, n := range news {
			require.LessOrEqual(t, n, maxTargets)
		}
	})
}

// TestTrialIsNews guards against a second trial of one quarantine, by a daemon that has not heard of the first one: each daemon
// relays a trial without delay, once.
func TestTrialIsNews(t *testing.T) {
	const deadly Key = 7
	q, c := newTest()
	other := New(c.Now)
	q.RecordCrash([]Key{deadly}, 1, 1)
	c.advance(time.Second)
	q.RecordCrash([]Key{deadly}, 2, 2)
	exchange(q, other)
	c.advance(quarantineTimes[0])
	require.True(t, q.Admit([]Key{deadly}).Trial)
	trial := q.Evidence(1)[0]
	require.True(t, other.Merge(trial))
	// Datagrams take some time, which the receiver does not know.
	trial.TrialAt = trial.TrialAt.Add(20 * time.Millisecond)
	require.False(t, other.Merge(trial), "the same trial from another daemon")
	require.False(t, q.Merge(trial), "its own trial")
}

// TestContentIsTheSameForRepeatsOnly guards against requests that are blamed for others, of another caller or with another path,
// prompt or body, and against repeats that are not recognized.
func TestContentIsTheSameForRepeatsOnly(t *testing.T) {
	body := []byte("body")
	key := ContentKey("caller", "host", "POST", "/a", "m", []string{"1", "2"}, body)
	require.Equal(t, key, ContentKey("caller", "host", "POST", "/a", "m", []string{"1", "2"}, slices.Clone(body)))
	for _, other := range []Key{
		ContentKey("other", "host", "POST", "/a", "m", []string{"1", "2"}, body),
		ContentKey("caller", "other", "POST", "/a", "m", []string{"1", "2"}, body),
		ContentKey("caller", "host", "PUT", "/a", "m", []string{"1", "2"}, body),
		ContentKey("caller", "host", "POST", "/b", "m", []string{"1", "2"}, body),
		ContentKey("caller", "host", "POST", "/a", "n", []string{"1", "2"}, body),
		ContentKey("caller", "host", "POST", "/a", "m", []string{"1", "3"}, body),
		ContentKey("caller", "host", "POST", "/a", "m", []string{"12"}, body),
		ContentKey("caller", "host", "POST", "/a", "m", nil, []byte("1:11:2body")),
		ContentKey("caller", "host", "POST", "/a", "m", []string{"1", "2"}, nil),
	} {
		require.NotEqual(t, key, other)
	}
}
