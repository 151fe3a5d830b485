package forwarder

import (
	"math"
	"time"
)

const (
	// performanceGain is the weight of one attempt in the performance of an instance, and performanceDecay the time constant with
	// which the performance returns to that of an unknown instance, so that a bad instance is tried again.
	performanceGain  = 0.3
	performanceDecay = 5 * time.Second
	// failureWeight is the relative increase in cost of an instance that fails all attempts.
	failureWeight = 20
	// costTolerance is the ratio to the lowest cost up to which instances share the load at random.
	costTolerance = 1.3
	// baselineGain is the weight of one attempt in the baseline of a route, and maxRoutes the maximum number of tracked routes.
	baselineGain = 0.05
	maxRoutes    = 4096
)

// routeBaseline is the smoothed latency and failure rate of one route over all instances; the zero value is an unknown route.
type routeBaseline struct {
	latency     time.Duration
	failureRate float64
}

// Observe records one attempt and returns the logarithm of its duration relative to the baseline, and its failure beyond the
// baseline's failure rate.
func (u *routeBaseline) Observe(took time.Duration, failed bool) (logSlowdown, failure float64) {
	took = max(took, time.Microsecond)
	if failed {
		failure = 1
	}
	if u.latency == 0 {
		u.latency = took
	}
	logSlowdown, excess := math.Log(float64(took)/float64(u.latency)), failure-u.failureRate
	u.latency += time.Duration(baselineGain * float64(took-u.latency))
	u.failureRate += baselineGain * excess
	return logSlowdown, max(excess, 0)
}

// performance is the recent performance of an instance relative to the others; the zero value is an unknown instance.
type performance struct {
	// logSlowdown is the logarithm of the latency relative to the baseline, and excessFailures the failure rate beyond the baseline,
	// both as of updatedAt.
	logSlowdown    float64
	excessFailures float64
	updatedAt      time.Time
}

// Observe records one attempt, given its result relative to the baseline of its route.
func (r *performance) Observe(now time.Time, logSlowdown, excessFailure float64) {
	r.logSlowdown, r.excessFailures = r.decayed(now)
	r.logSlowdown += performanceGain * (logSlowdown - r.logSlowdown)
	r.excessFailures += performanceGain * (excessFailure - r.excessFailures)
	r.updatedAt = now
}

// decayed returns the performance after its decay until now.
func (r *performance) decayed(now time.Time) (logSlowdown, excessFailures float64) {
	weight := math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds() / performanceDecay.Seconds())
	return r.logSlowdown * weight, r.excessFailures * weight
}

// Cost returns the expected cost of a request at the instance with the given number in progress; an idle unknown instance costs 1.
func (r *performance) Cost(now time.Time, outstanding int) float64 {
	logSlowdown, excessFailures := r.decayed(now)
	return float64(outstanding+1) * math.Exp(logSlowdown) * (1 + failureWeight*excessFailures)
}
