package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DialTimeout bounds the opening of a connection; a target in the next data centre answers in a millisecond.
	DialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept whose peer names no time.
	defaultIdle = 5 * time.Second
	// idleMargin is kept clear of the time that the peer names, which is in whole seconds.
	idleMargin = time.Second
	// maxForeign bounds the answers to other requests that are passed over before an exchange fails.
	maxForeign = 2
	// MaxHeadBytes bounds what comes before the body of an answer, interim answers among it: some fifty times the headers of the
	// platform's targets. Bytes that are no answer may come without end.
	MaxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of an answer to another request that is passed over.
	maxForeignBytes = 64 << 10
	// unbounded is no limit of a connection.
	unbounded  = -1
	bufferSize = 4 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent says that no byte of the request has left.
	ErrNotSent = errors.New("request was not sent")
	// ErrEndless says that what came in place of an answer went over its bound.
	ErrHeadTooLong = errors.Newf("over %d bytes and no answer", MaxHeadBytes)
)

// Call is one request.
type Call struct {
	Address string
	Method  string
	// URI is the path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Own tells whether an answer belongs to this request; nil accepts every one.
	Matches func(http.Header) bool
	// Last says that the connection is not to be used again: nothing in the answer names its request, so that a late copy of it
	// could be taken for the answer to the next one.
	NoReuse bool
}

// Answer is an answer whose body is still to be read; Close ends it.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 where it is not known.
	Length int64
	// Unframed bodies end with their connection.
	Unframed bool

	body     io.ReadCloser
	conn     *conn
	pool     *Exchanger
	stop     func() bool
	ended    bool
	reusable bool
}

// Exchanger keeps connections; its zero value is ready for use, and it is safe for concurrent use.
type Exchanger struct {
	// Dial opens a connection; nil is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now tells the time; nil is the system clock.
	Now func() time.Time

	idle idleConns
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the peer may close the connection.
	expires time.Time
	// left is how many bytes may still be read, or unbounded.
	left int
}

// Read reads what the bound leaves.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.left == 0:
		return 0, ErrHeadTooLong
	case c.left > 0:
		p = p[:min(len(p), c.left)]
	}
	n, err := c.Conn.Read(p)
	if c.left > 0 {
		c.left -= n
	}
	return n, err
}

func (e *Exchanger) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}

// Do sends a request and returns its answer; an error that is ErrNotSent proves that nothing was sent.
func (e *Exchanger) Do(ctx context.Context, call Call) (*Answer, error) {
	c, err := e.connect(ctx, call.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	answer, err := e.exchange(c, call)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	answer.stop = stop
	return answer, nil
}

func (e *Exchanger) exchange(c *conn, call Call) (*Answer, error) {
	if _, err := c.Write(encode(call)); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	for foreign := 0; ; foreign++ {
		c.left = MaxHeadBytes
		resp, err := readAnswer(c.reader, call.Method) //nolint:bodyclose // the answer closes it
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		c.left = unbounded
		if call.Matches == nil || call.Matches(resp.Header) {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: unframed(resp),
				body: resp.Body, conn: c, pool: e,
				// A connection that brought another request's answer may bring more.
				reusable: foreign == 0 && !call.NoReuse && !resp.Close && !unframed(resp),
			}, nil
		}
		passed, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes+1))
		if err != nil || passed > maxForeignBytes || foreign == maxForeign || unframed(resp) {
			return nil, errors.New("the answer belongs to another request")
		}
	}
}

// readAnswer reads the head of the next final answer.
func readAnswer(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// encode returns the bytes of a request.
func encode(call Call) []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(call.Body))
	b.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&b)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// connect returns a connection that is kept and sound, or a new one.
func (e *Exchanger) connect(ctx context.Context, address string) (*conn, error) {
	now := e.now()
	for c := e.idle.take(address, now); c != nil; c = e.idle.take(address, now) {
		if c.sound() {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dial := e.Dial
	if dial == nil {
		dial = DialTCP
	}
	nc, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, left: unbounded}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// Read reads from the body; io.EOF says that the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept where the answer is whole and nothing else may follow on it.
func (a *Answer) Close() error {
	fresh := a.stop == nil || a.stop()
	if !a.ended || !a.reusable || !fresh || a.conn.reader.Buffered() > 0 {
		return a.conn.Close()
	}
	now := a.pool.now()
	a.conn.expires = now.Add(idleTime(a.Header))
	if !a.conn.expires.After(now) || !a.pool.idle.put(a.conn, a.conn.RemoteAddr().String()) {
		return a.conn.Close()
	}
	return nil
}

// CloseIdle closes the connections that are kept to an address; an empty one stands for all.
func (e *Exchanger) CloseIdle(address string) { e.idle.close(address) }

// idleTime returns how long the peer keeps the connection, by its Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
