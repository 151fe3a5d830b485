package commander

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/timer"
)

var errDeadlinePassed = errors.New("the order's time is over")

// DeadlineTransport is an http.RoundTripper that sends the body of a call only before the call's deadline, which it checks
// immediately before each part is written. It checks wall time too, as the monotonic clock of a suspended VM stands still.
type DeadlineTransport struct {
	Clock timer.Clock
	Base  http.RoundTripper
}

// RoundTrip runs a call whose body fails at the deadline, so that the server cannot take it as complete.
func (g DeadlineTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	deadline, ok := req.Context().Deadline()
	if !ok || req.Body == nil {
		return g.Base.RoundTrip(req)
	}
	gated := req.Clone(req.Context())
	gated.Body = &deadlineBody{ReadCloser: req.Body, clock: g.Clock, deadline: deadline}
	gated.GetBody = nil
	return g.Base.RoundTrip(gated)
}

// CloseIdleConnections closes the idle connections of Base.
func (g DeadlineTransport) CloseIdleConnections() {
	if base, ok := g.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// Dial is a function that connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithResendLimit returns a Dial whose connections fail if sent data is not acknowledged within d, so that the kernel does
// not deliver an order long after its sender abandoned it.
func (dial Dial) WithResendLimit(d time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// Connections that are not sockets, as in tests, have no kernel that resends.
		if s, ok := conn.(syscall.Conn); ok {
			if raw, err := s.SyscallConn(); err == nil {
				_ = limitResend(raw, d)
			}
		}
		return conn, nil
	}
}

type deadlineBody struct {
	io.ReadCloser
	clock    timer.Clock
	deadline time.Time
}

// Read returns the next part of the body, or an error after the deadline.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if deadlinePassed(b.clock.Now(), b.deadline) {
		return 0, errDeadlinePassed
	}
	return b.ReadCloser.Read(p)
}

// deadlinePassed reports whether end has passed by monotonic or by wall time.
func deadlinePassed(now, end time.Time) bool {
	return !now.Before(end) || !now.Round(0).Before(end.Round(0))
}
