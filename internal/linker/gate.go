package linker

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minHandshakes and maxHandshakes bound the limit of a gate.
	minHandshakes = 2
	maxHandshakes = 64
	// slowShare and fastShare are the shares of the time for a handshake from which on it counts as slow, and up to which as fast.
	slowShare = 2
	fastShare = 4
)

// errGate says that a handshake did not get its turn in time.
var errGate = errors.New("too many handshakes in progress")

// gate bounds the handshakes that a peer has in progress: one more after a fast one, half as many after a slow one.
// A machine short of processor time so finishes some in time, in place of starting all and finishing none.
type gate struct {
	timeout time.Duration

	mu      sync.Mutex
	limit   int
	inside  int
	waiting []chan struct{}
	// halvedAt is when the limit was halved last; what began before says nothing about the new one.
	halvedAt time.Time
}

func newGate(timeout time.Duration) *gate { return &gate{timeout: timeout, limit: maxHandshakes} }

// enter waits for a turn until ctx is done.
func (g *gate) enter(ctx context.Context) error {
	turn := make(chan struct{})
	g.mu.Lock()
	g.waiting = append(g.waiting, turn)
	g.admit()
	g.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return g.giveUp(turn)
	}
}

// await waits until there would be a turn, without taking it.
func (g *gate) await(ctx context.Context) error {
	if err := g.enter(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	g.admit()
	return nil
}

func (g *gate) giveUp(turn chan struct{}) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at := slices.Index(g.waiting, turn); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
		return errGate
	}
	// The turn came at the same moment.
	return nil
}

// leave ends a handshake that ran from begin to end.
func (g *gate) leave(begin, end time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside--
	took := end.Sub(begin)
	switch {
	case took >= g.timeout/slowShare && begin.After(g.halvedAt):
		g.limit = max(g.limit/2, minHandshakes)
		g.halvedAt = end
	case ok && took <= g.timeout/fastShare:
		g.limit = min(g.limit+1, maxHandshakes)
	}
	g.admit()
}

// admit gives the turn to those that wait, as far as the limit allows; g.mu is held.
func (g *gate) admit() {
	for len(g.waiting) > 0 && g.inside < g.limit {
		g.inside++
		close(g.waiting[0])
		g.waiting = slices.Delete(g.waiting, 0, 1)
	}
}
