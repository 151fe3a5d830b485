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
	overloadedShare    = 0.02
	overloadedDecrease = 0.9
	mostDecrease       = 0.5
	belowKnee          = 0.98
	utilisedShare      = 0.8
	leastStep          = 1.0 / 64
	mostStep           = 1.0 / 4
	stepGrowth         = 1.5
	deviations         = 2.0 // standard errors above the tolerance that count as queueing
	baselineGain       = 0.5
)

// Limit is an adaptive concurrency limit for one target or one service.
//
// It compares the time per unit of cost in each window of one round of requests with that of rounds at a low limit.
// It doubles until the time first grows by more than Tolerance and the noise of the window; then it shrinks in
// proportion where the time grows, and adds steps that grow from round to round where it does not. It does no I/O and
// is not safe for concurrent use.
type Limit struct {
	Min, Max float64
	// Tolerance is the growth of the time per unit of cost that is taken as no queueing.
	Tolerance float64
	// ProbeEvery is how often the limit is lowered for a round, to learn the time without queueing anew.
	ProbeEvery time.Duration

	value    float64
	baseline float64
	starting bool
	step     float64
	skip     int
	probing  bool
	probed   time.Time

	opened     time.Time
	samples    int
	overloaded int
	peak       int
	sums       sums

	costRate float64
}

// NewLimit returns a limit that starts at initial requests in progress; 0 takes the default of 16.
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
		starting:   true,
		step:       leastStep,
	}
}

// Value is how many requests may be in progress.
func (l *Limit) Value() int {
	v := l.value
	if l.probing {
		v *= probeShare
	}
	return int(min(l.Max, max(l.Min, v)))
}

// SetFloor sets Min and raises the limit to it; a limit that is at its floor follows it down as well. A limit that has
// seen no round yet starts from there and without doubling: from below it sees the time without queueing, which it could
// not from above, and the floor is already what the targets need.
func (l *Limit) SetFloor(floor float64) {
	atFloor := l.value <= l.Min
	l.Min = min(floor, l.Max)
	if atFloor || l.costRate == 0 && l.starting {
		l.value = l.Min
		l.starting = false
	}
	l.value = max(l.value, l.Min)
}

// Baseline is the time per unit of cost in rounds at a low limit, in seconds; 0 while it is not known.
func (l *Limit) Baseline() float64 { return l.baseline }

// CostRate is the cost finished a second by each request in progress, over the last rounds; 0 while it is not known.
func (l *Limit) CostRate() float64 { return l.costRate }

// Observe takes the end of a request; inProgress counts it.
func (l *Limit) Observe(now time.Time, elapsed time.Duration, cost float64, inProgress int, overloaded bool) {
	if l.samples == 0 {
		l.opened = now
	}
	l.samples++
	l.peak = max(l.peak, inProgress)
	if overloaded {
		l.overloaded++
	} else {
		l.sums.add(elapsed.Seconds(), max(1, cost))
	}
	if l.samples < max(minWindowSamples, l.Value()) || now.Sub(l.opened) < minWindow {
		return
	}
	l.close(now)
	l.samples, l.overloaded, l.peak, l.sums = 0, 0, 0, sums{}
}

func (l *Limit) close(now time.Time) {
	if l.probed.IsZero() {
		l.probed = now
	}
	if l.skip > 0 {
		l.skip--
		return
	}
	if float64(l.overloaded) > overloadedShare*float64(l.samples) {
		l.decrease(overloadedDecrease)
		return
	}
	perCost, noise := l.sums.ratio()
	if perCost <= 0 {
		return
	}
	l.learnRate(perCost)
	if l.probing {
		l.probing = false
		l.probed = now
		l.baseline += baselineGain * (perCost - l.baseline)
		l.skip = 1
		return
	}
	if l.baseline == 0 || perCost+deviations*noise < l.baseline {
		l.baseline = perCost
	}
	l.adapt(perCost, noise)
	if now.Sub(l.probed) >= l.ProbeEvery && !l.starting {
		l.probing = true
		l.skip = 1
	}
}

func (l *Limit) adapt(perCost, noise float64) {
	if perCost > l.Tolerance*l.baseline+deviations*noise {
		l.decrease(max(mostDecrease, belowKnee*l.baseline/perCost))
		return
	}
	if float64(l.peak) < utilisedShare*l.value {
		return
	}
	if l.starting {
		l.value = min(l.Max, 2*l.value)
		return
	}
	l.value = min(l.Max, l.value+max(1, l.step*l.value))
	l.step = min(mostStep, stepGrowth*l.step)
}

// decrease also skips a window, which still holds requests from before.
func (l *Limit) decrease(by float64) {
	l.value = max(l.Min, l.value*by)
	l.starting = false
	l.step = leastStep
	l.skip = 1
}

func (l *Limit) learnRate(perCost float64) {
	const gain = 0.3
	rate := 1 / perCost
	if l.costRate == 0 {
		l.costRate = rate
		return
	}
	l.costRate += gain * (rate - l.costRate)
}

// sums holds what a ratio of sums and its standard error are made from.
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
