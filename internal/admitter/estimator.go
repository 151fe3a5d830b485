package admitter

import "time"

const (
	ratioGain     = 0.05
	ratioQuantile = 0.98
	quantileGain  = 0.01
	minDeviation  = 0.05 // fraction of the mean
	minRatio      = 0.5
	maxRatio      = 4.0
	ratioHalfLife = 5 * time.Second
)

// estimator corrects expected durations by the ratio of actual to expected durations, as a mean and a high quantile.
type estimator struct {
	mean, deviation, high float64
	lastObserved          time.Time
}

func (e *estimator) observe(now time.Time, expected, elapsed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxRatio, elapsed.Seconds()/expected.Seconds())
	if e.lastObserved.IsZero() {
		e.mean, e.high = ratio, ratio
	}
	e.lastObserved = now
	diff := ratio - e.mean
	e.mean += ratioGain * diff
	e.deviation += ratioGain * (max(diff, -diff) - e.deviation)
	// Stochastic approximation: stable when one in fifty ratios is above.
	step := quantileGain * max(e.deviation, minDeviation*e.mean)
	if ratio > e.high {
		e.high += step * ratioQuantile / (1 - ratioQuantile)
	} else {
		e.high -= step
	}
	e.high = max(e.high, e.mean)
}

// correct returns the mean and the high quantile of the duration. Without new observations both decay to the uncorrected
// duration, so that a bad estimate cannot last.
func (e *estimator) correct(now time.Time, expected time.Duration) (mean, high time.Duration) {
	if e.lastObserved.IsZero() {
		return expected, expected
	}
	age := float64(now.Sub(e.lastObserved)) / float64(ratioHalfLife)
	trust := 1 / (1 + max(0, age))
	scale := func(ratio float64) time.Duration {
		ratio = max(minRatio, min(maxRatio, ratio))
		return time.Duration(float64(expected) * (1 + (ratio-1)*trust))
	}
	return scale(e.mean), scale(e.high)
}

const (
	throughputWindow = time.Second
	// throughputDecay is the fraction of the difference by which the observed rate decays to a lower one in each window.
	throughputDecay = 0.05
)

// throughput is the cost per second that the targets can finish for this entry: the estimate, or the observed rate if that
// is higher.
type throughput struct {
	// estimated is computed from the targets; 0 if unknown.
	estimated float64

	observed    float64
	windowStart time.Time
	windowCost  float64
}

// recordFinished adds the cost of a finished request.
func (t *throughput) recordFinished(now time.Time, cost float64) {
	if t.windowStart.IsZero() {
		t.windowStart = now
	}
	t.windowCost += cost
	elapsed := now.Sub(t.windowStart)
	if elapsed < throughputWindow {
		return
	}
	rate := t.windowCost / elapsed.Seconds()
	t.observed = max(rate, t.observed-throughputDecay*(t.observed-rate))
	t.windowStart, t.windowCost = now, 0
}

// costRate returns the cost per second, or 0 if there is no estimate.
func (t *throughput) costRate() float64 {
	if t.estimated <= 0 {
		return 0
	}
	return max(t.estimated, t.observed)
}
