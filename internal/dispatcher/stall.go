package dispatcher

import (
	"math"
	"time"
)

// Gap estimator constants.
const (
	// DefaultMaxStall bounds how long a silent stream is waited for after its first token; with the probe after it, that is under 2 s.
	DefaultMaxStall = 1800 * time.Millisecond
	// DefaultMinStall keeps short pauses of fast streams from counting as stalls.
	DefaultMinStall = 400 * time.Millisecond
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	// stallMargin is in mean deviations.
	stallMargin = 8
	// stallMeans is the least bound, in mean gaps.
	stallMeans = 4
	warmUpGaps = 4
)

// gapEstimator bounds the gap between tokens by their mean and mean deviation.
type gapEstimator struct {
	mean      float64
	deviation float64
	gaps      int
}

// observe takes in one gap.
func (g *gapEstimator) observe(gap time.Duration) {
	s := gap.Seconds()
	g.gaps++
	if g.gaps == 1 {
		g.mean, g.deviation = s, s/2
		return
	}
	d := math.Abs(s - g.mean)
	g.mean += meanGain * (s - g.mean)
	g.deviation += deviationGain * (d - g.deviation)
}

// bound returns the gap beyond which the stream counts as stalled, between least and most.
func (g *gapEstimator) bound(least, most time.Duration) time.Duration {
	if g.gaps < warmUpGaps {
		return most
	}
	s := math.Max(g.mean+stallMargin*g.deviation, stallMeans*g.mean)
	return min(max(time.Duration(s*float64(time.Second)), least), most)
}
