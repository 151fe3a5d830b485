package forwarder

import (
	"math/rand/v2"
	"time"
)

const (
	// breakerFailures is how many failures in a row open the breaker.
	breakerFailures = 5
	minOpen         = 500 * time.Millisecond
	maxOpen         = 30 * time.Second
	// slowStartEnd is the number of requests in progress at which slow start is over.
	slowStartEnd = 64
)

// breaker decides whether an instance takes a request; it is a pure state machine over outcomes and time.
type breaker struct {
	outstanding int
	failures    int
	// openUntil is when the next probe may go to an instance that failed or asked for a pause.
	openUntil time.Time
	// trips counts how often the breaker opened without a success between.
	trips int
	// limit bounds the requests in progress during slow start; 0 is no limit.
	limit int
}

// allows tells whether the instance may take another request.
func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return b.limit == 0 || b.outstanding < b.limit
}

func (b *breaker) start() { b.outstanding++ }

// succeed takes an answer; an instance that was off doubles its share with each.
func (b *breaker) succeed() {
	b.outstanding--
	b.failures = 0
	b.trips = 0
	if b.limit > 0 {
		b.limit *= 2
		if b.limit >= slowStartEnd {
			b.limit = 0
		}
	}
}

// fail takes a failure of the instance.
func (b *breaker) fail(now time.Time, rng *rand.Rand) {
	b.outstanding--
	b.failures++
	// A failure of a request that began before the breaker opened does not open it again.
	if now.Before(b.openUntil) || (b.failures < breakerFailures && b.limit == 0) {
		return
	}
	d := min(minOpen<<min(b.trips, 10), maxOpen)
	b.openUntil = now.Add(d/2 + time.Duration(rng.Int64N(int64(d/2)+1)))
	b.trips++
	b.limit = 1
}

// pause takes a refusal: the instance is well but wants no more for a while.
func (b *breaker) pause(now time.Time, d time.Duration) {
	b.outstanding--
	if until := now.Add(min(d, maxOpen)); until.After(b.openUntil) {
		b.openUntil = until
	}
}

// abandon takes a request whose caller went away.
func (b *breaker) abandon() { b.outstanding-- }
