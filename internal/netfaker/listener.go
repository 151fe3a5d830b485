package netfaker

import (
	"net"
	"sync"
)

const acceptBacklog = 1024

// listener accepts the connections that are dialled to its address.
type listener struct {
	net     *Network
	address string
	conns   chan *conn
	closed  chan struct{}
	once    sync.Once
}

func newListener(n *Network, address string) *listener {
	return &listener{net: n, address: address, conns: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
}

func (l *listener) enqueue(c *conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.conns <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", net.ErrClosed)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.net.removeListener(l)
	l.stop()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return tcpAddr(l.address) }

func (l *listener) stop() { l.once.Do(func() { close(l.closed) }) }
