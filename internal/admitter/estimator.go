package admitter

import "time"

const (
	ratioGain     = 0.05
	ratioMargin   = 1.0 // deviations added to the mean
	leastRatio    = 0.5
	mostRatio     = 3.0
	ratioHalfLife = 5 * time.Second
)

// estimator corrects expected times by how requests really went.
type estimator struct {
	mean, deviation float64
	last            time.Time
}

func (e *estimator) observe(now time.Time, expected, elapsed time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(mostRatio, elapsed.Seconds()/expected.Seconds())
	if e.last.IsZero() {
		e.mean = ratio
		e.last = now
		return
	}
	diff := ratio - e.mean
	e.mean += ratioGain * diff
	e.deviation += ratioGain * (max(diff, -diff) - e.deviation)
	e.last = now
}

// correct returns the time to expect; without news it returns to the uncorrected one, so that a bad estimate cannot last.
func (e *estimator) correct(now time.Time, expected time.Duration) time.Duration {
	if e.last.IsZero() {
		return expected
	}
	ratio := max(leastRatio, min(mostRatio, e.mean+ratioMargin*e.deviation))
	age := float64(now.Sub(e.last)) / float64(ratioHalfLife)
	trust := 1 / (1 + max(0, age))
	ratio = 1 + (ratio-1)*trust
	return time.Duration(float64(expected) * ratio)
}
