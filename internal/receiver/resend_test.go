package receiver

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/sequencer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/caller"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func newID() string { return caller.New(nil, nil).NewRequestID() }

// promised gives a request a new id and its caller's promise that it cannot have run.
func promised(req *v1.Request) *v1.Request {
	req.RequestId, req.NotRunBefore = newID(), true
	return req
}

// unconsulted are the ways in which an entry refuses a booking before it asks the journal.
var unconsulted = map[string]struct {
	code refuser.Code
	set  func(b *bench, req *v1.Request)
}{
	"admission": {refuser.QueueFull, func(b *bench, _ *v1.Request) {
		b.Admit = func(context.Context, admitter.Request) (*admitter.Grant, error) {
			return nil, refuser.New(refuser.QueueFull, "full").WithRetryAfter(time.Second)
		}
	}},
	"draining": {refuser.Draining, func(b *bench, _ *v1.Request) {
		b.BeginRequest = func() (func(), error) { return nil, refuser.New(refuser.Draining, "shutting down") }
	}},
	"ordering": {refuser.PredecessorTimedOut, func(b *bench, req *v1.Request) {
		req.OrderingKey, req.Sequence = "agent", 1
		b.Enter = func(context.Context, sequencer.Place) (sequencer.Turn, error) {
			return sequencer.Turn{}, refuser.New(refuser.PredecessorTimedOut, "late")
		}
	}},
	"deadline": {refuser.DeadlineExceeded, func(b *bench, _ *v1.Request) {
		b.Admit = func(ctx context.Context, _ admitter.Request) (*admitter.Grant, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}},
	"service not known here": {refuser.UnknownService, func(b *bench, _ *v1.Request) {
		b.Lookup = func(string) (*documenter.Document, uint64, bool) { return nil, 0, false }
	}},
	"authorization": {refuser.Unauthenticated, func(b *bench, _ *v1.Request) {
		b.Authorize = func(http.Header, *documenter.Document, documenter.Workspace) error {
			return refuser.New(refuser.Unauthenticated, "the token was changed")
		}
	}},
	"malformed": {refuser.MalformedRequest, func(_ *bench, req *v1.Request) { req.Priority = maxPriority + 1 }},
}

// TestNotRunOfARequestThatRanElsewhere loses the answer of a booking and sends it again through an entry that refuses it.
func TestNotRunOfARequestThatRanElsewhere(t *testing.T) {
	for name, tt := range unconsulted {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newBench(t), newBench(t)
				req := promised(plainRequest("POST /bookings"))
				lost := func(*v1.SendResponse) error { return errors.New("connection reset") }
				require.Error(t, first.serve(t.Context(), req, http.Header{}, lost))
				require.Equal(t, 1, first.ran)

				req.NotRunBefore = false
				tt.set(second, req)
				r := refuser.From(second.send(t.Context(), req))
				require.Equal(t, tt.code, r.Code)
				require.Equal(t, refuser.FactMayHaveRun, r.Fact)
				require.Zero(t, second.ran)
			})
		})
	}
}

// TestNotRunOfAFirstSending refuses bookings whose caller promises that they cannot have run.
func TestNotRunOfAFirstSending(t *testing.T) {
	tests := []struct {
		name   string
		change func(*v1.Request)
		fact   refuser.Fact
	}{
		{"promised", func(r *v1.Request) { promised(r) }, refuser.FactNotRun},
		{"not promised", func(r *v1.Request) { r.RequestId = newID() }, refuser.FactMayHaveRun},
		{"an id without time", func(r *v1.Request) { r.NotRunBefore = true }, refuser.FactMayHaveRun},
		{"an old id", func(r *v1.Request) {
			promised(r)
			time.Sleep(promiseWindow + time.Second)
		}, refuser.FactMayHaveRun},
		{"with parts of an answer", func(r *v1.Request) {
			promised(r)
			r.ResumeToken, r.Delivered = []byte("token"), [][]byte{{1}}
		}, refuser.FactMayHaveRun},
	}
	for name, refusal := range unconsulted {
		for _, tt := range tests {
			t.Run(name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t)
					req := with(plainRequest("POST /bookings"), tt.change)
					refusal.set(b, req)
					require.Equal(t, tt.fact, refuser.From(b.send(t.Context(), req)).Fact)
					require.Zero(t, b.ran)
				})
			})
		}
	}
}
