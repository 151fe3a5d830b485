package storer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Failures is how many failures in a row open the breaker.
	Failures int
	// FirstBackoff is the wait before the first probe; it doubles with each failed probe up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// ProbeTimeout is the time after which another probe is allowed although the last one has no answer.
	ProbeTimeout time.Duration
}

// DefaultBreakerConfig returns the configuration of a breaker that detects the recovery of a store within 5 s.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{
		Failures:     3,
		FirstBackoff: 250 * time.Millisecond,
		MaxBackoff:   3 * time.Second,
		ProbeTimeout: 5 * time.Second,
	}
}

// Breaker is a circuit breaker: it blocks calls to a store that is down and lets one probe through after each backoff.
type Breaker struct {
	cfg    BreakerConfig
	random *rand.Rand

	mu        sync.Mutex
	failures  int
	open      bool
	backoff   time.Duration
	nextProbe time.Time
	probing   bool
	probedAt  time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig, random *rand.Rand) *Breaker {
	return &Breaker{cfg: cfg, random: random}
}

// Allow reports whether a call may be sent to the store.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.open:
		return true
	case now.Before(b.nextProbe):
		return false
	case b.probing && now.Sub(b.probedAt) < b.cfg.ProbeTimeout:
		return false
	}
	b.probing = true
	b.probedAt = now
	return true
}

// Open reports whether the breaker is open, that is, blocks calls.
func (b *Breaker) Open(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Record records the result of a call that Allow permitted.
func (b *Breaker) Record(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if !isOutage(err) {
		b.failures = 0
		b.open = false
		return
	}
	b.failures++
	switch {
	case b.open:
		b.backoff = min(2*b.backoff, b.cfg.MaxBackoff)
	case b.failures >= b.cfg.Failures:
		b.open = true
		b.backoff = b.cfg.FirstBackoff
	default:
		return
	}
	b.nextProbe = now.Add(b.jitter(b.backoff))
}

// Abandon records that the caller of a permitted call left before its result.
func (b *Breaker) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// jitter spreads d over [d/2, d], so that daemons do not probe at the same time.
func (b *Breaker) jitter(d time.Duration) time.Duration {
	half := d / 2
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}

func isOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
}
