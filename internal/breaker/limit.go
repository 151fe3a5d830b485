package breaker

import (
	"math"
	"time"
)

const (
	defaultLimit       = 16
	defaultMaxLimit    = 1 << 14
	defaultTolerance   = 1.1
	defaultProbeEvery  = 2 * time.Minute
	minWindowSamples   = 20
	minWindow          = 100 * time.Millisecond
	probeShare         = 0.7
	overloadedShare    = 0.02
	overloadedDecrease = 0.9
	mostDecrease       = 0.5
	utilisedShare      = 0.8
)

// Limit is an adaptive concurrency limit for one target or one service.
//
// It compares the time per unit of cost in each window of one round of requests with the least seen while the limit
// was low, doubles until the time first grows, and from then on adds a little while the time stays within Tolerance
// and shrinks in proportion where it does not. It does no I/O and is not safe for concurrent use.
type Limit struct {
	Min, Max float64
	// Tolerance is the growth of the time per unit of cost that is taken as no queueing.
	Tolerance float64
	// ProbeEvery is how often the limit is lowered for a round, to learn the time without queueing anew.
	ProbeEvery time.Duration

	value    float64
	baseline float64
	starting bool
	skip     int
	probing  bool
	probed   time.Time

	opened     time.Time
	samples    int
	overloaded int
	elapsed    time.Duration
	cost       float64
	peak       int

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
		l.elapsed += elapsed
		l.cost += max(1, cost)
	}
	if l.samples < max(minWindowSamples, l.Value()) || now.Sub(l.opened) < minWindow {
		return
	}
	l.close(now)
	l.samples, l.overloaded, l.elapsed, l.cost, l.peak = 0, 0, 0, 0, 0
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
	if l.elapsed <= 0 {
		return
	}
	perCost := l.elapsed.Seconds() / l.cost
	l.learnRate(perCost)
	if l.probing {
		l.probing = false
		l.probed = now
		l.baseline = perCost
		l.skip = 1
		return
	}
	if l.baseline == 0 || perCost < l.baseline {
		l.baseline = perCost
	}
	l.adapt(perCost)
	if now.Sub(l.probed) >= l.ProbeEvery && !l.starting {
		l.probing = true
		l.skip = 1
	}
}

func (l *Limit) adapt(perCost float64) {
	if perCost > l.Tolerance*l.baseline {
		l.decrease(max(mostDecrease, l.Tolerance*l.baseline/perCost))
		return
	}
	if float64(l.peak) < utilisedShare*l.value {
		return
	}
	if l.starting {
		l.value = min(l.Max, 2*l.value)
		return
	}
	l.value = min(l.Max, l.value+max(1, math.Sqrt(l.value)/2))
}

// decrease also skips a window, which still holds requests from before.
func (l *Limit) decrease(by float64) {
	l.value = max(l.Min, l.value*by)
	l.starting = false
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
