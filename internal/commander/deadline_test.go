package commander

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// pausedClock is the system clock; a pause advances its wall time, while its monotonic time stands still.
type pausedClock struct {
	timer.System
	pausedFor atomic.Int64
}

func (c *pausedClock) Now() time.Time {
	return c.System.Now().Round(0).Add(time.Duration(c.pausedFor.Load()))
}

// pausedBody simulates a pause of the process after each part of the body.
type pausedBody struct {
	io.Reader
	clock *pausedClock
	pause time.Duration
}

func (b *pausedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), 4)])
	b.clock.pausedFor.Add(int64(b.pause))
	return n, err
}

func TestOrderIsNotCompleteAfterItsDeadline(t *testing.T) {
	for _, c := range []struct {
		name            string
		before          time.Duration
		between         time.Duration
		http2, complete bool
	}{
		{name: "in time", complete: true},
		{name: "in time over HTTP/2", http2: true, complete: true},
		{name: "paused before the body", before: time.Minute},
		{name: "paused during the body", between: time.Minute},
		{name: "paused before the body over HTTP/2", before: time.Minute, http2: true},
		{name: "paused during the body over HTTP/2", between: time.Minute, http2: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var received atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if body, err := io.ReadAll(r.Body); err == nil && string(body) == "the whole order" {
					received.Add(1)
				}
			}))
			server.EnableHTTP2 = c.http2
			server.StartTLS()
			clock := &pausedClock{}
			client := server.Client()
			client.Transport = DeadlineTransport{Clock: clock, Base: client.Transport}
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			body := &pausedBody{strings.NewReader("the whole order"), clock, c.between}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, body)
			require.NoError(t, err)
			req.ContentLength = int64(len("the whole order"))
			clock.pausedFor.Add(int64(c.before))
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			server.Close()
			require.Equal(t, c.complete, received.Load() == 1)
			require.Equal(t, c.complete, err == nil)
		})
	}
}

// TestPausedHolderSendsNothing guards against an order sent after its deadline: the process is paused after the permit,
// while its lease still reads as valid.
func TestPausedHolderSendsNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		sent  bool
	}{{"not paused", 0, true}, {"paused", time.Minute, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBed()
			clock := &pausedClock{}
			holder := b.commander(t, 1, "v1", time.Now().Add(time.Hour))
			holder.Clock = clock
			order := holder.SendOrder
			var sent, asked atomic.Int32
			holder.SendOrder = func(ctx context.Context, address string, r *enginev1.OrderRequest) (*enginev1.OrderResponse, error) {
				sent.Add(1)
				return order(ctx, address, r)
			}
			remaining := holder.Lease.Remaining
			holder.Lease.Remaining = func() time.Duration {
				// Each of the two targets gets one permit before the orders are recorded and one immediately before its order.
				if asked.Add(1) > 2 {
					defer clock.pausedFor.Add(int64(c.pause))
				}
				return remaining()
			}
			require.NoError(t, holder.Round(t.Context()))
			require.Equal(t, c.sent, sent.Load() > 0)
		})
	}
}
