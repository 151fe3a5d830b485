package throttler

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

var (
	target  = Target{Name: "i-1", Incarnation: 7}
	restart = Target{Name: "i-1", Incarnation: 8}
)

func limited(rate float64) Limit { return Limit{Rate: rate, Set: true} }

// TestBucketAgainstAnOracle: in no span of time a bucket grants more than its rate allows in it and one burst, whatever is asked and
// when, and it grants nothing before its first refill.
func TestBucketAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.01, 200).Draw(t, "rate")
		now := time.Unix(1000, 0)
		b := newBucket(target, now)
		type granted struct {
			at      time.Time
			permits int
		}
		log := []granted{}
		for range rapid.IntRange(1, 80).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause")))
			g := b.take(now, rate, rapid.IntRange(0, 80).Draw(t, "wanted"), rapid.Float64Range(0, 0.9).Draw(t, "reserve"))
			require.True(t, g.permits > 0 || g.wait >= minWait && g.wait <= maxWait)
			require.GreaterOrEqual(t, g.fill, 0.0)
			require.LessOrEqual(t, g.fill, 1.0)
			log = append(log, granted{now, g.permits})
		}
		for i := range log {
			sum := 0
			for j := i; j < len(log); j++ {
				sum += log[j].permits
				span := log[j].at.Sub(log[i].at).Seconds()
				require.LessOrEqual(t, float64(sum), rate*span+burst(rate)+1e-6, "from %d to %d", i, j)
			}
		}
	})
}

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	type step struct {
		after time.Duration
		said  Target
		limit Limit
		want  Change
		now   Limit
	}
	const soon, later = endDelay / 2, 2 * endDelay
	cases := map[string][]step{
		"begins and ends":                          {{0, target, limited(5), ChangeBegan, limited(5)}, {later, target, Limit{}, ChangeEnded, Limit{}}},
		"changes with each answer":                 {{0, target, limited(5), ChangeBegan, limited(5)}, {soon, target, limited(2), ChangeRate, limited(2)}, {soon, target, limited(9), ChangeRate, limited(9)}},
		"is zero":                                  {{0, target, limited(0), ChangeBegan, limited(0)}},
		"an answer without it was overtaken":       {{0, target, limited(5), ChangeBegan, limited(5)}, {soon, target, Limit{}, ChangeNone, limited(5)}},
		"ends with the incarnation":                {{0, target, limited(5), ChangeBegan, limited(5)}, {soon, restart, limited(3), ChangeBegan, Limit{}}},
		"an answer of an incarnation that is gone": {{0, restart, limited(5), ChangeBegan, Limit{}}, {later, target, limited(1), ChangeNone, Limit{}}},
		"none was named":                           {{0, target, Limit{}, ChangeNone, Limit{}}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			l, now := limits{}, time.Unix(1000, 0)
			for _, s := range steps {
				now = now.Add(s.after)
				require.Equal(t, s.want, l.observe(News{Target: s.said, Limit: s.limit, HeardAt: now}))
				require.Equal(t, s.now, l.get(target))
			}
		})
	}
}

func TestNewestNewsOfAPeerHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limits{}
	news := func(target Target, limit Limit, age time.Duration) News {
		return News{Target: target, Limit: limit, HeardAt: now.Add(-age)}
	}
	require.Equal(t, ChangeNone, l.merge(news(target, Limit{}, 0)), "the end of a limit that is not known")
	require.Equal(t, ChangeBegan, l.merge(news(target, limited(5), time.Second)))
	require.Equal(t, ChangeNone, l.merge(news(target, limited(9), 2*time.Second)), "older")
	require.Equal(t, ChangeRate, l.merge(news(target, limited(4), 0)))
	require.Equal(t, ChangeEnded, l.merge(news(target, Limit{}, -time.Second)))
	require.Equal(t, ChangeNone, l.merge(news(target, limited(4), 0)), "its end was heard later")
	require.Equal(t, ChangeBegan, l.merge(news(restart, limited(1), time.Minute)))
	require.Equal(t, ChangeNone, l.merge(news(target, limited(4), -time.Minute)), "of an earlier incarnation")
}

func TestLimitsAreBounded(t *testing.T) {
	l, now := limits{}, time.Unix(1000, 0)
	for i := range maxLimits + 100 {
		l.observe(News{Target: Target{Name: fmt.Sprint(i)}, Limit: limited(1), HeardAt: now.Add(time.Duration(i))})
	}
	require.Len(t, l, maxLimits)
	require.NotContains(t, l, "0", "the one heard longest ago")
}

