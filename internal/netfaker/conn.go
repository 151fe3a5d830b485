package netfaker

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	net           *Network
	local, remote net.Addr
	in, out       *half
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.forget(c)
	c.out.finish()
	c.in.abandon()
	return nil
}

func (c *conn) reset() {
	c.net.forget(c)
	c.out.fail(errReset)
	c.in.fail(errReset)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn; writes do not wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

type segment struct {
	data []byte
	due  time.Time
}

// half is one direction of a connection.
type half struct {
	net      *Network
	from, to string

	mu       sync.Mutex
	ready    sync.Cond
	queue    []segment
	finished bool
	gone     bool
	err      error
	deadline time.Time
}

func newHalf(n *Network, from, to string) *half {
	h := &half{net: n, from: from, to: to}
	h.ready.L = &h.mu
	return h
}

func (h *half) write(b []byte) (int, error) {
	wait := h.net.delay(h.from, h.to)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.err != nil:
		return 0, opError("write", h.err)
	case h.finished:
		return 0, opError("write", net.ErrClosed)
	case h.gone:
		return 0, opError("write", errReset)
	}
	h.queue = append(h.queue, segment{data: append([]byte(nil), b...), due: time.Now().Add(wait)})
	if wait > 0 {
		time.AfterFunc(wait, h.wake)
	} else {
		h.ready.Broadcast()
	}
	return len(b), nil
}

func (h *half) read(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case h.err != nil:
			return 0, opError("read", h.err)
		case h.gone:
			return 0, opError("read", net.ErrClosed)
		case !h.deadline.IsZero() && !now.Before(h.deadline):
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(h.queue) > 0 && !now.Before(h.queue[0].due) && !h.net.isBlocked(h.from, h.to):
			return h.take(b), nil
		case len(h.queue) == 0 && h.finished && !h.net.isBlocked(h.from, h.to):
			return 0, io.EOF
		}
		h.ready.Wait()
	}
}

func (h *half) take(b []byte) int {
	n := copy(b, h.queue[0].data)
	h.queue[0].data = h.queue[0].data[n:]
	if len(h.queue[0].data) == 0 {
		h.queue = h.queue[1:]
	}
	return n
}

func (h *half) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready.Broadcast()
}

// finish says that the writer closed.
func (h *half) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished = true
	h.ready.Broadcast()
}

// abandon says that the reader closed.
func (h *half) abandon() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
	h.queue = nil
	h.ready.Broadcast()
}

func (h *half) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = err
	h.queue = nil
	h.ready.Broadcast()
}

func (h *half) setReadDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.ready.Broadcast()
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), h.wake)
	}
}
