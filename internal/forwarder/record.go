package forwarder

import (
	"math"
	"time"
)

const (
	// recordGain is how far one attempt moves what is known of an instance, and recordTime the time over which that is
	// forgotten, so that the instance is tried again.
	recordGain = 0.3
	recordTime = 5 * time.Second
	// faultWeight is how much dearer an instance is that fails all attempts.
	faultWeight = 20
	// alike is the part by which the costs of instances may differ that are used in turn.
	alike = 1.3
	// usualGain is how far one attempt moves what is usual for a route, and maxRoutes bounds the routes that are remembered.
	usualGain = 0.05
	maxRoutes = 4096
)

// usual is what is usual for the attempts of one route over all instances; the zero value is of one that is not known.
type usual struct {
	latency time.Duration
	faults  float64
}

// Note takes in one attempt, and returns by how much it took longer, as a logarithm, and failed more than is usual.
func (u *usual) Note(took time.Duration, failed bool) (slower, fault float64) {
	took = max(took, time.Microsecond)
	if failed {
		fault = 1
	}
	if u.latency == 0 {
		u.latency = took
	}
	slower, excess := math.Log(float64(took)/float64(u.latency)), fault-u.faults
	u.latency += time.Duration(usualGain * float64(took-u.latency))
	u.faults += usualGain * excess
	return slower, max(excess, 0)
}

// record is how an instance answered lately beside others; the zero value is of one that is not known.
type record struct {
	// slower is a logarithm, and faults the share of failures beyond the usual ones, both as of at.
	slower float64
	faults float64
	at     time.Time
}

// Note takes in one attempt.
func (r *record) Note(now time.Time, slower, fault float64) {
	r.slower, r.faults = r.now(now)
	r.slower += recordGain * (slower - r.slower)
	r.faults += recordGain * (fault - r.faults)
	r.at = now
}

// now returns what is left of what is known.
func (r *record) now(now time.Time) (slower, faults float64) {
	weight := math.Exp(-max(now.Sub(r.at), 0).Seconds() / recordTime.Seconds())
	return r.slower * weight, r.faults * weight
}

// Cost returns what a request costs at the instance with so many in progress.
func (r *record) Cost(now time.Time, outstanding int) float64 {
	slower, faults := r.now(now)
	return float64(outstanding+1) * math.Exp(slower) * (1 + faultWeight*faults)
}
