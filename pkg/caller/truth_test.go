package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/timer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/budgeter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func newRequest(c *Client) *v1.Request {
	req := request()
	req.RequestId = c.NewRequestID()
	return req
}

func TestNewRequestIDsContainTheirTime(t *testing.T) {
	at := time.UnixMilli(1_700_000_000_123)
	id, err := uuid.Parse(newID(at))
	require.NoError(t, err)
	require.Equal(t, uuid.Version(7), id.Version())
	require.Equal(t, uuid.RFC4122, id.Variant())
	sec, nsec := id.Time().UnixTime()
	require.Equal(t, at.UnixNano(), time.Unix(sec, nsec).UnixNano())
	require.NotEqual(t, newID(at), newID(at))
}

// TestNewIDsPromiseNotRunBefore checks which streams promise that the id cannot have run before.
func TestNewIDsPromiseNotRunBefore(t *testing.T) {
	notRun := refuse(refuser.New(refuser.QueueFull, "full"))
	unknown := refuse(refuser.New(refuser.QueueFull, "full").WithFact(refuser.FactMayHaveRun))
	tests := []struct {
		name   string
		script []step
		want   []bool
	}{
		{"first stream", []step{sendParts(1, 0, 1, 1)}, []bool{true}},
		{"after not-run", []step{notRun, notRun, sendParts(1, 0, 1, 1)}, []bool{true, true, true}},
		{"after may-have-run", []step{unknown, notRun, sendParts(1, 0, 1, 1)}, []bool{true, false, true}},
		{"after an interrupted stream", []step{abortConnection, notRun, sendParts(1, 0, 1, 1)}, []bool{true, false, false}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router := newFakeRouter(t, tt.script...)
			c := newClient(t, router.address)
			req := newRequest(c)
			_, err := c.Call(t.Context(), req)
			require.NoError(t, err)
			require.Equal(t, tt.want, notRunBeforeFlags(router))
		})
	}
}

func notRunBeforeFlags(router *fakeRouter) []bool {
	var found []bool
	for _, r := range router.requests() {
		found = append(found, r.NotRunBefore)
	}
	return found
}

func TestIDsThatMayHaveBeenSentPromiseNothing(t *testing.T) {
	router := newFakeRouter(t, abortConnection, sendParts(1, 0, 1, 1), sendParts(1, 0, 1, 1), sendParts(1, 0, 1, 1), sendParts(1, 0, 1, 1))
	c := newClient(t, router.address)
	c.MaxAttempts = 1
	req := newRequest(c)
	_, err := c.Call(t.Context(), req)
	require.Error(t, err)
	_, err = c.Call(t.Context(), req)
	require.NoError(t, err, "the same process sends the id again")
	restarted := newClient(t, router.address)
	_, err = restarted.Call(t.Context(), req)
	require.NoError(t, err, "another process sends the id again")
	ownID := request()
	ownID.NotRunBefore = true
	_, err = c.Call(t.Context(), ownID)
	require.NoError(t, err, "the caller's own id and promise")
	require.Equal(t, []bool{true, false, false, false}, notRunBeforeFlags(router))
}

func TestIDThatMayHaveBeenSentMayHaveRun(t *testing.T) {
	c := newClient(t, deadAddress(t))
	_, err := c.Call(t.Context(), request())
	r := refuser.From(err)
	require.Equal(t, refuser.PeerUnavailable, r.Code)
	require.Equal(t, refuser.FactMayHaveRun, r.Fact)
}

// noSleep fails the test if the client waits.
type noSleep struct {
	timer.System
	t *testing.T
}

func (c noSleep) Sleep(ctx context.Context, d time.Duration) error {
	if d > 0 {
		c.t.Errorf("client waited %s before its final error", d)
	}
	return c.System.Sleep(ctx, d)
}

func TestFinalRefusalIsImmediateAndKeepsRetryAfter(t *testing.T) {
	const retryAfter = 20 * time.Second
	busy := refuse(refuser.New(refuser.QueueFull, "full").WithRetryAfter(retryAfter))
	tests := []struct {
		name string
		set  func(*Client)
		code refuser.Code
	}{
		{"retry-after is past the deadline", func(*Client) {}, refuser.QueueFull},
		{"last attempt", func(c *Client) { c.MaxAttempts = 1 }, refuser.QueueFull},
		{"retry budget spent", func(c *Client) { c.Budget = budgeter.New(0, 0) }, refuser.RetryBudgetSpent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router := newFakeRouter(t, busy, busy)
			c := newClient(t, router.address)
			c.Clock = noSleep{t: t}
			tt.set(c)
			req := request()
			if tt.code == refuser.RetryBudgetSpent {
				req.Timeout = durationpb.New(time.Minute)
			}
			_, err := c.Call(t.Context(), req)
			r := refuser.From(err)
			require.Equal(t, tt.code, r.Code)
			require.Equal(t, refuser.FactNotRun, r.Fact)
			require.Equal(t, retryAfter, r.RetryAfter)
			require.Len(t, router.requests(), 1)
		})
	}
}

// TestRefusalAtTheDeadlineIsReceived has the entry refuse just after the deadline that the request carries.
func TestRefusalAtTheDeadlineIsReceived(t *testing.T) {
	late := func(ctx context.Context, req *v1.Request, _ *connect.ServerStream[v1.SendResponse]) error {
		_ = timer.System{}.Sleep(ctx, req.Timeout.AsDuration()+20*time.Millisecond)
		return refuser.New(refuser.DeadlineExceeded, "waited for admission").Connect()
	}
	hang := func(ctx context.Context, _ *v1.Request, _ *connect.ServerStream[v1.SendResponse]) error {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	for name, tt := range map[string]struct {
		script step
		fact   refuser.Fact
	}{
		"refused":   {late, refuser.FactNotRun},
		"no answer": {hang, refuser.FactMayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			router := newFakeRouter(t, tt.script)
			c := newClient(t, router.address)
			req := newRequest(c)
			req.Timeout = durationpb.New(100 * time.Millisecond)
			_, err := c.Call(t.Context(), req)
			r := refuser.From(err)
			require.Equal(t, refuser.DeadlineExceeded, r.Code)
			require.Equal(t, tt.fact, r.Fact)
		})
	}
}
