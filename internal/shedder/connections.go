package shedder

import (
	"sync"
	"time"
)

// Connections bounds the open connections of clients. It is safe for concurrent use; set its exported fields before use.
type Connections struct {
	// Limit is how many may be open; 0 means no bound.
	Limit int
	// OnShed, if set, is called for each connection that is closed, or not accepted, to keep the bound.
	OnShed func()

	mu   sync.Mutex
	open map[*Connection]struct{}
}

// Connection is an open connection of a client.
type Connection struct {
	connections *Connections
	// close closes the connection; it must not block.
	close func()

	// since is when the connection last made progress.
	since time.Time
	phase phase
	shed  bool
}

// phase is what a connection is used for.
type phase int

const (
	// phaseIdle waits for a request.
	phaseIdle phase = iota
	// phaseReading reads a request.
	phaseReading
	// phaseServing serves a request that is read.
	phaseServing
)

// Add adds a connection that was accepted. Over the bound, it gives up the connection that is idle for longest, else the one whose
// request makes no progress for longest, else the new one, for which it returns nil.
func (c *Connections) Add(closeConnection func(), now time.Time) *Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*Connection]struct{}{}
	}
	if c.Limit > 0 && len(c.open) >= c.Limit {
		if c.OnShed != nil {
			c.OnShed()
		}
		victim := c.victim(now)
		if victim == nil {
			return nil
		}
		victim.shed = true
		delete(c.open, victim)
		victim.close()
	}
	added := &Connection{connections: c, close: closeConnection, since: now}
	c.open[added] = struct{}{}
	return added
}

// victim returns the connection to close, or nil.
func (c *Connections) victim(now time.Time) *Connection {
	var victim *Connection
	for candidate := range c.open {
		switch {
		case candidate.phase == phaseServing || candidate.phase == phaseReading && now.Sub(candidate.since) < StallTime:
		case victim == nil, candidate.phase < victim.phase, candidate.phase == victim.phase && candidate.since.Before(victim.since):
			victim = candidate
		}
	}
	return victim
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Idle marks that the connection waits for a request.
func (c *Connection) Idle(now time.Time) { c.enter(phaseIdle, now) }

// Reading marks that the connection makes progress with reading a request. It returns false if the connection was given up.
func (c *Connection) Reading(now time.Time) bool { return c.enter(phaseReading, now) }

// Serving marks that a request is read to its end: its connection is not given up. It returns false if it was given up before.
func (c *Connection) Serving(now time.Time) bool { return c.enter(phaseServing, now) }

func (c *Connection) enter(p phase, now time.Time) bool {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	c.phase, c.since = p, now
	return !c.shed
}

// Remove removes a connection that is closed or carries no requests any more.
func (c *Connection) Remove() {
	c.connections.mu.Lock()
	defer c.connections.mu.Unlock()
	delete(c.connections.open, c)
}
