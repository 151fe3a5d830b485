package throttler

import (
	"sync"
	"time"
)

// Throttler tracks the limits of targets. It is safe for concurrent use.
type Throttler struct {
	now func() time.Time

	mu     sync.Mutex
	limits limits
}

// New returns a throttler without limits.
func New(now func() time.Time) *Throttler {
	return &Throttler{now: now, limits: limits{}}
}

// Observe records the limit that an answer of a target named, or that it named none, and returns what this changed.
func (t *Throttler) Observe(target Target, limit Limit) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.observe(News{Target: target, Limit: limit, HeardAt: t.now()})
}
