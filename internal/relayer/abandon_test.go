package relayer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// bodyFunc is a body that a function reads.
type bodyFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (b bodyFunc) Read(p []byte) (int, error) { return b(p) }

// Close implements io.Closer.
func (b bodyFunc) Close() error { return nil }

// TestRequestTakenForLostIsNotCutOff guards against an answer that is closed in the middle, as the watchdog takes a request for lost
// while its first event arrives, and no other target accepts it: the request is then refused, or the send goes on.
func TestRequestTakenForLostIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls []Call
		r := newTestRelayer(&fakeBackend{})
		watchdog := make(chan struct{})
		r.Backend.Send = func(ctx context.Context, call Call) (*Reply, error) {
			calls = append(calls, call)
			if len(calls) > 1 {
				return &Reply{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, NotRun: true}, nil
			}
			next := 0
			body := bodyFunc(func(p []byte) (int, error) {
				if next++; next == 1 {
					time.Sleep(time.Second)
					// Another stream that the first target received later has begun.
					other := &generation{relayer: r, request: stream(true), path: call.Path, sendStarted: time.Now(), lastProgress: time.Now().Add(time.Hour), started: true}
					r.mu.Lock()
					r.streams[other] = struct{}{}
					r.mu.Unlock()
					time.Sleep(2 * time.Second)
					// The watchdog runs as the event has arrived and is not accepted yet.
					r.checkStreams(t.Context())
					close(watchdog)
					return strings.NewReader(eventRange(1, 1)).Read(p)
				}
				if ctx.Err() != nil {
					return 0, context.Cause(ctx)
				}
				return strings.NewReader("").Read(p)
			})
			return &Reply{Status: http.StatusOK, Header: http.Header{"Signature": {"a"}}, Body: body, Signed: true}, nil
		}
		w, refusal, aborted := serve(r, stream(true))
		<-watchdog
		require.False(t, aborted, "the answer was closed in the middle")
		require.Greater(t, len(calls), 1, "the watchdog has taken it for lost")
		require.NotNil(t, refusal)
		require.Empty(t, w.Body.String())
	})
}
