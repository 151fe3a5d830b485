package storer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// BreakerConfig sets up a Breaker.
type BreakerConfig struct {
	// Failures in a row open the breaker.
	Failures int
	// FirstBackoff doubles with each failed probe up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
	// ProbeTimeout is the age at which a probe without an answer makes room for another.
	ProbeTimeout time.Duration
}

// DefaultBreakerConfig returns a breaker that finds a store that is back within 5 s.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{
		Failures:     3,
		FirstBackoff: 250 * time.Millisecond,
		MaxBackoff:   3 * time.Second,
		ProbeTimeout: 5 * time.Second,
	}
}

// Breaker keeps calls from a store that is down and lets one probe through after each backoff.
type Breaker struct {
	cfg    BreakerConfig
	random *rand.Rand

	mu       sync.Mutex
	failures int
	open     bool
	backoff  time.Duration
	nextTry  time.Time
	probing  bool
	probedAt time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig, random *rand.Rand) *Breaker {
	return &Breaker{cfg: cfg, random: random}
}

// Allow tells whether a call may go to the store.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.open:
		return true
	case now.Before(b.nextTry):
		return false
	case b.probing && now.Sub(b.probedAt) < b.cfg.ProbeTimeout:
		return false
	}
	b.probing = true
	b.probedAt = now
	return true
}

// Open tells whether the breaker keeps calls away.
func (b *Breaker) Open(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Record takes in the result of a call that Allow let through.
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
	b.nextTry = now.Add(b.jitter(b.backoff))
}

// Abandon takes in a call whose caller left before its result.
func (b *Breaker) Abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// jitter spreads d over [d/2, d], so that daemons do not return together.
func (b *Breaker) jitter(d time.Duration) time.Duration {
	half := d / 2
	return half + time.Duration(b.random.Int64N(int64(half)+1))
}

func isOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
}
