package breaker

import (
	"math/rand/v2"
	"time"
)

const (
	// FailureThreshold is the number of failures in a row that open the breaker.
	FailureThreshold = 5
	// MinOpen is how long a breaker stays open the first time. It doubles each time, and up to half of it is taken off as jitter.
	MinOpen = 500 * time.Millisecond
	// MaxOpen bounds the time that a breaker stays open.
	MaxOpen = 30 * time.Second
	// SlowStartEnd is the number of requests in progress at which the slow start is over.
	SlowStartEnd = 64
)

// Breaker decides whether a target may get another request; its zero value is closed.
//
// It does no I/O and is not safe for concurrent use. Each Start is followed by one of Succeed, Fail, Pause and Abandon.
type Breaker struct {
	outstanding int
	failures    int
	// openUntil is when a target that failed or asked for a pause may get the next request.
	openUntil time.Time
	// trips counts how often the breaker has opened since the last success.
	trips int
	// slowStartLimit bounds the requests in progress during slow start; 0 means no limit.
	slowStartLimit int
}

// Allows reports whether the target may get another request.
func (b *Breaker) Allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return b.slowStartLimit == 0 || b.outstanding < b.slowStartLimit
}

// Outstanding returns the number of requests in progress.
func (b *Breaker) Outstanding() int { return b.outstanding }

// Start records that a request is sent.
func (b *Breaker) Start() { b.outstanding++ }

// Succeed records an answer; each one doubles the limit of a slow start.
func (b *Breaker) Succeed() {
	b.outstanding--
	b.failures = 0
	b.trips = 0
	if b.slowStartLimit > 0 {
		b.slowStartLimit *= 2
		if b.slowStartLimit >= SlowStartEnd {
			b.slowStartLimit = 0
		}
	}
}

// Fail records a failure of the target. The jitter from rng spreads the times at which breakers try their targets again.
func (b *Breaker) Fail(now time.Time, rng *rand.Rand) {
	b.outstanding--
	b.failures++
	// A failure of a request that began before the breaker opened does not open it again.
	if now.Before(b.openUntil) || (b.failures < FailureThreshold && b.slowStartLimit == 0) {
		return
	}
	d := min(MinOpen<<min(b.trips, 10), MaxOpen)
	b.openUntil = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2)+1)))
	b.trips++
	b.slowStartLimit = 1
}

// Pause records a refusal: the target is healthy but accepts no more requests for d, which is cut to MaxOpen.
func (b *Breaker) Pause(now time.Time, d time.Duration) {
	b.outstanding--
	if until := now.Add(min(d, MaxOpen)); until.After(b.openUntil) {
		b.openUntil = until
	}
}

// Abandon records that the caller of a request went away.
func (b *Breaker) Abandon() { b.outstanding-- }
