package dispatcher

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// tailHalfLife is the time in which the longest gap seen counts for half.
	tailHalfLife = time.Minute
	// tailMargin is the multiple of the longest gap that is still no stall.
	tailMargin = 1.5
	maxTails   = 256
)

// gapTail remembers the longest gap that all streams of a model came back from lately; it is safe for concurrent use.
type gapTail struct {
	longest atomic.Pointer[longGap]
	// typical is the mean gap over all streams, as the bits of a float64 in seconds.
	typical atomic.Uint64
	gaps    atomic.Int64
}

const (
	// typicalGaps is how many gaps the mean over all streams goes back.
	typicalGaps = 256
	// leastTypical is how many gaps make the mean known.
	leastTypical = 32
	// typicalClamp is the multiple of the mean that a gap counts for at most.
	typicalClamp = 2
)

type longGap struct {
	gap time.Duration
	at  time.Time
}

func (g *longGap) now(now time.Time) time.Duration {
	if g == nil {
		return 0
	}
	return time.Duration(float64(g.gap) * math.Exp2(-now.Sub(g.at).Seconds()/tailHalfLife.Seconds()))
}

func (t *gapTail) observe(now time.Time, gap time.Duration) {
	old := t.longest.Load()
	if gap > old.now(now) {
		t.longest.CompareAndSwap(old, &longGap{gap, now})
	}
	bits := t.typical.Load()
	mean := math.Float64frombits(bits)
	n := t.gaps.Add(1)
	sample := gap.Seconds()
	if n > leastTypical {
		// One slow stream must not make its own pace the usual one.
		sample = min(sample, typicalClamp*mean)
	}
	mean += (sample - mean) / float64(min(n, typicalGaps))
	// An update lost to another stream does not matter.
	t.typical.CompareAndSwap(bits, math.Float64bits(mean))
}

// mean returns the mean gap over all streams in seconds, and whether it is known.
func (t *gapTail) mean() (float64, bool) {
	return math.Float64frombits(t.typical.Load()), t.gaps.Load() >= leastTypical
}

// least returns the shortest silence that may be a stall.
func (t *gapTail) least(now time.Time, least time.Duration) time.Duration {
	return max(least, time.Duration(tailMargin*float64(t.longest.Load().now(now))))
}

// gapTails holds one gapTail per model version.
type gapTails struct {
	mu    sync.Mutex
	tails map[[2]string]*gapTail
}

func newGapTails() *gapTails { return &gapTails{tails: make(map[[2]string]*gapTail)} }

func (g *gapTails) of(model, version string) *gapTail {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := [2]string{model, version}
	t := g.tails[key]
	if t == nil {
		if len(g.tails) >= maxTails {
			clear(g.tails)
		}
		t = &gapTail{}
		g.tails[key] = t
	}
	return t
}
