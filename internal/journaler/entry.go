package journaler

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	maxIDBytes = 256
	// voidGrace is how long a caller whose deadline is past waits for not-run to be recorded.
	voidGrace      = time.Second
	minAskInterval = 10 * time.Millisecond
	maxAskInterval = 250 * time.Millisecond
)

// Execute runs a request unless it ran before, and returns its outcome or a refusal whose fact is proven.
func (j *Journaler) Execute(ctx context.Context, r Request, run RunFunc) (Outcome, error) {
	j.init()
	c := &call{id: r.ID, deadline: r.Deadline, notRunBefore: r.NotRunBefore}
	if refusal := j.check(r); refusal != nil {
		return Outcome{}, refusal.WithFact(c.fact())
	}
	began := j.Clock.Now()
	self := j.Self()
	cl := claim{
		key:        keyOf(r.Workspace, r.ID),
		issued:     issuedMillis(r.ID),
		dispatcher: Dispatcher{Member: self.Name, Incarnation: self.Incarnation, Nonce: j.nonce.Add(1)},
		deadline:   r.Deadline,
	}
	copy(cl.payload[:], r.PayloadDigest[:])
	d, asked := j.obtain(ctx, c, r, cl)
	j.wait.Update(j.Clock.Now().Sub(began).Microseconds())
	switch d.action {
	case actionAnswer:
		return d.outcome, nil
	case actionVoid:
		return Outcome{}, j.reportNotRun(ctx, r, cl, d.refusal)
	case actionRefuse:
		if asked {
			// A claim may be on its way to an owner; without a report it would stay without an outcome.
			j.reportLater(pendingReport{request: r, claim: cl, result: result{fact: refuser.FactNotRun}})
		}
		return Outcome{}, d.refusal
	}
	return j.dispatch(ctx, r, cl, run)
}

// check refuses a call before the journal is asked, so that its refusal proves nothing of the id.
func (j *Journaler) check(r Request) *refuser.Refusal {
	switch {
	case r.ID == "" || len(r.ID) > maxIDBytes || !utf8.ValidString(r.ID):
		return refuser.New(refuser.MalformedRequest, "a request id has 1 to %d bytes of UTF-8", maxIDBytes)
	case r.Workspace == "" || !utf8.ValidString(string(r.Workspace)):
		return refuser.New(refuser.MalformedRequest, "no workspace")
	case r.Mode == documenter.ModeBound && r.BoundTo == "":
		return refuser.New(refuser.MalformedRequest, "the service is in bound mode: bound_to must name the incarnation that Resolve gave")
	case !j.running.Load():
		return refuser.New(refuser.NotReady, "the journal is not running")
	case !j.Clock.Now().Before(r.Deadline):
		return refuser.New(refuser.DeadlineExceeded, "before the request was claimed")
	}
	return nil
}

// obtain asks owners until there is a verdict; asked tells whether a claim may be on an owner without one.
func (j *Journaler) obtain(ctx context.Context, c *call, r Request, cl claim) (d decision, asked bool) {
	askCtx, cancel := untilCanceled(ctx)
	defer cancel()
	pause := minAskInterval
	for {
		v, sent, err := j.ask(askCtx, r, cl)
		if err == nil {
			d := c.verdict(j.Clock.Now(), v)
			if d.action != actionAsk {
				return d, asked
			}
		}
		asked = asked || (sent && err != nil)
		left := r.Deadline.Sub(j.Clock.Now())
		if left <= 0 {
			return c.giveUp(refuser.DeadlineExceeded), asked
		}
		if j.Clock.Sleep(ctx, min(left, j.jitter(pause))) != nil {
			return c.giveUp(refuser.Canceled), asked
		}
		pause = min(2*pause, maxAskInterval)
	}
}

// untilCanceled returns a context that outlives the deadline of ctx, as the owner's verdict at the deadline says whether
// the claim was voided, and ends when ctx is cancelled before.
func untilCanceled(ctx context.Context) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	return out, func() {
		stop()
		cancel()
	}
}

// dispatch uses the permit.
func (j *Journaler) dispatch(ctx context.Context, r Request, cl claim, run RunFunc) (Outcome, error) {
	answer, err := run(ctx)
	if err == nil {
		return j.ran(r, cl, answer), nil
	}
	refusal := refuser.From(err)
	if refusal.Fact == refuser.FactNotRun {
		return Outcome{}, j.reportNotRun(ctx, r, cl, refusal)
	}
	j.reportLater(pendingReport{request: r, claim: cl, result: result{fact: refuser.FactMayHaveRun}})
	return Outcome{}, refusal.WithFact(refuser.FactMayHaveRun)
}

