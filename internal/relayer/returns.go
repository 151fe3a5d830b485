package relayer

import (
	"sync"
	"time"
)

const (
	// returnedShare is the part of the longest time that clients of a route name below which one has used some of its time
	// already: clients that come back name what is left.
	returnedShare = 0.8
	// mostRoutes bounds the routes whose longest time is kept.
	mostRoutes = 4096
)

// returns tells clients that come back after a refusal from new ones, as each of their tries has an id of its own; its zero
// value is ready for use, and it is safe for concurrent use.
type returns struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returning takes the time that a client of a route has left and tells whether it seems to have been here before.
func (r *returns) returning(route string, left time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= mostRoutes {
		r.longest = map[string]time.Duration{}
	}
	longest := max(r.longest[route], left)
	r.longest[route] = longest
	return float64(left) < returnedShare*float64(longest)
}
