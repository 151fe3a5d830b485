package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/shedder"
)

const (
	// bodyTimeout bounds how long a body makes no progress. It is under headDeadline, by which reads of heads are told from others.
	bodyTimeout = 10 * time.Second
	// headDeadline is the least time to the deadline that the server sets for reading a head.
	headDeadline = headerTimeout * 3 / 4
	// headSlack is added to the time that the configuration allows for a head, for packets that are sent again.
	headSlack = 2 * time.Second
	// headSlackBytes is added to the size that the configuration allows for a head, for its first line.
	headSlackBytes = 4 << 10
	// writeTimeout bounds how long a client reads nothing of its answer.
	writeTimeout = 30 * time.Second
	// headLineBytes is the memory that a line of a head takes beside its text, which is kept twice.
	headLineBytes = 128
	// freeHeadBytes is the memory for a head that does not count.
	freeHeadBytes = 16 << 10
)

// clientLimits are the limits of the connections of one listener.
type clientLimits struct {
	// idle and head return how long a connection may be idle, and how long a head may take; headBytes how long a head may be.
	// 0 is no limit.
	idle, head func() time.Duration
	headBytes  func() int64
	// connections and budget are shared with other listeners.
	connections *shedder.Connections
	budget      *shedder.Budget
	// onHeadTooLong is called for each connection that is closed as its head is too long.
	onHeadTooLong func()
}

var errHeadTooLong = errors.New("the head is too long")

// limitedListener is a listener whose connections have limits.
type limitedListener struct {
	net.Listener
	limits clientLimits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limited := &limitedConn{Conn: c, limits: l.limits}
		if limited.place = l.limits.connections.Add(func() { _ = c.Close() }, time.Now()); limited.place != nil {
			return limited, nil
		}
		_ = c.Close()
	}
}

// limitedConn is a connection of a limitedListener. The server reads from it in one goroutine at a time.
type limitedConn struct {
	net.Conn
	limits clientLimits
	place  *shedder.Connection
	closed sync.Once

	mu sync.Mutex
	// reading is true from the first byte of a head to its end, and served once the connection has carried a request.
	reading, served bool
	headBytes       int64
	headMemory      int64
	body            *shedder.Body
	// refused is true once a head was refused here; the server answers nothing then.
	refused bool
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if err := c.countHead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *limitedConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// countHead counts bytes that were read, if they belong to a head.
func (c *limitedConn) countHead(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.reading {
		return nil
	}
	if c.headBytes == 0 {
		if !c.place.Reading(now) {
			return net.ErrClosed
		}
		if limit := c.limits.head(); !c.served && limit > 0 {
			_ = c.Conn.SetReadDeadline(now.Add(limit + headSlack))
		}
	}
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		p = p[:end]
	}
	c.headBytes += int64(len(p))
	if limit := c.limits.headBytes(); limit > 0 && c.headBytes > limit+headSlackBytes {
		// The server does not know the limit in force.
		_ = c.SetWriteDeadline(now.Add(time.Second))
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		c.refused = true
		c.limits.onHeadTooLong()
		return errHeadTooLong
	}
	grown := int64(2*len(p) + headLineBytes*bytes.Count(p, []byte("\n")))
	if c.headMemory += grown; c.headMemory <= freeHeadBytes {
		return nil
	}
	if c.body == nil {
		c.body = c.limits.budget.Begin("", func() { _ = c.Conn.SetReadDeadline(now) }, now)
		grown = c.headMemory
	}
	if c.body.Grow(grown, now) != shedder.Granted {
		return net.ErrClosed
	}
	return nil
}

// begin marks the end of a head. It returns false if the connection was given up.
func (c *limitedConn) begin(hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.served = false, true
	if c.body != nil && !c.body.Finish() {
		return false
	}
	if hasBody {
		return c.place.Reading(time.Now())
	}
	return c.place.Serving(time.Now())
}

// end marks that a request is answered.
func (c *limitedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.headBytes, c.headMemory = 0, 0
	c.place.Idle(time.Now())
}

func (c *limitedConn) releaseHead() {
	if c.body != nil {
		c.body.Release()
		c.body = nil
	}
}

// Write implements net.Conn. The server writes pieces that a client which reads takes in time.
func (c *limitedConn) Write(p []byte) (int, error) {
	if c.isRefused() {
		return 0, errHeadTooLong
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closed.Do(func() {
		c.place.Remove()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.releaseHead()
	})
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The server sets a deadline beyond headerTimeout while a connection is idle, and one of about
// headerTimeout while it reads a head. The time for the first head of a connection begins with its first byte.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	left := t.Sub(now)
	if left > headDeadline {
		c.mu.Lock()
		c.reading = true
		idle, head := c.limits.idle(), c.limits.head()
		switch isIdle := left > headerTimeout; {
		case (isIdle || !c.served) && idle > 0:
			left = min(left, idle)
		case !isIdle && head > 0:
			left = min(left, head+headSlack)
		}
		c.mu.Unlock()
		t = now.Add(left)
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, as the server does after an error.
func (c *limitedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

type connKey struct{}

// withConn is the ConnContext of servers of limited connections.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackState is the ConnState of servers of limited connections.
func trackState(c net.Conn, state http.ConnState) {
	l, ok := c.(*limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		l.end()
	case http.StateHijacked:
		// Tunnels have a bound of their own.
		l.place.Remove()
	}
}

// handleLimited wraps the handler of a server, to mark where requests begin on limited connections.
func handleLimited(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*limitedConn); ok && !c.begin(r.ContentLength != 0) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// withoutBody wraps a handler that reads no bodies: the server closes the connection of a request that has one.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			endInput(w)
		}
		handler.ServeHTTP(w, r)
	})
}
