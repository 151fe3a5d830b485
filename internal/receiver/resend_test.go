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

// withPromise gives a request a new id and the client's promise that it cannot have run.
func withPromise(req *v1.Request) *v1.Request {
	req.RequestId, req.NotRunBefore = newID(), true
	return req
}

// refusalsBeforeJournal are the ways in which an entry refuses a non-idempotent request before it asks the journal.
var refusalsBeforeJournal = map[string]struct {
	code refuser.Code
	set  func(b *testBench, req *v1.Request)
}{
	"admission": {refuser.QueueFull, func(b *testBench, _ *v1.Request) {
		b.Admit = func(context.Context, admitter.Request) (*admitter.Grant, error) {
			return nil, refuser.New(refuser.QueueFull, "full").WithRetryAfter(time.Second)
		}
	}},
	"draining": {refuser.Draining, func(b *testBench, _ *v1.Request) {
		b.BeginRequest = func() (func(), error) { return nil, refuser.New(refuser.Draining, "shutting down") }
	}},
	"ordering": {refuser.PredecessorTimedOut, func(b *testBench, req *v1.Request) {
		req.OrderingKey, req.Sequence = "agent", 1
		b.Enter = func(context.Context, sequencer.Place) (sequencer.Turn, error) {
			return sequencer.Turn{}, refuser.New(refuser.PredecessorTimedOut, "late")
		}
	}},
	"deadline": {refuser.DeadlineExceeded, func(b *testBench, _ *v1.Request) {
		b.Admit = func(ctx context.Context, _ admitter.Request) (*admitter.Grant, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}},
	"service unknown to this entry": {refuser.UnknownService, func(b *testBench, _ *v1.Request) {
		b.Lookup = func(string) (*documenter.Document, uint64, bool) { return nil, 0, false }
	}},
	"authorization": {refuser.Unauthenticated, func(b *testBench, _ *v1.Request) {
		b.Authorize = func(http.Header, *documenter.Document, documenter.Workspace) error {
			return refuser.New(refuser.Unauthenticated, "the token was changed")
		}
	}},
	"malformed": {refuser.MalformedRequest, func(_ *testBench, req *v1.Request) { req.Priority = maxPriority + 1 }},
}

// TestNotRunIsNotReportedAfterARunElsewhere guards against a false not-run: a non-idempotent request runs, its answer is
// lost, and it is sent again through an entry that refuses it.
func TestNotRunIsNotReportedAfterARunElsewhere(t *testing.T) {
	for name, tt := range refusalsBeforeJournal {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newTestBench(t), newTestBench(t)
				req := withPromise(plainRequest("POST /bookings"))
				failEmit := func(*v1.SendResponse) error { return errors.New("connection reset") }
				require.Error(t, first.serve(t.Context(), req, http.Header{}, failEmit))
				require.Equal(t, 1, first.runs)

				req.NotRunBefore = false
				tt.set(second, req)
				r := refuser.From(second.send(t.Context(), req))
				require.Equal(t, tt.code, r.Code)
				require.Equal(t, refuser.FactMayHaveRun, r.Fact)
				require.Zero(t, second.runs)
			})
		})
	}
}

// TestNotRunOfAFirstSend checks that a refusal says not-run only under a valid promise of the client that the request
// cannot have run.
func TestNotRunOfAFirstSend(t *testing.T) {
	tests := []struct {
		name   string
		change func(*v1.Request)
		fact   refuser.Fact
	}{
		{"promised", func(r *v1.Request) { withPromise(r) }, refuser.FactNotRun},
		{"not promised", func(r *v1.Request) { r.RequestId = newID() }, refuser.FactMayHaveRun},
		{"id without time", func(r *v1.Request) { r.NotRunBefore = true }, refuser.FactMayHaveRun},
		{"old id", func(r *v1.Request) {
			withPromise(r)
			time.Sleep(promiseWindow + time.Second)
		}, refuser.FactMayHaveRun},
		{"with parts of an answer", func(r *v1.Request) {
			withPromise(r)
			r.ResumeToken, r.Delivered = []byte("token"), [][]byte{{1}}
		}, refuser.FactMayHaveRun},
	}
	for name, refusal := range refusalsBeforeJournal {
		for _, tt := range tests {
			t.Run(name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newTestBench(t)
					req := modify(plainRequest("POST /bookings"), tt.change)
					refusal.set(b, req)
					require.Equal(t, tt.fact, refuser.From(b.send(t.Context(), req)).Fact)
					require.Zero(t, b.runs)
				})
			})
		}
	}
}
