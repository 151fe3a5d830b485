package admitter

import "time"

const (
	ratioGain      = 0.05
	ratioQuantile  = 0.98
	quantileGain   = 0.01
	leastDeviation = 0.05 // of the mean
	leastRatio     = 0.5
	mostRatio      = 32.0
	ratioHalfLife  = 5 * time.Second
)

// estimator corrects expected times by how requests really went, by their mean and by a high quantile.
type estimator struct {
	mean, deviation, high float64
	last                  time.Time
}

func (e *estimator) observe(now time.Time, expected, elapsed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(mostRatio, elapsed.Seconds()/expected.Seconds())
	if e.last.IsZero() {
		e.mean, e.high = ratio, ratio
	}
	e.last = now
	diff := ratio - e.mean
	e.mean += ratioGain * diff
	e.deviation += ratioGain * (max(diff, -diff) - e.deviation)
	// Stochastic approximation: in balance where one in fifty is above.
	step := quantileGain * max(e.deviation, leastDeviation*e.mean)
	if ratio > e.high {
		e.high += step * ratioQuantile / (1 - ratioQuantile)
	} else {
		e.high -= step
	}
	e.high = max(e.high, e.mean)
}

// correct returns the mean and the high time to expect; without news both return to the uncorrected one, so that a bad
// estimate cannot last.
func (e *estimator) correct(now time.Time, expected time.Duration) (mean, high time.Duration) {
	if e.last.IsZero() {
		return expected, expected
	}
	age := float64(now.Sub(e.last)) / float64(ratioHalfLife)
	trust := 1 / (1 + max(0, age))
	scale := func(ratio float64) time.Duration {
		ratio = max(leastRatio, min(mostRatio, ratio))
		return time.Duration(float64(expected) * (1 + (ratio-1)*trust))
	}
	return scale(e.mean), scale(e.high)
}

const (
	throughputWindow = time.Second
	// throughputFade is the part of the difference by which the highest rate comes down to a lower one in a window.
	throughputFade = 0.05
)

// throughput is the cost a second that the targets can finish for this entry: what they are known to be able to, or more
// where more was seen.
type throughput struct {
	// stated is worked out from the targets; 0 where it is not known.
	stated float64

	seen   float64
	opened time.Time
	cost   float64
}

// finished takes the cost of a request that ended.
func (t *throughput) finished(now time.Time, cost float64) {
	if t.opened.IsZero() {
		t.opened = now
	}
	t.cost += cost
	elapsed := now.Sub(t.opened)
	if elapsed < throughputWindow {
		return
	}
	rate := t.cost / elapsed.Seconds()
	t.seen = max(rate, t.seen-throughputFade*(t.seen-rate))
	t.opened, t.cost = now, 0
}

// most returns the cost a second to reckon with, 0 where nothing is known.
func (t *throughput) most() float64 {
	if t.stated <= 0 {
		return 0
	}
	return max(t.stated, t.seen)
}
