package receiver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// promiseWindow is the maximum distance from now of the time within a request id for the client's promise to count, so that
// an id that was stored and is sent again after a restart carries no promise.
const promiseWindow = 30 * time.Second

// promisedNotRun reports whether the client promises that no earlier send of the request has run or may still run.
func (x *exchange) promisedNotRun() bool {
	if !x.req.GetNotRunBefore() || len(x.req.ResumeToken) > 0 || len(x.req.Delivered) > 0 {
		return false
	}
	issued, ok := journaler.IssuedAt(x.req.RequestId)
	return ok && x.receivedAt.Sub(issued).Abs() <= promiseWindow
}

// correctFact replaces not-run in a refusal unless the journal or the client's promise proves it: the request may have run
// through another entry.
func (x *exchange) correctFact(err error) error {
	if err == nil || x.journalDecided || x.promisedNotRun() || !isValidName(x.req.GetRequestId()) {
		return err
	}
	return replaceNotRun(err)
}

// replaceNotRun replaces the fact not-run by may-have-run.
func replaceNotRun(err error) error {
	refusal := refuser.From(err)
	if refusal.Fact != refuser.FactNotRun {
		return err
	}
	return refusal.WithFact(refuser.FactMayHaveRun)
}

// finalError converts a context error to a refusal that states whether this send of the request may have run.
func (x *exchange) finalError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.hasParts() {
		err = replaceNotRun(err)
	}
	if ctx.Err() == nil || isRefusal(err) {
		return err
	}
	code := refuser.Canceled
	if errors.Is(context.Cause(ctx), errDeadline) {
		code = refuser.DeadlineExceeded
	}
	refusal := refuser.New(code, "after %s", x.receiver.Clock.Now().Sub(x.receivedAt).Round(time.Millisecond)).WithCause(err)
	if x.mayHaveRun || x.hasParts() {
		return refusal.WithFact(refuser.FactMayHaveRun)
	}
	return refusal.WithFact(refuser.FactNotRun)
}

// hasParts reports whether the client has a part of the answer.
func (x *exchange) hasParts() bool { return x.partCount > 0 || len(x.req.Delivered) > 0 }

func isRefusal(err error) bool {
	var r *refuser.Refusal
	return errors.As(err, &r)
}
