package breaker

import (
	"math/rand/v2"
	"time"
)

const (
	// Failures in a row open the breaker.
	FailureThreshold = 5
	// MinOpen is the first time that a breaker stays open; it doubles, and half of it is jitter.
	MinOpen = 500 * time.Millisecond
	// MaxOpen bounds the time that a breaker stays open.
	MaxOpen = 30 * time.Second
	// SlowStartEnd is the number of requests in progress at which the slow start is over.
	SlowStartEnd = 64
)

// Breaker decides whether a target takes a request; its zero value is closed.
//
// It does no I/O and is not safe for concurrent use. Each Start is followed by one of Succeed, Fail, Pause and Abandon.
type Breaker struct {
	outstanding int
	failures    int
	// openUntil is when the next probe may go to a target that failed or asked for a pause.
	openUntil time.Time
	// trips counts how often the breaker opened without a success between.
	trips int
	// limit bounds the requests in progress during slow start; 0 is no limit.
	limit int
}

// Allows tells whether the target may take another request.
func (b *Breaker) Allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return b.limit == 0 || b.outstanding < b.limit
}

// Outstanding is how many requests are in progress.
func (b *Breaker) Outstanding() int { return b.outstanding }

// Start takes a request that is sent.
func (b *Breaker) Start() { b.outstanding++ }

// Succeed takes an answer; a target that was off doubles its share with each.
func (b *Breaker) Succeed() {
	b.outstanding--
	b.failures = 0
	b.trips = 0
	if b.limit > 0 {
		b.limit *= 2
		if b.limit >= SlowStartEnd {
			b.limit = 0
		}
	}
}

// Fail takes a failure of the target; rng spreads the times at which breakers try their targets again.
func (b *Breaker) Fail(now time.Time, rng *rand.Rand) {
	b.outstanding--
	b.failures++
	// A failure of a request that began before the breaker opened does not open it again.
	if now.Before(b.openUntil) || (b.failures < FailureThreshold && b.limit == 0) {
		return
	}
	d := min(MinOpen<<min(b.trips, 10), MaxOpen)
	b.openUntil = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2)+1)))
	b.trips++
	b.limit = 1
}

// Pause takes a refusal: the target is well but wants no more for a while.
func (b *Breaker) Pause(now time.Time, d time.Duration) {
	b.outstanding--
	if until := now.Add(min(d, MaxOpen)); until.After(b.openUntil) {
		b.openUntil = until
	}
}

// Abandon takes a request whose caller went away.
func (b *Breaker) Abandon() { b.outstanding-- }