// newPair returns the throttlers of two daemons, the second of which owns all limits; deliver decides what happens to an ask.
func newPair(deliver func(answer func())) (asker, owner *Throttler) {
	asker, owner = New(timer.System{}), New(timer.System{})
	asker.Self, owner.Self = "a", "b"
	asker.Owner = func(Target) cataloger.Member { return cataloger.Member{Name: "b"} }
	owner.Owner = asker.Owner
	asker.Daemons = func() int { return 2 }
	asker.Send = func(_ cataloger.Member, a Ask) { deliver(func() { asker.HandleAnswer(owner.HandleAsk(a)) }) }
	return asker, owner
}

// countSends returns how many requests a throttler lets through in a time in which it is asked every 10 ms.
func countSends(t *Throttler, duration time.Duration) int {
	sent := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if t.Acquire(context.Background(), target, 0) {
			sent++
		}
	}
	return sent
}

// TestSendsWhileTheOwnerIsReached covers faults on the way to the owner: none makes a daemon send more than the limit, and only a lost
// owner makes it send much less.
func TestSendsWhileTheOwnerIsReached(t *testing.T) {
	const rate, duration = 10.0, 8 * time.Second
	drop := 0
	cases := []struct {
		name        string
		deliver     func(answer func())
		least, most float64
	}{
		{"answers at once", func(answer func()) { answer() }, 0.9, 1.1},
		{"answers late", func(answer func()) { time.AfterFunc(30*time.Millisecond, answer) }, 0.8, 1.1},
		{"answers too late", func(answer func()) { time.AfterFunc(2*askTimeout, answer) }, 0.05, 0.5},
		{"answers twice", func(answer func()) { answer(); answer() }, 0.4, 1.1},
		{"every third is lost", func(answer func()) {
			if drop++; drop%3 != 0 {
				answer()
			}
		}, 0.3, 1.1},
		{"is gone", func(func()) {}, 0.05, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asker, _ := newPair(c.deliver)
				asker.Observe(target, limited(rate))
				sent := float64(countSends(asker, duration))
				require.LessOrEqual(t, sent, c.most*rate*duration.Seconds()+burst(rate))
				require.GreaterOrEqual(t, sent, c.least*rate*duration.Seconds())
			})
		})
	}
}

func TestZeroMeansNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker, owner := newPair(func(answer func()) { answer() })
		asker.Observe(target, limited(0))
		require.Zero(t, countSends(asker, 10*time.Second))
		require.Positive(t, asker.State(target).Wait)
		require.Empty(t, owner.Silent(), "the owner has not heard of it")
		owner.Merge(asker.News(1)[0])
		require.Equal(t, []Target{target}, owner.Silent())
		require.Empty(t, owner.Silent(), "once in silenceTime")
		require.Empty(t, asker.Silent(), "only the owner asks the target")
	})
}

func TestHighRatesAreGrantedInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asks := 0
		asker, _ := newPair(func(answer func()) { asks++; answer() })
		asker.Observe(target, limited(10_000))
		sent := 0
		for range 2000 {
			if asker.Acquire(context.Background(), target, 0) {
				sent++
			}
			time.Sleep(time.Millisecond)
		}
		require.Greater(t, sent, 1900)
		require.Less(t, asks, sent/10, "one message for ten requests at most")
	})
}

// TestPermitsOfAPausedDaemonExpire guards against a daemon that was suspended and sends what it was granted long before.
func TestPermitsOfAPausedDaemonExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holding{target: target}
		require.True(t, h.apply(time.Now(), grant{permits: 10}))
		require.True(t, h.use(time.Now()))
		time.Sleep(permitLife)
		require.False(t, h.use(time.Now()))
	})
}

func TestUrgentRequestsGetTheLastPermits(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBucket(target, now)
	now = now.Add(time.Hour)
	const rate = 20.0
	first := 0
	for b.take(now, rate, 1, 0.5).permits > 0 {
		first++
	}
	rest := 0
	for b.take(now, rate, 1, 0).permits > 0 {
		rest++
	}
	require.Equal(t, int(math.Floor(burst(rate))), first+rest)
	require.GreaterOrEqual(t, rest, first-1, "half of the burst is left")
}

func TestUnlimitedTargetsCostNothing(t *testing.T) {
	asker, _ := newPair(func(func()) { require.Fail(t, "no ask without a limit") })
	require.True(t, asker.Acquire(t.Context(), target, 0))
	require.Nil(t, asker.States())
	require.Empty(t, asker.News(10))
}
