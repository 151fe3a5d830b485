package caller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/budgeter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, routers ...string) *Client {
	t.Helper()
	httpClient, err := HTTPClient(TLSFiles{}, time.Second)
	require.NoError(t, err)
	t.Cleanup(httpClient.CloseIdleConnections)
	c := New(httpClient, routers)
	c.Jitter = func() float64 { return 0 }
	return c
}

func request() *v1.Request {
	return &v1.Request{Workspace: "counter", Service: "assistant", RequestId: "r-1", Timeout: durationpb.New(10 * time.Second)}
}

// deadAddress returns a loopback address that nothing listens on.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

func TestSendThroughOneEntry(t *testing.T) {
	foreign := &v1.SendResponse{RequestId: "r-2", Attempt: 1, Data: []byte("X")}
	stale := &v1.SendResponse{RequestId: "r-1", Attempt: 1, Position: 1, Data: []byte("X")}
	tests := []struct {
		name    string
		script  []step
		want    string
		code    refuser.Code
		fact    refuser.Fact
		streams int
		dropped int64
	}{
		{name: "complete answer", script: []step{sendParts(1, 0, 3, 3)}, want: "abc", streams: 1},
		{name: "interrupted before the first part", script: []step{abortConnection, sendParts(1, 0, 2, 2)}, want: "ab", streams: 2},
		{name: "interrupted in the middle", script: []step{sequence(sendParts(1, 0, 2, 4), abortConnection), sendParts(2, 2, 4, 4)}, want: "abcd", streams: 2},
		{name: "ends without the last part", script: []step{sendParts(1, 0, 2, 4), sendParts(2, 2, 4, 4)}, want: "abcd", streams: 2},
		{name: "foreign part", script: []step{sequence(sendPart(foreign), sendParts(1, 0, 2, 2))}, want: "ab", streams: 1, dropped: 1},
		{name: "part of an older attempt", script: []step{sequence(sendParts(2, 0, 1, 2), sendPart(stale), sendParts(2, 1, 2, 2))}, want: "ab", streams: 1, dropped: 1},
		{name: "part sent twice", script: []step{sequence(sendParts(1, 0, 2, 3), sendParts(1, 1, 3, 3))}, want: "abc", streams: 1, dropped: 1},
		{name: "part missing", script: []step{sequence(sendParts(1, 0, 1, 3), sendParts(1, 2, 3, 3)), sendParts(2, 1, 3, 3)}, want: "abc", streams: 2, dropped: 1},
		{
			name:    "busy once",
			script:  []step{refuse(refuser.New(refuser.QueueFull, "full")), sendParts(1, 0, 1, 1)},
			want:    "a",
			streams: 2,
		},
		{
			name:    "final refusal",
			script:  []step{refuse(refuser.New(refuser.PayloadTooLarge, "too large"))},
			code:    refuser.PayloadTooLarge,
			fact:    refuser.FactNotRun,
			streams: 1,
		},
		{
			name:    "not-run after an interrupted stream becomes may-have-run",
			script:  []step{abortConnection, refuse(refuser.New(refuser.UnknownService, "gone"))},
			code:    refuser.UnknownService,
			fact:    refuser.FactMayHaveRun,
			streams: 2,
		},
		{
			name:    "outcome uncertain is final",
			script:  []step{refuse(refuser.New(refuser.OutcomeUncertain, "claimed"))},
			code:    refuser.OutcomeUncertain,
			fact:    refuser.FactMayHaveRun,
			streams: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router := newFakeRouter(t, tt.script...)
			c := newClient(t, router.address)
			got, err := c.Call(t.Context(), request())
			require.Len(t, router.requests(), tt.streams)
			require.Equal(t, tt.dropped, c.Counters.Dropped.Load())
			if tt.code != 0 {
				r := refuser.From(err)
				require.Equal(t, tt.code, r.Code)
				require.Equal(t, tt.fact, r.Fact)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, string(got.Data))
		})
	}
}

func TestReattachSendsDeliveredParts(t *testing.T) {
	router := newFakeRouter(t, sequence(sendParts(1, 0, 2, 4), abortConnection), sendParts(2, 2, 4, 4))
	c := newClient(t, router.address)
	_, err := c.Call(t.Context(), request())
	require.NoError(t, err)
	second := router.requests()[1]
	require.Equal(t, [][]byte{[]byte("a"), []byte("b")}, second.Delivered)
	require.Equal(t, []byte("token"), second.ResumeToken)
	require.Equal(t, int64(1), c.Counters.Reattached.Load())
}

