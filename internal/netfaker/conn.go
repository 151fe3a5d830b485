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
	in, out       *pipe
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.removeConn(c)
	c.out.closeWriter()
	c.in.closeReader()
	return nil
}

func (c *conn) reset() {
	c.net.removeConn(c)
	c.out.fail(errConnReset)
	c.in.fail(errConnReset)
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

// SetWriteDeadline implements net.Conn; it does nothing, since writes do not wait.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

type segment struct {
	data []byte
	due  time.Time
}

// pipe carries the bytes of one direction of a connection.
type pipe struct {
	net      *Network
	from, to string

	mu           sync.Mutex
	ready        sync.Cond
	queue        []segment
	writerClosed bool
	readerClosed bool
	silent       bool
	err          error
	deadline     time.Time
}

func newPipe(n *Network, from, to string) *pipe {
	p := &pipe{net: n, from: from, to: to}
	p.ready.L = &p.mu
	return p
}

func (p *pipe) write(b []byte) (int, error) {
	wait := p.net.delay(p.from, p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.err != nil:
		return 0, opError("write", p.err)
	case p.writerClosed:
		return 0, opError("write", net.ErrClosed)
	case p.readerClosed:
		return 0, opError("write", errConnReset)
	}
	p.queue = append(p.queue, segment{data: append([]byte(nil), b...), due: time.Now().Add(wait)})
	if wait > 0 {
		time.AfterFunc(wait, p.wakeReader)
	} else {
		p.ready.Broadcast()
	}
	return len(b), nil
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.err != nil:
			return 0, opError("read", p.err)
		case p.readerClosed:
			return 0, opError("read", net.ErrClosed)
		case !p.deadline.IsZero() && !now.Before(p.deadline):
			return 0, opError("read", os.ErrDeadlineExceeded)
		case len(p.queue) > 0 && !now.Before(p.queue[0].due) && !p.silent && !p.net.isBlocked(p.from, p.to):
			return p.consume(b), nil
		case len(p.queue) == 0 && p.writerClosed && !p.silent && !p.net.isBlocked(p.from, p.to):
			return 0, io.EOF
		}
		p.ready.Wait()
	}
}

func (p *pipe) consume(b []byte) int {
	n := copy(b, p.queue[0].data)
	p.queue[0].data = p.queue[0].data[n:]
	if len(p.queue[0].data) == 0 {
		p.queue = p.queue[1:]
	}
	return n
}

func (p *pipe) wakeReader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready.Broadcast()
}

// closeWriter lets the reader drain the pipe and then reach io.EOF.
func (p *pipe) closeWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writerClosed = true
	p.ready.Broadcast()
}

// closeReader discards the queued data and makes reads and writes fail.
func (p *pipe) closeReader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerClosed = true
	p.queue = nil
	p.ready.Broadcast()
}

// silence holds back all data for good.
func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.err = err
	p.queue = nil
	p.ready.Broadcast()
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = t
	p.ready.Broadcast()
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), p.wakeReader)
	}
}
