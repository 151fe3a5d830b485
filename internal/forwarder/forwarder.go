package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Headers of the protocol with plain services.
const (
	// HeaderRequestID carries the request id, which is unique within its workspace.
	HeaderRequestID = "Idempotency-Key"
	// HeaderWorkspace carries the workspace; a service that deduplicates must scope request ids by it.
	HeaderWorkspace = "Rattantray-Workspace"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Rattantray-Timeout-Ms"
	// HeaderNotRun is "true" in the answer to a request that the service did not run.
	HeaderNotRun = "Rattantray-Not-Run"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is short, so that a request rarely gets a connection that the service is closing.
	idleTimeout         = 2 * time.Second
	maxIdlePerTarget    = 64
	defaultAnswerBytes  = 16 << 20
	discardedErrorBytes = 512
)

// Request is one call of a plain service.
type Request struct {
	Workspace cataloger.Workspace
	Service   string
	RequestID string
	// Method is an HTTP method and a path, such as "POST /bookings".
	Method string
	// Route groups requests of similar duration; if empty, Method is used.
	Route   string
	Payload []byte
	// Deadline is when the attempt ends; the zero time means no deadline.
	Deadline time.Time
	// Idempotent allows another attempt after one that may have run.
	Idempotent bool
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Body   []byte
	// Header holds the headers that are forwarded with the answer.
	Header http.Header
	// Target names the instance that answered.
	Target string
}

// Forwarder makes single attempts; its zero value is ready for use.
type Forwarder struct {
	Clock timer.Clock
	// Transport makes the HTTP exchange; it must use a separate net.Conn for each HTTP/1.1 connection. New sets one.
	Transport http.RoundTripper
	// MaxAnswerBytes is the maximum size of an answer body.
	MaxAnswerBytes int64
}

// New returns a forwarder with its own transport over TCP.
func New(clock timer.Clock) *Forwarder {
	return NewOver(clock, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewOver returns a forwarder with its own transport, whose connections are opened by dial.
func NewOver(clock timer.Clock, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Forwarder {
	return &Forwarder{
		Clock: clock,
		Transport: &http.Transport{
			DialContext:         dialCounted(dial),
			MaxIdleConnsPerHost: maxIdlePerTarget,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			ForceAttemptHTTP2:   false,
		},
		MaxAnswerBytes: defaultAnswerBytes,
	}
}

// Close closes idle connections.
func (f *Forwarder) Close() {
	if t, ok := f.Transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// Forward makes one attempt on one instance; an error is a *refuser.Refusal whose fact is proven.
func (f *Forwarder) Forward(ctx context.Context, target cataloger.Target, r Request) (Answer, error) {
	if !r.Deadline.IsZero() {
		remaining := r.Deadline.Sub(f.Clock.Now())
		if remaining <= 0 {
			return Answer{}, refuser.New(refuser.DeadlineExceeded, "before the request was sent").WithFact(refuser.FactNotRun)
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	proof := &writeProof{}
	req, err := f.request(ctx, target, r, proof)
	if err != nil {
		return Answer{}, err
	}
	resp, err := f.Transport.RoundTrip(req)
	if err != nil {
		return Answer{}, exchangeRefusal(ctx, target, proof, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return f.answer(ctx, target, resp)
}

// onceBody hides the type of its reader, so that the request has no GetBody and net/http cannot resend it.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (f *Forwarder) request(ctx context.Context, target cataloger.Target, r Request, proof *writeProof) (*http.Request, error) {
	method, path, ok := strings.Cut(r.Method, " ")
	if !ok || method == "" || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \r\n") {
		return nil, refuser.New(refuser.UnknownMethod, "method %q is not an HTTP method and a path", r.Method)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { proof.recordConn(info.Conn) }}
	body := onceBody{bytes.NewReader(r.Payload)}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+target.Address+path, body)
	if err != nil {
		return nil, refuser.New(refuser.MalformedRequest, "%s", err)
	}
	req.ContentLength = int64(len(r.Payload))
	if len(r.Payload) > 0 {
		req.Header.Set("Content-Type", contentType(r.Payload))
	}
	req.Header.Set(HeaderRequestID, r.RequestID)
	req.Header.Set(HeaderWorkspace, string(r.Workspace))
	if !r.Deadline.IsZero() {
		remaining := r.Deadline.Sub(f.Clock.Now()).Milliseconds()
		req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return req, nil
}

func contentType(payload []byte) string {
	if json.Valid(payload) {
		return "application/json"
	}
	return "application/octet-stream"
}

// exchangeRefusal returns the refusal for a failed exchange; its fact is not-run only if no byte of the request was written.
func exchangeRefusal(ctx context.Context, target cataloger.Target, proof *writeProof, err error) *refuser.Refusal {
	fact := refuser.FactMayHaveRun
	if proof.unwritten() {
		fact = refuser.FactNotRun
	}
	code := refuser.TargetFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = refuser.DeadlineExceeded
	case ctx.Err() != nil:
		code = refuser.Canceled
	}
	return refuser.New(code, "%s: %s", target.Name, err).WithFact(fact).WithCause(err)
}

func (f *Forwarder) answer(ctx context.Context, target cataloger.Target, resp *http.Response) (Answer, error) {
	if !exchanger.IsFinalStatus(resp.StatusCode) {
		return Answer{}, refuser.New(refuser.TargetFailed, "%s: %s: %q", target.Name, exchanger.ErrInvalidStatus, resp.Status).WithFact(refuser.FactMayHaveRun)
	}
	if strings.EqualFold(resp.Header.Get(HeaderNotRun), "true") {
		return Answer{}, notRunRefusal(target, resp)
	}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		text, _ := io.ReadAll(io.LimitReader(resp.Body, discardedErrorBytes))
		return Answer{}, refuser.New(refuser.TargetFailed, "%s answered %s: %s", target.Name, resp.Status, bytes.TrimSpace(text)).
			WithRetryAfter(retryAfter(resp))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, f.MaxAnswerBytes+1))
	if err != nil {
		code := refuser.TargetFailed
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			code = refuser.DeadlineExceeded
		}
		return Answer{}, refuser.New(code, "%s: answer cut off: %s", target.Name, err).WithFact(refuser.FactMayHaveRun).WithCause(err)
	}
	if int64(len(body)) > f.MaxAnswerBytes {
		return Answer{}, refuser.New(refuser.AnswerInvalid, "%s: answer is over %d bytes", target.Name, f.MaxAnswerBytes)
	}
	return Answer{Status: resp.StatusCode, Body: body, Header: selectHeaders(resp.Header), Target: target.Name}, nil
}

func notRunRefusal(target cataloger.Target, resp *http.Response) *refuser.Refusal {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, discardedErrorBytes))
	return refuser.New(refuser.TargetRefused, "%s answered %s: %s", target.Name, resp.Status, bytes.TrimSpace(text)).
		WithRetryAfter(retryAfter(resp))
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

var forwardedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag"}

func selectHeaders(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedHeaders {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}
