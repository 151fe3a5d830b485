package rationer

import (
	"sync"
	"time"
)

// Peak tracks the largest size of a fleet within a window, in daemons. It is safe for concurrent use; its zero value has the size 1.
type Peak struct {
	// Window is the time over which the largest size counts.
	Window time.Duration

	mu sync.Mutex
	// sizes are in decreasing order; the first is the largest of the window.
	sizes []size
}

// size is the size of a fleet until the time at which it changed; the last one is the current size.
type size struct {
	daemons int
	until   time.Time
}

// Record sets the size of the fleet from now on.
func (p *Peak) Record(now time.Time, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.sizes); n > 0 {
		p.sizes[n-1].until = now
	}
	for n := len(p.sizes); n > 0 && p.sizes[n-1].daemons <= daemons; n-- {
		p.sizes = p.sizes[:n-1]
	}
	p.sizes = append(p.sizes, size{daemons: daemons})
}

// Max returns the largest size within the window, at least 1.
func (p *Peak) Max(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.sizes) > 1 && now.Sub(p.sizes[0].until) > p.Window {
		p.sizes = p.sizes[1:]
	}
	if len(p.sizes) == 0 {
		return 1
	}
	return max(p.sizes[0].daemons, 1)
}
