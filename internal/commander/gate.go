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

var errTooLate = errors.New("the order's time is over")

// Gate is an http.RoundTripper that hands the body of a call on only before the call's deadline, which it compares right
// before each part is written. Wall time counts as well, as the monotonic clock of a suspended VM stands still.
type DeadlineTransport struct {
	Clock timer.Clock
	Base  http.RoundTripper
}

// RoundTrip runs a call whose body breaks off at the deadline, so that the server cannot take it for whole.
func (g DeadlineTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	deadline, ok := req.Context().Deadline()
	if !ok || req.Body == nil {
		return g.Base.RoundTrip(req)
	}
	gated := req.Clone(req.Context())
	gated.Body = &gatedBody{ReadCloser: req.Body, clock: g.Clock, deadline: deadline}
	gated.GetBody = nil
	return g.Base.RoundTrip(gated)
}

// CloseIdleConnections closes those of the base.
func (g DeadlineTransport) CloseIdleConnections() {
	if base, ok := g.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// Dial is a function that connects to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithResend returns a Dial whose connections give up what was not acknowledged within d, so that the kernel does not
// deliver an order long after its sender gave it up.
func (dial Dial) WithResendLimit(d time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// Connections that are no sockets, as in tests, have no kernel that sends again.
		if s, ok := conn.(syscall.Conn); ok {
			if raw, err := s.SyscallConn(); err == nil {
				_ = limitResend(raw, d)
			}
		}
		return conn, nil
	}
}

type gatedBody struct {
	io.ReadCloser
	clock    timer.Clock
	deadline time.Time
}

// Read hands the next part of the body on.
func (b *gatedBody) Read(p []byte) (int, error) {
	if over(b.clock.Now(), b.deadline) {
		return 0, errTooLate
	}
	return b.ReadCloser.Read(p)
}

// over tells whether a moment has passed by monotonic or by wall time.
func over(now, end time.Time) bool {
	return !now.Before(end) || !now.Round(0).Before(end.Round(0))
}
