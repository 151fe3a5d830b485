package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/timer"
)

// watchdog cancels a context when a wait lasts longer than its bound; its timer is set anew only when it fires.
type watchdog struct {
	clock  timer.Clock
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// waiting is when the present wait began; zero while nothing is waited for.
	waiting time.Time
	bound   time.Duration
	stop    func() bool
	stopped bool
}

// idleCheck is how often the watchdog looks while nothing is waited for.
const idleCheck = 20 * time.Millisecond

func newWatchdog(clock timer.Clock, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{clock: clock, cancel: cancel}
}

// begin starts a wait.
func (w *watchdog) begin(now time.Time, bound time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = now
	if w.stop == nil || bound < w.bound/2 {
		w.arm(bound)
	}
	w.bound = bound
}

// end ends the wait.
func (w *watchdog) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = time.Time{}
}

// close stops the watchdog for good.
func (w *watchdog) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.stop != nil {
		w.stop()
	}
}

// arm requires w.mu.
func (w *watchdog) arm(d time.Duration) {
	if w.stop != nil {
		w.stop()
	}
	if !w.stopped {
		w.stop = w.clock.AfterFunc(d, w.fire)
	}
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.waiting.IsZero() {
		w.arm(idleCheck)
		return
	}
	left := w.bound - w.clock.Now().Sub(w.waiting)
	if left <= 0 {
		w.cancel(errStalled)
		return
	}
	w.arm(left)
}
