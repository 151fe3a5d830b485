package chooser

import (
	"math"
	"sync"
	"time"
)

// rateWindow is the time over which a rate is averaged; an answer takes a few seconds.
const rateWindow = 2 * time.Second

// rateMeter measures a rate with exponential decay; its zero value has the rate 0.
type rateMeter struct {
	mu        sync.Mutex
	sum       float64
	updatedAt time.Time
}

// Add records an amount.
func (m *rateMeter) Add(now time.Time, n float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.sum += n
}

// Rate returns the amount a second.
func (m *rateMeter) Rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.sum / rateWindow.Seconds()
}

func (m *rateMeter) decay(now time.Time) {
	if d := now.Sub(m.updatedAt); d > 0 {
		m.sum *= math.Exp(-d.Seconds() / rateWindow.Seconds())
		m.updatedAt = now
	}
}

// backlog is the number of bytes queued for a pipe: those added, less what the pipe has carried since.
type backlog struct {
	mu        sync.Mutex
	bytes     float64
	updatedAt time.Time
}

// Add adds n bytes to a pipe that carries rate bytes a second.
func (b *backlog) Add(now time.Time, n, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now, rate)
	b.bytes += n
}

// Wait returns how long a pipe that carries rate bytes a second takes to carry the backlog.
func (b *backlog) Wait(now time.Time, rate float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now, rate)
	return time.Duration(b.bytes / rate * float64(time.Second))
}

func (b *backlog) drain(now time.Time, rate float64) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.bytes = max(0, b.bytes-d.Seconds()*rate)
		b.updatedAt = now
	}
}