func TestSendContinuesThroughAnotherEntry(t *testing.T) {
	second := newFakeRouter(t, sendParts(2, 2, 4, 4))
	first := newFakeRouter(t, sequence(sendParts(1, 0, 2, 4), abortConnection))
	first.entries = []string{first.address, second.address}
	second.entries = first.entries
	c := newClient(t, first.address, second.address)
	got, err := c.Call(t.Context(), request())
	require.NoError(t, err)
	require.Equal(t, "abcd", string(got.Data))
	require.Len(t, second.requests(), 1)
}

func TestUnreachableEntryIsSkipped(t *testing.T) {
	router := newFakeRouter(t, sendParts(1, 0, 1, 1))
	router.entries = []string{deadAddress(t), router.address}
	c := newClient(t, deadAddress(t), router.address)
	got, err := c.Call(t.Context(), request())
	require.NoError(t, err)
	require.Equal(t, "a", string(got.Data))
}

func TestHandOversAreCounted(t *testing.T) {
	router := newFakeRouter(t, abortConnection, sequence(sendParts(1, 0, 2, 4), abortConnection), abortConnection, sequence(sendParts(2, 2, 3, 4), abortConnection), sendParts(3, 3, 4, 4))
	c := newClient(t, router.address)
	_, err := c.Call(t.Context(), request())
	require.NoError(t, err)
	var counts []uint32
	for _, r := range router.requests() {
		counts = append(counts, r.HandOvers)
	}
	require.Equal(t, []uint32{0, 0, 1, 2, 3}, counts, "only streams with a resume token count")
}

func TestNothingReachableIsNotRun(t *testing.T) {
	c := newClient(t, deadAddress(t))
	_, err := c.Call(t.Context(), newRequest(c))
	r := refuser.From(err)
	require.Equal(t, refuser.PeerUnavailable, r.Code)
	require.Equal(t, refuser.FactNotRun, r.Fact)
}

func TestRetryBudgetEndsRetries(t *testing.T) {
	busy := refuse(refuser.New(refuser.QueueFull, "full"))
	router := newFakeRouter(t, busy, busy, busy, busy)
	c := newClient(t, router.address)
	c.Budget = budgeter.New(0, 1)
	_, err := c.Call(t.Context(), request())
	r := refuser.From(err)
	require.Equal(t, refuser.RetryBudgetSpent, r.Code)
	require.Equal(t, refuser.FactNotRun, r.Fact)
	require.Len(t, router.requests(), 2)
}

func TestAlreadyRunningIsAwaited(t *testing.T) {
	tests := []struct {
		outcome v1.Outcome
		want    string
		code    refuser.Code
	}{
		{v1.Outcome_OUTCOME_RAN, "a", 0},
		{v1.Outcome_OUTCOME_MAY_HAVE_RUN, "", refuser.OutcomeUncertain},
	}
	for _, tt := range tests {
		t.Run(tt.outcome.String(), func(t *testing.T) {
			router := newFakeRouter(t, abortConnection, refuse(refuser.New(refuser.AlreadyRunning, "")), sendParts(1, 0, 1, 1))
			router.outcome = tt.outcome
			c := newClient(t, router.address)
			got, err := c.Call(t.Context(), request())
			if tt.code != 0 {
				require.Equal(t, tt.code, refuser.From(err).Code)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, string(got.Data))
		})
	}
}

func TestEmitErrorEndsTheRequest(t *testing.T) {
	router := newFakeRouter(t, sendParts(1, 0, 3, 3))
	c := newClient(t, router.address)
	full := errors.New("disk full")
	err := c.Send(t.Context(), request(), func(*v1.SendResponse) error { return full })
	require.ErrorIs(t, err, full)
	require.Len(t, router.requests(), 1)
}

func TestCancellationIsReturnedUnchanged(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	router := newFakeRouter(t, sequence(sendParts(1, 0, 1, 3), abortConnection))
	c := newClient(t, router.address)
	err := c.Send(ctx, request(), func(*v1.SendResponse) error { cancel(); return nil })
	require.ErrorIs(t, err, context.Canceled)
}

func TestRequestWithoutIDIsRefused(t *testing.T) {
	c := newClient(t, deadAddress(t))
	err := c.Send(t.Context(), &v1.Request{}, nil)
	require.Equal(t, refuser.MalformedRequest, refuser.From(err).Code)
}

func TestTLSFilesAreChecked(t *testing.T) {
	_, err := HTTPClient(TLSFiles{CA: "no-such-file.pem"}, time.Second)
	require.ErrorContains(t, err, "read CA certificates")
	var transport http.RoundTripper
	client, err := HTTPClient(TLSFiles{}, time.Second)
	require.NoError(t, err)
	require.NotEqual(t, transport, client.Transport)
}
