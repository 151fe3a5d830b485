package rationer

import (
	"sync"
	"time"
)

// Peak keeps the largest size that a fleet had within a window; it is safe for concurrent use, and its zero value knows of one
// daemon.
type Peak struct {
	// Window is the time over which the largest size counts.
	Window time.Duration

	mu sync.Mutex
	// sizes fall from each to the next; the first is the largest of the window.
	sizes []size
}

// size is the size of a fleet until it changed at a time; the last one still holds.
type size struct {
	daemons int
	until   time.Time
}

// Note takes in the size from now on.
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

// Max returns the largest size within the window; at least 1.
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
