package timer

import (
	"context"
	"sync"
	"time"
)

// Clock reads the time and waits.
type Clock interface {
	// Now returns the time, with a monotonic reading where the clock has one.
	Now() time.Time
	// Sleep waits for d; it returns the error of ctx when ctx is done first.
	Sleep(ctx context.Context, d time.Duration) error
	// AfterFunc calls f in its own goroutine after d; stop cancels the call and reports whether it did.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// System is the clock of the operating system, or of the synctest bubble it is used in.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Manual is a clock whose reading only Advance changes. Its waits follow the system clock, so use it where nothing waits.
type Manual struct {
	System
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock whose reading is now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the reading by d, which may be negative.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
