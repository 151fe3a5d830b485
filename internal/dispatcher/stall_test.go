package dispatcher

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stallEstimator is an estimator to be compared.
type stallEstimator interface {
	observe(gap time.Duration)
	bound(least, most time.Duration) time.Duration
}

type fixedBound time.Duration

func (fixedBound) observe(time.Duration)                    {}
func (f fixedBound) bound(_, _ time.Duration) time.Duration { return time.Duration(f) }

// paperBound is the estimator of section 6.1.3 of the Sync-MS paper: mean + N * variance with N from the latest gap.
type paperBound struct {
	mean, variance float64
	n              float64
	gaps           int
}

func (p *paperBound) observe(gap time.Duration) {
	s := gap.Seconds()
	p.gaps++
	if p.gaps == 1 {
		p.mean, p.variance, p.n = s, s/2, 4
		return
	}
	latest := math.Abs(s - p.mean)
	switch {
	case latest > p.variance:
		p.n = 4
	case latest >= p.variance/2:
		p.n = 2
	default:
		p.n = 1
	}
	p.mean += (s - p.mean) / 8
	p.variance += (latest - p.variance) / 4
}

func (p *paperBound) bound(minBound, maxBound time.Duration) time.Duration {
	if p.gaps < warmUpGaps {
		return maxBound
	}
	return min(max(time.Duration((p.mean+p.n*p.variance)*float64(time.Second)), minBound), maxBound)
}

// quantileBound is an estimator that multiplies a high quantile of the last gaps.
type quantileBound struct {
	last []time.Duration
	next int
}

const quantileWindow = 128

func (q *quantileBound) observe(gap time.Duration) {
	if len(q.last) < quantileWindow {
		q.last = append(q.last, gap)
		return
	}
	q.last[q.next] = gap
	q.next = (q.next + 1) % quantileWindow
}

func (q *quantileBound) bound(minBound, maxBound time.Duration) time.Duration {
	if len(q.last) < warmUpGaps {
		return maxBound
	}
	sorted := slices.Clone(q.last)
	slices.Sort(sorted)
	return min(max(sorted[len(sorted)*99/100]*2, minBound), maxBound)
}

func stallEstimators() map[string]func() stallEstimator {
	return map[string]func() stallEstimator{
		"fixed-2s":       func() stallEstimator { return fixedBound(2 * time.Second) },
		"fixed-500ms":    func() stallEstimator { return fixedBound(500 * time.Millisecond) },
		"paper":          func() stallEstimator { return &paperBound{} },
		"quantile-99-x2": func() stallEstimator { return &quantileBound{} },
		"mean-deviation": func() stallEstimator { return &gapEstimator{} },
		"shared-tail":    newCombinedBounds(),
	}
}

// combinedBound is the estimator in use: mean and mean deviation of the stream, and the longest gap of all streams.
type combinedBound struct {
	gapEstimator
	shared *modelGaps
	now    time.Time
}

func (b *combinedBound) observe(gap time.Duration) {
	b.now = b.now.Add(gap)
	b.gapEstimator.observe(gap)
	b.shared.observe(b.now, gap)
}

func (b *combinedBound) bound(minBound, maxBound time.Duration) time.Duration {
	return b.gapEstimator.bound(b.shared.minStall(b.now, minBound), maxBound)
}

func newCombinedBounds() func() stallEstimator {
	tail, start := &modelGaps{}, time.Unix(1_000_000, 0)
	return func() stallEstimator { return &combinedBound{shared: tail, now: start} }
}

// gapPatterns are kinds of streams; each returns the gap at position i in seconds.
var gapPatterns = map[string]func(rng *rand.Rand, i int) float64{
	"steady":      func(rng *rand.Rand, _ int) float64 { return 0.020 + 0.002*rng.NormFloat64() },
	"exponential": func(rng *rand.Rand, _ int) float64 { return 0.020 * rng.ExpFloat64() },
	"two-speed": func(rng *rand.Rand, _ int) float64 {
		if rng.IntN(20) == 0 {
			return 0.180
		}
		return 0.018
	},
	"lognormal": func(rng *rand.Rand, _ int) float64 { return 0.015 * math.Exp(rng.NormFloat64()) },
	"drift":     func(rng *rand.Rand, i int) float64 { return (0.020 + 0.0004*float64(i)) * (0.8 + 0.4*rng.Float64()) },
	"pauses": func(rng *rand.Rand, _ int) float64 {
		if rng.IntN(500) == 0 {
			return 0.300
		}
		return 0.020 + 0.004*rng.Float64()
	},
}

// falseAlarms runs streams of 256 gaps and returns the false alarms per thousand streams and the mean time to detect a stall, in seconds.
func falseAlarms(newEstimator func() stallEstimator, gap func(rng *rand.Rand, i int) float64, minBound time.Duration) (perThousand, detect float64) {
	const streams, gaps = 1000, 256
	rng := rand.New(rand.NewPCG(3, 5))
	alarms, bounds, n := 0, 0.0, 0
	for range streams {
		b := newEstimator()
		for i := range gaps {
			limit := b.bound(minBound, DefaultMaxStall)
			bounds += limit.Seconds()
			n++
			d := time.Duration(max(gap(rng, i), 0) * float64(time.Second))
			if d > limit {
				alarms++
				break
			}
			b.observe(d)
		}
	}
	return float64(alarms), bounds / float64(n)
}

func BenchmarkStall(b *testing.B) {
	for _, minBound := range []time.Duration{0, DefaultMinStall} {
		for kind, gap := range gapPatterns {
			for name, newEstimator := range stallEstimators() {
				b.Run(minBound.String()+"/"+kind+"/"+name, func(b *testing.B) {
					var alarms, detect float64
					for b.Loop() {
						alarms, detect = falseAlarms(newEstimator, gap, minBound)
					}
					b.ReportMetric(alarms, "false-per-1000-streams")
					b.ReportMetric(detect*1000, "ms-to-detect")
				})
			}
		}
	}
}

func TestStallEstimatorFalseAlarmsAndDetectionTime(t *testing.T) {
	for kind, gap := range gapPatterns {
		alarms, detect := falseAlarms(newCombinedBounds(), gap, DefaultMinStall)
		require.LessOrEqual(t, alarms, 5.0, kind)
		require.Less(t, detect, DefaultMaxStall.Seconds(), kind)
	}
}

func TestStallBoundStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g gapEstimator
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			g.observe(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "gap")))
			bound := g.bound(DefaultMinStall, DefaultMaxStall)
			require.GreaterOrEqual(t, bound, DefaultMinStall)
			require.LessOrEqual(t, bound, DefaultMaxStall)
		}
	})
}

func TestBudgetsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudgets()
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		earned, spent := 0, 0
		key := budgetKey{"w", "s"}
		other := budgetKey{"w2", "s"}
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(*rapid.T) { b.earn(key, share); earned++ },
			"spend": func(*rapid.T) {
				if b.spend(key, share) {
					spent++
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(spent), budgetBurst+float64(earned)*share+1e-9)
			},
		})
		require.True(t, b.spend(other, share), "each workspace has its own budget")
	})
	require.False(t, newBudgets().spend(budgetKey{}, -1))
}
