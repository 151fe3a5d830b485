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
