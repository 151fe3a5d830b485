package receiver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// promiseWindow is how far the time within an id may be from now for its caller's promise to count, so that an id that
// was kept and is sent again after a restart carries none.
const promiseWindow = 30 * time.Second

// notRunBefore tells whether no earlier sending of the request has run or may still run, as its caller promises.
func (x *exchange) notRunBefore() bool {
	if !x.req.GetNotRunBefore() || len(x.req.ResumeToken) > 0 || len(x.req.Delivered) > 0 {
		return false
	}
	issued, ok := journaler.IssuedAt(x.req.RequestId)
	return ok && x.begin.Sub(issued).Abs() <= promiseWindow
}

// truthful keeps a refusal from saying not-run where neither the journal nor the caller's promise proves it: the id may
// have run through another entry.
func (x *exchange) truthful(err error) error {
	if err == nil || x.proven || x.notRunBefore() || !goodName(x.req.GetRequestId()) {
		return err
	}
	return withoutNotRun(err)
}

// withoutNotRun turns not-run into may-have-run.
func withoutNotRun(err error) error {
	refusal := refuser.From(err)
	if refusal.Fact != refuser.FactNotRun {
		return err
	}
	return refusal.WithFact(refuser.FactMayHaveRun)
}

// final turns the end of the context into a refusal that says whether this sending may have run.
func (x *exchange) final(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if x.begun() {
		err = withoutNotRun(err)
	}
	if ctx.Err() == nil || isRefusal(err) {
		return err
	}
	code := refuser.Canceled
	if errors.Is(context.Cause(ctx), errDeadline) {
		code = refuser.DeadlineExceeded
	}
	refusal := refuser.New(code, "after %s", x.receiver.Clock.Now().Sub(x.begin).Round(time.Millisecond)).WithCause(err)
	if x.started || x.begun() {
		return refusal.WithFact(refuser.FactMayHaveRun)
	}
	return refusal.WithFact(refuser.FactNotRun)
}

// begun tells whether the caller has a part of the answer.
func (x *exchange) begun() bool { return x.parts > 0 || len(x.req.Delivered) > 0 }

func isRefusal(err error) bool {
	var r *refuser.Refusal
	return errors.As(err, &r)
}