func (j *Journaler) ran(r Request, cl claim, answer Answer) Outcome {
	digest := sha256.Sum256(answer.Body)
	res := result{fact: refuser.FactRan, status: answer.Status, digest: digest}
	if len(answer.Body) <= min(r.AnswerBytes, j.Limits.MaxAnswerBytes) {
		res.kept = true
		res.answer = answer.Body
		res.keepUntil = millis(j.Clock.Now().Add(min(r.Retention, j.Limits.Window)))
	}
	j.reportLater(pendingReport{request: r, claim: cl, result: res})
	return Outcome{Fact: refuser.FactRan, Answer: answer, Kept: true, Digest: digest}
}

// reportNotRun records not-run and returns the refusal, or says may-have-run where the record may be missing.
func (j *Journaler) reportNotRun(ctx context.Context, r Request, cl claim, refusal *refuser.Refusal) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidGrace)
	defer cancel()
	p := pendingReport{request: r, claim: cl, result: result{fact: refuser.FactNotRun}}
	if j.sendReport(ctx, p) {
		return refusal
	}
	j.reportLater(p)
	if r.NotRunBefore {
		return refusal
	}
	return refuser.New(refuser.OutcomeUncertain, "not-run could not be recorded after: %s", refusal.Message).WithCause(refusal)
}

// Get returns the outcome of an earlier request; the zero outcome is an unknown id.
func (j *Journaler) Get(ctx context.Context, workspace cataloger.Workspace, id string) (Outcome, error) {
	j.init()
	r := Request{Workspace: workspace, ID: id, Deadline: j.Clock.Now().Add(voidGrace)}
	if refusal := j.check(r); refusal != nil {
		return Outcome{}, refusal.WithFact(refuser.FactMayHaveRun)
	}
	cl := claim{key: keyOf(workspace, id), issued: issuedMillis(id), deadline: r.Deadline, readOnly: true}
	bound := j.UsesBoundMode != nil && j.UsesBoundMode(workspace)
	if bound {
		if out, ok := j.getBound(ctx, r, cl); ok {
			return out, nil
		}
	}
	out, err := j.getStored(ctx, r, cl)
	if bound && err == nil && out.Fact == refuser.FactUnspecified {
		// An incarnation that is gone, or was not asked, may have run it.
		return Outcome{Fact: refuser.FactMayHaveRun}, nil
	}
	return out, err
}

func (j *Journaler) getStored(ctx context.Context, r Request, cl claim) (Outcome, error) {
	for {
		v, _, err := j.ask(ctx, r, cl)
		if err == nil && v.kind != verdictNotOwner {
			return got(v, r.ID)
		}
		if j.Clock.Sleep(ctx, j.jitter(minAskInterval)) != nil || !j.Clock.Now().Before(r.Deadline) {
			return Outcome{}, refuser.New(refuser.StoreUnavailable, "the journal could not be asked").WithFact(refuser.FactMayHaveRun)
		}
	}
}

// maxBoundAsked bounds the daemons that one Get asks about requests in bound mode.
const maxBoundAsked = 16

// getBound asks this daemon and then others, at the same time, whether a request is bound to them.
func (j *Journaler) getBound(ctx context.Context, r Request, cl claim) (Outcome, bool) {
	r.Mode = documenter.ModeBound
	self := j.Self()
	if out, ok := j.getBoundTo(ctx, r, cl, self); ok {
		return out, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := slices.DeleteFunc(j.Members(), j.isSelf)
	others = others[:min(len(others), maxBoundAsked)]
	found := make(chan Outcome, len(others))
	var wait sync.WaitGroup
	for _, m := range others {
		wait.Go(func() {
			if out, ok := j.getBoundTo(ctx, r, cl, m); ok {
				found <- out
				cancel()
			}
		})
	}
	wait.Wait()
	close(found)
	out, ok := <-found
	return out, ok
}

func (j *Journaler) getBoundTo(ctx context.Context, r Request, cl claim, m cataloger.Member) (Outcome, bool) {
	r.BoundTo = IncarnationName(m)
	v, _, err := j.ask(ctx, r, cl)
	if err != nil || (v.kind != verdictKnown && v.kind != verdictRunning) {
		return Outcome{}, false
	}
	out, err := got(v, r.ID)
	return out, err == nil
}

func got(v verdict, id string) (Outcome, error) {
	switch v.kind {
	case verdictKnown:
		return v.result.outcome(), nil
	case verdictRunning:
		return Outcome{Fact: refuser.FactMayHaveRun, Running: true}, nil
	case verdictUnknown, verdictFuture:
		return Outcome{}, nil
	case verdictExpired:
		return Outcome{}, refuser.New(refuser.RequestIDExpired, "request id %q", id)
	}
	return Outcome{}, refuser.New(refuser.StoreUnavailable, "the journal could not be read").WithFact(refuser.FactMayHaveRun)
}
