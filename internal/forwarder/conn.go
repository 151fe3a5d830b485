package forwarder

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("connection sealed")

// countedConn counts its writes, so that a request can find out whether any followed, and can be sealed against further writes.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn; the write is counted before it starts.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *countedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses further writes and returns how many writes were started.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

func dialCounted(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// writeProof tracks the connection of one request to prove that no byte of it was written.
type writeProof struct {
	mu     sync.Mutex
	conn   *countedConn
	before uint64
	// unknown is set if writes cannot be tracked: the connection is not a countedConn, or the request got a second one.
	unknown bool
}

// recordConn records the connection that the request is about to be written to.
func (p *writeProof) recordConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted, ok := conn.(*countedConn)
	if !ok || p.conn != nil {
		p.unknown = true
		return
	}
	p.conn = counted
	p.before = counted.writeCount()
}

// unwritten reports whether no byte of the request was written; it seals the connection, so that none can follow.
func (p *writeProof) unwritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unknown {
		return false
	}
	return p.conn == nil || p.conn.seal() == p.before
}
