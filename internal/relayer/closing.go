package relayer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// minRetryAfter is the shortest time that a client is told to wait while no daemon accepts its request.
const minRetryAfter = 200 * time.Millisecond

// Closing describes the shutdown of a daemon that no other daemon replaces yet.
type Closing struct {
	// EndsAt is when the daemon ends; only requests with a deadline up to then are accepted.
	EndsAt time.Time
	// ReplacedAt is when another daemon accepts requests again.
	ReplacedAt time.Time
}

// BeginClosing makes the relayer refuse requests that may outlast the daemon, and reports whether it did not do so
// before.
func (r *Relayer) BeginClosing(c Closing) bool { return r.closing.Swap(&c) == nil }

// refuseIfClosing returns a refusal if the daemon is closing and the request may outlast it.
func (r *Relayer) refuseIfClosing(req *Request) *refuser.Refusal {
	refusal := jitterRetryAfter(r.closingRefusal(req))
	if refusal != nil {
		r.logEnd(req, refusal, notMeasured, func(*zerolog.Event) {})
	}
	return refusal
}

// closingRefusal returns the refusal of a request that may outlast a closing daemon, or nil.
func (r *Relayer) closingRefusal(req *Request) *refuser.Refusal {
	c := r.closing.Load()
	if c == nil || !req.Deadline.After(c.EndsAt) {
		return nil
	}
	retryAfter := max(c.ReplacedAt.Sub(r.Clock.Now()), minRetryAfter)
	return refuser.New(refuser.Draining, "this daemon ends, and no other takes requests yet").WithFact(refuser.FactNotRun).WithRetryAfter(retryAfter)
}

// errDaemonEnds ends the requests that have no answer when the daemon ends.
var errDaemonEnds = errors.New("the daemon ends")

// RefuseUnanswered refuses the requests whose answer has not begun, as their connections would be closed without one soon. Answers
// that have begun go on.
func (r *Relayer) RefuseUnanswered() { r.endNow() }

// withEnd returns a context that is done once the daemon ends while an answer has not begun; stop releases it.
func (r *Relayer) withEnd(ctx context.Context, answer *answerWriter) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(r.end, func() {
		if !answer.begun.Load() {
			cancel(errDaemonEnds)
		}
	})
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// answerWriter writes an answer and records that it has begun.
type answerWriter struct {
	http.ResponseWriter
	begun atomic.Bool
}

// WriteHeader writes the head of the answer.
func (a *answerWriter) WriteHeader(status int) {
	a.begun.Store(true)
	a.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
