package breaker

import (
	"math"
	"time"
)

const (
	defaultLimit       = 16
	defaultMaxLimit    = 1 << 14
	defaultTolerance   = 1.05
	defaultProbeEvery  = 2 * time.Minute
	minWindowSamples   = 20
	minWindow          = 100 * time.Millisecond
	probeShare         = 0.7
	maxOverloadedShare = 0.02
	overloadedFactor   = 0.9
	minDecreaseFactor  = 0.5
	kneeMargin         = 0.98
	minUtilisation     = 0.8
	minStep            = 1.0 / 64
	maxStep            = 1.0 / 4
	stepGrowth         = 1.5
	noiseDeviations    = 2.0 // standard errors above the tolerance that indicate queueing
	baselineGain       = 0.5
)

// Limit is an adaptive concurrency limit for one target or one service.
//
// It compares the time per unit of cost in each window, which is one round of requests, with the baseline from rounds at a
// low limit. The limit doubles until the time first exceeds the baseline by more than Tolerance and the noise of the window.
// From then on it shrinks in proportion when the time grows, and otherwise grows by steps that increase from round to round.
// It does no I/O and is not safe for concurrent use.
type Limit struct {
	Min, Max float64
	// Tolerance is the factor over the baseline up to which the time per unit of cost does not indicate queueing.
	Tolerance float64
	// ProbeEvery is how often the limit is lowered for a round, to measure the time without queueing again.
	ProbeEvery time.Duration

	value       float64
	baseline    float64
	slowStart   bool
	step        float64
	skipWindows int
	probing     bool
	probedAt    time.Time

	windowStart    time.Time
	samples        int
	overloaded     int
	peakInProgress int
	sums           sums

	costRate float64
}

// NewLimit returns a limit that starts at initial requests in progress; 0 means the default of 16.
func NewLimit(initial int) *Limit {
	if initial <= 0 {
		initial = defaultLimit
	}
	return &Limit{
		Min:        1,
		Max:        defaultMaxLimit,
		Tolerance:  defaultTolerance,
		ProbeEvery: defaultProbeEvery,
		value:      float64(initial),
		slowStart:  true,
		step:       minStep,
	}
}

// Value returns the maximum number of requests in progress.
func (l *Limit) Value() int {
	v := l.value
	if l.probing {
		v *= probeShare
	}
	return int(min(l.Max, max(l.Min, v)))
}

// SetFloor sets Min and raises the limit to it; a limit that is at its floor also follows it down. A limit that has measured
// no round yet starts from the floor and without doubling: only from below can it measure the time without queueing, and
// the floor is already what the targets need.
func (l *Limit) SetFloor(floor float64) {
	atFloor := l.value <= l.Min
	l.Min = min(floor, l.Max)
	if atFloor || l.costRate == 0 && l.slowStart {
		l.value = l.Min
		l.slowStart = false
	}
	l.value = max(l.value, l.Min)
}

// Baseline returns the time per unit of cost in rounds at a low limit, in seconds; 0 before the first measurement.
func (l *Limit) Baseline() float64 { return l.baseline }

// CostRate returns the cost that each request in progress completes a second, averaged over the last rounds; 0 before the
// first measurement.
func (l *Limit) CostRate() float64 { return l.costRate }

// Observe records the end of a request; inProgress includes it.
func (l *Limit) Observe(now time.Time, elapsed time.Duration, cost float64, inProgress int, overloaded bool) {
	if l.samples == 0 {
		l.windowStart = now
	}
	l.samples++
	l.peakInProgress = max(l.peakInProgress, inProgress)
	if overloaded {
		l.overloaded++
	} else {
		l.sums.add(elapsed.Seconds(), max(1, cost))
	}
	if l.samples < max(minWindowSamples, l.Value()) || now.Sub(l.windowStart) < minWindow {
		return
	}
	l.closeWindow(now)
	l.samples, l.overloaded, l.peakInProgress, l.sums = 0, 0, 0, sums{}
}

func (l *Limit) closeWindow(now time.Time) {
	if l.probedAt.IsZero() {
		l.probedAt = now
	}
	if l.skipWindows > 0 {
		l.skipWindows--
		return
	}
	if float64(l.overloaded) > maxOverloadedShare*float64(l.samples) {
		l.decrease(overloadedFactor)
		return
	}
	perCost, noise := l.sums.ratio()
	if perCost <= 0 {
		return
	}
	l.updateCostRate(perCost)
	if l.probing {
		l.probing = false
		l.probedAt = now
		l.baseline += baselineGain * (perCost - l.baseline)
		l.skipWindows = 1
		return
	}
	if l.baseline == 0 || perCost+noiseDeviations*noise < l.baseline {
		l.baseline = perCost
	}
	l.adapt(perCost, noise)
	if now.Sub(l.probedAt) >= l.ProbeEvery && !l.slowStart {
		l.probing = true
		l.skipWindows = 1
	}
}

func (l *Limit) adapt(perCost, noise float64) {
	if perCost > l.Tolerance*l.baseline+noiseDeviations*noise {
		l.decrease(max(minDecreaseFactor, kneeMargin*l.baseline/perCost))
		return
	}
	if float64(l.peakInProgress) < minUtilisation*l.value {
		return
	}
	if l.slowStart {
		l.value = min(l.Max, 2*l.value)
		return
	}
	l.value = min(l.Max, l.value+max(1, l.step*l.value))
	l.step = min(maxStep, stepGrowth*l.step)
}

// decrease lowers the limit and skips the next window, which still includes requests from before.
func (l *Limit) decrease(factor float64) {
	l.value = max(l.Min, l.value*factor)
	l.slowStart = false
	l.step = minStep
	l.skipWindows = 1
}

func (l *Limit) updateCostRate(perCost float64) {
	const gain = 0.3
	rate := 1 / perCost
	if l.costRate == 0 {
		l.costRate = rate
		return
	}
	l.costRate += gain * (rate - l.costRate)
}

// sums accumulates the inputs for a ratio of sums and its standard error.
type sums struct {
	elapsed, cost          float64
	elapsed2, cost2, cross float64
}

func (s *sums) add(elapsed, cost float64) {
	s.elapsed += elapsed
	s.cost += cost
	s.elapsed2 += elapsed * elapsed
	s.cost2 += cost * cost
	s.cross += elapsed * cost
}

// ratio returns the elapsed seconds per unit of cost and the standard error.
func (s *sums) ratio() (perCost, noise float64) {
	if s.cost <= 0 {
		return 0, 0
	}
	r := s.elapsed / s.cost
	residual := s.elapsed2 - 2*r*s.cross + r*r*s.cost2
	return r, math.Sqrt(max(0, residual)) / s.cost
}
