package throttler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstTime is how much of its rate a target may get at once after a time with fewer requests, beside burstPermits.
	burstTime    = 500 * time.Millisecond
	burstPermits = 1
	// minWait and maxWait bound the time after which a daemon may ask again for a permit that it did not get.
	minWait = 20 * time.Millisecond
	maxWait = 2 * time.Second
	// contentionTime is the time over which refused requests for permits count as contention.
	contentionTime = time.Second
)

// bucket is the token bucket of one incarnation of a target, kept by the daemon that owns its limit. It is not safe for concurrent
// use.
type bucket struct {
	target Target
	tokens float64
	// refilledAt is when tokens was last brought up to date.
	refilledAt time.Time
	// refused is the number of refused requests for permits, which decays over contentionTime.
	refused float64
}

// grant is the owner's answer to a request for permits.
type grant struct {
	permits int
	// wait is the time after which it makes sense to ask again; 0 if permits were granted.
	wait time.Duration
	// fill is the share of the burst that is used.
	fill float64
}

// newBucket returns an empty bucket, as an earlier owner may have granted a burst just before.
func newBucket(target Target, now time.Time) *bucket { return &bucket{target: target, refilledAt: now} }

// burst returns the size of a bucket for a rate.
func burst(rate float64) float64 { return burstPermits + rate*burstTime.Seconds() }

// take takes up to wanted permits at a rate. It leaves the share reserve of the burst, in [0,1), to more urgent requests.
func (b *bucket) take(now time.Time, rate float64, wanted int, reserve float64) grant {
	elapsed := max(now.Sub(b.refilledAt), 0)
	b.refilledAt = now
	size := burst(rate)
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), size)
	b.refused *= math.Exp(-elapsed.Seconds() / contentionTime.Seconds())
	left := reserve * (size - burstPermits)
	if free := int(math.Floor(b.tokens - left)); free > 0 {
		permits := min(free, max(wanted, 1))
		b.tokens -= float64(permits)
		return grant{permits: permits, fill: 1 - b.tokens/size}
	}
	b.refused++
	// The more daemons are refused, the later each asks again, so that the cost of asking is bounded.
	wait := max(1+left-b.tokens, b.refused*(0.5+rand.Float64())) / rate
	return grant{wait: toWait(wait), fill: 1 - b.tokens/size}
}

// toWait returns a number of seconds as a wait within bounds.
func toWait(seconds float64) time.Duration {
	if !(seconds < maxWait.Seconds()) {
		return maxWait
	}
	return max(time.Duration(seconds*float64(time.Second)), minWait)
}
