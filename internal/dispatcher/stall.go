package dispatcher

import (
	"math"
	"time"
)

// Gap estimator constants.
const (
	// DefaultMaxStall is the maximum silence of a stream after its first token; with the health check that follows, that
	// is under 2 s.
	DefaultMaxStall = 1800 * time.Millisecond
	// DefaultMinStall keeps short pauses of fast streams from counting as stalls.
	DefaultMinStall = 400 * time.Millisecond
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	// stallDeviations is the margin above the mean gap, in mean deviations.
	stallDeviations = 8
	// minStallMeans is the minimum bound, in mean gaps.
	minStallMeans = 4
	warmUpGaps    = 4
)

// gapEstimator estimates the maximum gap between the tokens of a stream from their mean and mean deviation.
type gapEstimator struct {
	mean      float64
	deviation float64
	gaps      int
}

// observe records one gap.
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

// bound returns the gap beyond which the stream counts as stalled, between minBound and maxBound.
func (g *gapEstimator) bound(minBound, maxBound time.Duration) time.Duration {
	if g.gaps < warmUpGaps {
		return maxBound
	}
	s := math.Max(g.mean+stallDeviations*g.deviation, minStallMeans*g.mean)
	return min(max(time.Duration(s*float64(time.Second)), minBound), maxBound)
}
