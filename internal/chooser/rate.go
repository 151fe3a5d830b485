package chooser

import (
	"math"
	"sync"
	"time"
)

// rateTime is the time over which a rate is averaged; an answer takes a few seconds.
const rateTime = 2 * time.Second

// rateMeter estimates a rate that fades with time; its zero value is at rest.
type rateMeter struct {
	mu  sync.Mutex
	sum float64
	at  time.Time
}

// Add counts an amount.
func (m *rateMeter) Add(now time.Time, n float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	m.sum += n
}

// Rate returns the amount a second.
func (m *rateMeter) Rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	return m.sum / rateTime.Seconds()
}

func (m *rateMeter) fade(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / rateTime.Seconds())
		m.at = now
	}
}

// backlog is what waits for a pipe: what is added to it, less what the pipe has carried since.
type backlog struct {
	mu  sync.Mutex
	sum float64
	at  time.Time
}

// Add adds n bytes to a pipe that carries rate bytes a second.
func (b *backlog) Add(now time.Time, n, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now, rate)
	b.sum += n
}

// Wait returns how long the pipe takes for what waits.
func (b *backlog) Wait(now time.Time, rate float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now, rate)
	return time.Duration(b.sum / rate * float64(time.Second))
}

func (b *backlog) drain(now time.Time, rate float64) {
	if d := now.Sub(b.at); d > 0 {
		b.sum = max(0, b.sum-d.Seconds()*rate)
		b.at = now
	}
}
