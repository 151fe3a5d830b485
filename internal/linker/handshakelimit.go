package linker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minHandshakes and maxHandshakes bound the limit of a handshakeLimiter.
	minHandshakes = 2
	maxHandshakes = 64
	// slowDivisor and fastDivisor divide the timeout: a handshake is slow from timeout/slowDivisor on, and fast up to
	// timeout/fastDivisor.
	slowDivisor = 2
	fastDivisor = 4
)

// errTooManyHandshakes is the error for a handshake that did not get a slot in time.
var errTooManyHandshakes = errors.New("too many handshakes in progress")

// handshakeLimiter limits the handshakes that a peer has in progress: it raises the limit by one after a fast handshake and halves
// it after a slow one. A machine short of processor time then completes some in time instead of starting all and completing none.
type handshakeLimiter struct {
	timeout time.Duration

	mu         sync.Mutex
	limit      int
	inProgress int
	waiters    []chan struct{}
	// halvedAt is when the limit was last halved; handshakes that began earlier do not show whether the new limit is too high.
	halvedAt time.Time
}

func newHandshakeLimiter(timeout time.Duration) *handshakeLimiter {
	return &handshakeLimiter{timeout: timeout, limit: maxHandshakes}
}

// acquire waits for a slot until ctx is done.
func (g *handshakeLimiter) acquire(ctx context.Context) error {
	slot := make(chan struct{})
	g.mu.Lock()
	g.waiters = append(g.waiters, slot)
	g.grantSlots()
	g.mu.Unlock()
	select {
	case <-slot:
		return nil
	case <-ctx.Done():
		return g.cancelWait(slot)
	}
}

// waitForSlot waits until a slot is free, without keeping it.
func (g *handshakeLimiter) waitForSlot(ctx context.Context) error {
	if err := g.acquire(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	g.grantSlots()
	return nil
}

func (g *handshakeLimiter) cancelWait(slot chan struct{}) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at := slices.Index(g.waiters, slot); at >= 0 {
		g.waiters = slices.Delete(g.waiters, at, at+1)
		return errTooManyHandshakes
	}
	// The slot was granted at the same moment.
	return nil
}

// release returns the slot of a handshake that ran from begin to end, and adjusts the limit.
func (g *handshakeLimiter) release(begin, end time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress--
	took := end.Sub(begin)
	switch {
	case took >= g.timeout/slowDivisor && begin.After(g.halvedAt):
		g.limit = max(g.limit/2, minHandshakes)
		g.halvedAt = end
	case ok && took <= g.timeout/fastDivisor:
		g.limit = min(g.limit+1, maxHandshakes)
	}
	g.grantSlots()
}

// grantSlots grants free slots to the waiters in order; g.mu is held.
func (g *handshakeLimiter) grantSlots() {
	for len(g.waiters) > 0 && g.inProgress < g.limit {
		g.inProgress++
		close(g.waiters[0])
		g.waiters = slices.Delete(g.waiters, 0, 1)
	}
}
