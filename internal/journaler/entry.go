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
	// voidGrace is how long a call whose deadline has passed waits until not-run is recorded.
	voidGrace        = time.Second
	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = 250 * time.Millisecond
)

// Execute runs a request unless it ran before, and returns its outcome, or a refusal whose fact about the run is proven.
func (j *Journaler) Execute(ctx context.Context, r Request, run RunFunc) (Outcome, error) {
	j.init()
	c := &call{id: r.ID, deadline: r.Deadline, notRunBefore: r.NotRunBefore}
	if refusal := j.validate(r); refusal != nil {
		return Outcome{}, refusal.WithFact(c.factWithoutVerdict())
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
	d, maybeSent := j.obtainDecision(ctx, c, r, cl)
	j.wait.Update(j.Clock.Now().Sub(began).Microseconds())
	switch d.action {
	case actionAnswer:
		return d.outcome, nil
	case actionVoid:
		return Outcome{}, j.reportNotRun(ctx, r, cl, d.refusal)
	case actionRefuse:
		if maybeSent {
			// A claim may still reach an owner; without this report it would never get an outcome.
			j.queueReport(pendingReport{request: r, claim: cl, result: result{fact: refuser.FactNotRun}})
		}
		return Outcome{}, d.refusal
	}
	return j.dispatch(ctx, r, cl, run)
}

// validate checks a request before the journal is asked, so its refusal proves nothing about the id.
func (j *Journaler) validate(r Request) *refuser.Refusal {
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

// obtainDecision sends the claim to owners until there is a verdict; maybeSent reports whether a claim without a verdict
// may have reached an owner.
func (j *Journaler) obtainDecision(ctx context.Context, c *call, r Request, cl claim) (d decision, maybeSent bool) {
	claimCtx, cancel := untilCanceled(ctx)
	defer cancel()
	retryInterval := minRetryInterval
	for {
		v, sent, err := j.sendClaim(claimCtx, r, cl)
		if err == nil {
			d := c.decide(j.Clock.Now(), v)
			if d.action != actionSendClaim {
				return d, maybeSent
			}
		}
		maybeSent = maybeSent || (sent && err != nil)
		remaining := r.Deadline.Sub(j.Clock.Now())
		if remaining <= 0 {
			return c.abandon(refuser.DeadlineExceeded), maybeSent
		}
		if j.Clock.Sleep(ctx, min(remaining, j.jitter(retryInterval))) != nil {
			return c.abandon(refuser.Canceled), maybeSent
		}
		retryInterval = min(2*retryInterval, maxRetryInterval)
	}
}

// untilCanceled returns a context that ends when ctx is cancelled before its deadline, but outlives the deadline, since
// the owner's verdict at the deadline says whether the claim was voided.
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

// dispatch uses the permit: it runs the request and reports the outcome.
func (j *Journaler) dispatch(ctx context.Context, r Request, cl claim, run RunFunc) (Outcome, error) {
	answer, err := run(ctx)
	if err == nil {
		return j.recordRan(r, cl, answer), nil
	}
	refusal := refuser.From(err)
	if refusal.Fact == refuser.FactNotRun {
		return Outcome{}, j.reportNotRun(ctx, r, cl, refusal)
	}
	j.queueReport(pendingReport{request: r, claim: cl, result: result{fact: refuser.FactMayHaveRun}})
	return Outcome{}, refusal.WithFact(refuser.FactMayHaveRun)
}

func (j *Journaler) recordRan(r Request, cl claim, answer Answer) Outcome {
	digest := sha256.Sum256(answer.Body)
	res := result{fact: refuser.FactRan, status: answer.Status, digest: digest}
	if len(answer.Body) <= min(r.AnswerBytes, j.Limits.MaxAnswerBytes) {
		res.kept = true
		res.answer = answer.Body
		res.keepUntil = millis(j.Clock.Now().Add(min(r.Retention, j.Limits.Window)))
	}
	j.queueReport(pendingReport{request: r, claim: cl, result: res})
	return Outcome{Fact: refuser.FactRan, Answer: answer, Kept: true, Digest: digest}
}

// reportNotRun records not-run and returns the refusal, or a refusal with may-have-run if the record may be missing.
func (j *Journaler) reportNotRun(ctx context.Context, r Request, cl claim, refusal *refuser.Refusal) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidGrace)
	defer cancel()
	p := pendingReport{request: r, claim: cl, result: result{fact: refuser.FactNotRun}}
	if j.sendReport(ctx, p) {
		return refusal
	}
	j.queueReport(p)
	if r.NotRunBefore {
		return refusal
	}
	return refuser.New(refuser.OutcomeUncertain, "not-run could not be recorded after: %s", refusal.Message).WithCause(refusal)
}

// Get returns the outcome of an earlier request; the zero outcome means that the id is unknown.
func (j *Journaler) Get(ctx context.Context, workspace cataloger.Workspace, id string) (Outcome, error) {
	j.init()
	r := Request{Workspace: workspace, ID: id, Deadline: j.Clock.Now().Add(voidGrace)}
	if refusal := j.validate(r); refusal != nil {
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
		// A lost incarnation, or one that was not asked, may have run it.
		return Outcome{Fact: refuser.FactMayHaveRun}, nil
	}
	return out, err
}

func (j *Journaler) getStored(ctx context.Context, r Request, cl claim) (Outcome, error) {
	for {
		v, _, err := j.sendClaim(ctx, r, cl)
		if err == nil && v.kind != verdictNotOwner {
			return outcomeOf(v, r.ID)
		}
		if j.Clock.Sleep(ctx, j.jitter(minRetryInterval)) != nil || !j.Clock.Now().Before(r.Deadline) {
			return Outcome{}, refuser.New(refuser.StoreUnavailable, "the journal could not be asked").WithFact(refuser.FactMayHaveRun)
		}
	}
}

// maxBoundQueries bounds the number of other daemons that one Get asks about requests in bound mode.
const maxBoundQueries = 16

// getBound asks this daemon, and then others concurrently, for the outcome of a request bound to them.
func (j *Journaler) getBound(ctx context.Context, r Request, cl claim) (Outcome, bool) {
	r.Mode = documenter.ModeBound
	self := j.Self()
	if out, ok := j.getBoundFrom(ctx, r, cl, self); ok {
		return out, true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	others := slices.DeleteFunc(j.Members(), j.isSelf)
	others = others[:min(len(others), maxBoundQueries)]
	found := make(chan Outcome, len(others))
	var wait sync.WaitGroup
	for _, m := range others {
		wait.Go(func() {
			if out, ok := j.getBoundFrom(ctx, r, cl, m); ok {
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

func (j *Journaler) getBoundFrom(ctx context.Context, r Request, cl claim, m cataloger.Member) (Outcome, bool) {
	r.BoundTo = IncarnationName(m)
	v, _, err := j.sendClaim(ctx, r, cl)
	if err != nil || (v.kind != verdictOutcome && v.kind != verdictRunning) {
		return Outcome{}, false
	}
	out, err := outcomeOf(v, r.ID)
	return out, err == nil
}

func outcomeOf(v verdict, id string) (Outcome, error) {
	switch v.kind {
	case verdictOutcome:
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
