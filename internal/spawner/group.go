package spawner

import "sync"

// Group holds the goroutines of one service; its zero value is ready.
//
// Unlike a sync.WaitGroup, which must not grow while it is waited for, it allows calls of Go during and after Close, since callers
// may outlive the service briefly.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// Go runs a function in a new goroutine and reports whether it was started; a closed group starts none.
func (g *Group) Go(run func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(run)
	return true
}

// Close prevents new goroutines and returns when the last one has ended.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
