package spawner

import "sync"

// Group holds the goroutines of one service; its zero value is ready.
//
// Callers of a service may outlive it by a moment, and a sync.WaitGroup must not grow while it is waited for.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// Go starts a goroutine and tells whether it did; a closed group starts none.
func (g *Group) Go(run func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(run)
	return true
}

// Close lets no goroutine start any more and returns when the last has ended.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
