package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longestGapHalfLife is the half-life of the longest gap.
	longestGapHalfLife = time.Minute
	// longestGapMargin is the multiple of the longest gap up to which a silence is not a stall.
	longestGapMargin = 1.5
	maxModels        = 256
)

// modelGaps holds the longest recent gap after which a stream of a model version continued, and the mean gap, over all
// streams. It is safe for concurrent use.
type modelGaps struct {
	longest atomic.Pointer[longGap]
	// meanBits is the mean gap over all streams, as the bits of a float64 in seconds.
	meanBits atomic.Uint64
	gaps     atomic.Int64
}

const (
	// meanWindow is how many recent gaps the mean over all streams covers.
	meanWindow = 256
	// minMeanGaps is how many gaps are needed for a valid mean.
	minMeanGaps = 32
	// maxSampleMeans limits how much one gap adds to the mean, in multiples of the mean.
	maxSampleMeans = 2
)

type longGap struct {
	gap time.Duration
	at  time.Time
}

func (g *longGap) decayed(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	return time.Duration(float64(g.gap) * math.Exp2(-now.Sub(g.at).Seconds()/longestGapHalfLife.Seconds()))
}

func (t *modelGaps) observe(now time.Time, gap time.Duration) {
	old := t.longest.Load()
	if gap > old.decayed(now) {
		t.longest.CompareAndSwap(old, &longGap{gap, now})
	}
	bits := t.meanBits.Load()
	mean := math.Float64frombits(bits)
	n := t.gaps.Add(1)
	sample := gap.Seconds()
	if n > minMeanGaps {
		// One slow stream must not raise the mean to its own pace.
		sample = min(sample, maxSampleMeans*mean)
	}
	mean += (sample - mean) / float64(min(n, meanWindow))
	// Losing an update to another stream is harmless.
	t.meanBits.CompareAndSwap(bits, math.Float64bits(mean))
}

// mean returns the mean gap over all streams in seconds, and whether it covers enough gaps to be valid.
func (t *modelGaps) mean() (float64, bool) {
	return math.Float64frombits(t.meanBits.Load()), t.gaps.Load() >= minMeanGaps
}

// minStall returns the shortest silence that may be a stall, at least minBound.
func (t *modelGaps) minStall(now time.Time, minBound time.Duration) time.Duration {
	return max(minBound, time.Duration(longestGapMargin*float64(t.longest.Load().decayed(now))))
}

// gapRegistry holds the modelGaps of each model version.
type gapRegistry struct {
	mu     sync.Mutex
	models map[[2]string]*modelGaps
}

func newGapRegistry() *gapRegistry { return &gapRegistry{models: make(map[[2]string]*modelGaps)} }

func (g *gapRegistry) get(model, version string) *modelGaps {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := [2]string{model, version}
	t := g.models[key]
	if t == nil {
		if len(g.models) >= maxModels {
			clear(g.models)
		}
		t = &modelGaps{}
		g.models[key] = t
	}
	return t
}
