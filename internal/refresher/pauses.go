package refresher

import (
	"sync"
	"time"
)

const (
	// maxTickGap is the longest time between two ticks of a process that runs.
	maxTickGap = 500 * time.Millisecond
	// backlogTime is how long a process handles what arrived while it did not run.
	backlogTime = 200 * time.Millisecond
)

// Pauses notices that this process did not run for a while, as on a frozen machine. Messages that arrived meanwhile are older than they
// look. Its zero value is ready to use, and safe for concurrent use.
type Pauses struct {
	mu              sync.Mutex
	last, resumedAt time.Time
}

// Tick records that the process runs; it must be called several times in maxTickGap.
func (p *Pauses) Tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() && now.Sub(p.last) > maxTickGap {
		p.resumedAt = now
	}
	p.last = now
}

// JustEnded reports whether a message that is handled now may have waited through a pause.
func (p *Pauses) JustEnded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.last.IsZero() && now.Sub(p.last) > maxTickGap || now.Sub(p.resumedAt) < backlogTime
}
