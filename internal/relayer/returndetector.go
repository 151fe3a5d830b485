package relayer

import (
	"sync"
	"time"
)

const (
	// returnedShare is the share of the longest time left on a route below which a client counts as returning: clients
	// that return name the time that remains.
	returnedShare = 0.8
	// maxRoutes bounds the routes whose longest time is kept.
	maxRoutes = 4096
)

// returnDetector distinguishes clients that return after a refusal from new ones, as each of their tries has its own id;
// its zero value is ready to use, and it is safe for concurrent use.
type returnDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// isReturning records the time that a client of a route has left and reports whether the client seems to be returning.
func (r *returnDetector) isReturning(route string, remaining time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= maxRoutes {
		r.longest = map[string]time.Duration{}
	}
	longest := max(r.longest[route], remaining)
	r.longest[route] = longest
	return float64(remaining) < returnedShare*float64(longest)
}
