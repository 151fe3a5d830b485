package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/timer"
)

// watchdog cancels a context when a wait exceeds its timeout. Its timer is not set for each wait, but only when it fires or
// when a much shorter timeout begins.
type watchdog struct {
	clock  timer.Clock
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// waitStart is when the current wait began; zero while there is none.
	waitStart time.Time
	timeout   time.Duration
	stopTimer func() bool
	closed    bool
}

// idleCheckInterval is the interval at which the timer fires while there is no wait.
const idleCheckInterval = 20 * time.Millisecond

func newWatchdog(clock timer.Clock, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{clock: clock, cancel: cancel}
}

// startWait starts a wait.
func (w *watchdog) startWait(now time.Time, timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitStart = now
	if w.stopTimer == nil || timeout < w.timeout/2 {
		w.setTimer(timeout)
	}
	w.timeout = timeout
}

// endWait ends the wait.
func (w *watchdog) endWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitStart = time.Time{}
}

// close stops the watchdog for good.
func (w *watchdog) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.stopTimer != nil {
		w.stopTimer()
	}
}

// setTimer restarts the timer; the caller holds w.mu.
func (w *watchdog) setTimer(d time.Duration) {
	if w.stopTimer != nil {
		w.stopTimer()
	}
	if !w.closed {
		w.stopTimer = w.clock.AfterFunc(d, w.fire)
	}
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if w.waitStart.IsZero() {
		w.setTimer(idleCheckInterval)
		return
	}
	remaining := w.timeout - w.clock.Now().Sub(w.waitStart)
	if remaining <= 0 {
		w.cancel(errStalled)
		return
	}
	w.setTimer(remaining)
}
