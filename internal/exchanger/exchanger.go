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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DialTimeout bounds opening a connection; a target in the next data centre answers in a millisecond.
	DialTimeout = 400 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept if the peer names no time.
	defaultIdleTime = 5 * time.Second
	// idleMargin is subtracted from the time that the peer names, which is in whole seconds.
	idleMargin = time.Second
	// maxForeignAnswers bounds the answers to other requests that are skipped before an exchange fails.
	maxForeignAnswers = 2
	// MaxHeadBytes bounds what comes before the body of an answer, including interim answers: some fifty times the
	// headers of the platform's targets. Bytes that are no answer may come without end.
	MaxHeadBytes = 64 << 10
	// maxForeignBytes bounds the body of a skipped answer to another request.
	maxForeignBytes = 64 << 10
	// noReadLimit means that a connection has no read limit.
	noReadLimit = -1
	bufferSize  = 4 << 10
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnnamed means that an answer names no request and came on a connection that has carried others.
	ErrUnnamed = errors.New("the answer names no request")
	// ErrHeadTooLong means that more than MaxHeadBytes arrived without an answer.
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
	// Matches reports whether an answer belongs to this request; nil accepts every answer.
	Matches func(http.Header) bool
	// Names reports whether an answer names its request; nil means that all do. An answer that names none is only accepted as the
	// first on a connection, which is then not used again: on others it may be a copy of an earlier answer.
	Names func(http.Header) bool
	// NoReuse keeps the connection from being used again. It is for answers that do not name their request, as a late
	// copy of one could be taken for the answer to the next request.
	NoReuse bool
	// Fresh opens a new connection, as an open one may be silent without a trace.
	Fresh bool
}

// Answer is an answer whose body is still to be read; Close ends its exchange.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Unframed bodies end with their connection.
	Unframed bool

	body      io.ReadCloser
	conn      *conn
	exchanger *Exchanger
	stop      func() bool
	complete  bool
	reusable  bool
}

// Exchanger sends requests over persistent connections; its zero value is ready to use, and it is safe for concurrent
// use.
type Exchanger struct {
	// Dial opens a connection; nil means DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now returns the time; nil means the system clock.
	Now func() time.Time

	idle idleConns
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// expires is when the peer may close the connection.
	expires time.Time
	// remaining is how many bytes may still be read, or noReadLimit.
	remaining int
	// reused is true once the connection has carried a request before the current one.
	reused bool
}

// Read reads up to the remaining limit, and returns ErrHeadTooLong once it is used up.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.remaining == 0:
		return 0, ErrHeadTooLong
	case c.remaining > 0:
		p = p[:min(len(p), c.remaining)]
	}
	n, err := c.Conn.Read(p)
	if c.remaining > 0 {
		c.remaining -= n
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
	c, err := e.connect(ctx, call)
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
	if err := send(c, call); err != nil {
		return nil, errors.Wrap(err, "send")
	}
	for foreign := 0; ; foreign++ {
		c.remaining = MaxHeadBytes
		resp, err := readAnswer(c.reader, call.Method) //nolint:bodyclose // the answer closes it
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		c.remaining = noReadLimit
		if call.Matches == nil || call.Matches(resp.Header) {
			named := call.Names == nil || call.Names(resp.Header)
			if !named && (c.reused || foreign > 0) {
				return nil, ErrUnnamed
			}
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: unframed(resp),
				body: resp.Body, conn: c, exchanger: e,
				// A connection that brought the answer to another request may bring more.
				reusable: foreign == 0 && named && !call.NoReuse && !resp.Close && !unframed(resp),
			}, nil
		}
		discarded, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes+1))
		if err != nil || discarded > maxForeignBytes || foreign == maxForeignAnswers || unframed(resp) {
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
		switch {
		case IsFinalStatus(resp.StatusCode):
			return resp, nil
		case !isInterimStatus(resp.StatusCode):
			return nil, errors.Wrapf(ErrInvalidStatus, "%q", resp.Status)
		}
	}
}

func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// maxJoinedBytes is the size up to which a body is copied, to be sent together with its head.
const maxJoinedBytes = 64 << 10

// send writes a request.
func send(c *conn, call Call) error {
	head := encodeHead(call)
	if len(call.Body) <= maxJoinedBytes {
		_, err := c.Write(append(head, call.Body...))
		return err
	}
	if _, err := c.Write(head); err != nil {
		return err
	}
	_, err := c.Write(call.Body)
	return err
}

// encodeHead returns the bytes of the head of a request.
func encodeHead(call Call) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(call.Body), maxJoinedBytes))
	b.WriteString(call.Method + " " + call.URI + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	_ = call.Header.Write(&b)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// connect returns a usable idle connection, or a new one.
func (e *Exchanger) connect(ctx context.Context, call Call) (*conn, error) {
	if c := e.takeIdle(call); c != nil {
		return c, nil
	}
	nc, err := e.dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, remaining: noReadLimit}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	return c, nil
}

// takeIdle returns a usable idle connection, or nil if there is none.
func (e *Exchanger) takeIdle(call Call) *conn {
	if call.Fresh {
		return nil
	}
	now := e.now()
	for c := e.idle.take(call.Address, now); c != nil; c = e.idle.take(call.Address, now) {
		if c.isUsable() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
	return nil
}

// dial opens a connection within DialTimeout.
func (e *Exchanger) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	if e.Dial != nil {
		return e.Dial(ctx, address)
	}
	return DialTCP(ctx, address)
}

// Refuses reports whether an address refuses connections, as no process listens there. It opens a connection and closes it.
func (e *Exchanger) Refuses(ctx context.Context, address string) bool {
	c, err := e.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

// Read reads from the body; io.EOF means that the body is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept if the answer is complete and nothing else may follow on it.
func (a *Answer) Close() error {
	notCanceled := a.stop == nil || a.stop()
	_, singleUse := a.conn.Conn.(interface{ SingleUse() })
	if singleUse || !a.complete || !a.reusable || !notCanceled || a.conn.reader.Buffered() > 0 {
		return a.conn.Close()
	}
	now := a.exchanger.now()
	a.conn.expires = now.Add(keepAliveTime(a.Header))
	if !a.conn.expires.After(now) || !a.exchanger.idle.put(a.conn, a.conn.RemoteAddr().String()) {
		return a.conn.Close()
	}
	return nil
}

// CloseIdle closes the idle connections to an address, or all of them if it is empty.
func (e *Exchanger) CloseIdle(address string) { e.idle.close(address) }

// keepAliveTime returns how long the peer keeps the connection, from its Keep-Alive header.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTime
}
