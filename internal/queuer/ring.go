package queuer

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned by Offer when the ring is full.
var ErrFull = errors.New("ring full")

// Ring is a bounded first-in-first-out queue between goroutines.
type Ring[T any] struct {
	slots chan T
}

// NewRing returns a ring that holds up to size values.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Offer adds v, or returns ErrFull without waiting.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.slots <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put adds v, waiting for a free slot; it returns the error of ctx when ctx is done.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest value, waiting for one; it returns the error of ctx when ctx is done.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Poll removes and returns the oldest value without waiting, and reports whether there was one.
func (r *Ring[T]) Poll() (T, bool) {
	select {
	case v := <-r.slots:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Values returns the channel of the values, for use in a select.
func (r *Ring[T]) Values() <-chan T { return r.slots }

// Len returns how many values are waiting.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Cap returns how many values the ring can hold.
func (r *Ring[T]) Cap() int { return cap(r.slots) }
