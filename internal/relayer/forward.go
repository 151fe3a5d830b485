package relayer

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// maxBufferedBytes is the size up to which an answer is read completely before any of it is forwarded, so that
	// another target can be tried: eighty times the answers of the deployments. A longer signed success is forwarded as
	// it arrives.
	maxBufferedBytes = 64 << 10
	// answersPerObjective is how many answers of an instance that works as usual fit into the objective of a route.
	answersPerObjective = 4
)

// plainCall is a request to a plain service, across its attempts.
type plainCall struct {
	relayer *Relayer
	request *Request
	// failure is the last answer that reports a failure of the target itself; the client gets it if no better answer
	// comes.
	failure *bufferedReply
	reply   *bufferedReply
	// keys identify the request and its repeats.
	keys []quarantiner.Key
	// content is the key of the request as a whole.
	content quarantiner.Key
	// targets are the names of the targets that were tried.
	targets []string
	// notPermitted counts the targets that were at their limits since the last attempt.
	notPermitted int
}

// bufferedReply is a reply whose body was read up to maxBufferedBytes.
type bufferedReply struct {
	*Reply
	body []byte
	// hasMore is true if the body continues.
	hasMore bool
	// end ends the exchange; nil if it has already ended.
	end func()
}

// forward relays a request to one of the targets of a plain service.
func (r *Relayer) forward(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	call := &plainCall{relayer: r, request: req, content: req.contentKey(), keys: []quarantiner.Key{quarantiner.RequestKey(req.Service.Name, req.Method, req.URI, req.Body)}}
	refusal := jitterRetryAfter(call.run(ctx, w))
	r.logEnd(req, refusal, notMeasured, func(e *zerolog.Event) { e.Strs("targets", call.targets) })
	return refusal
}

// run makes attempts until an answer can be forwarded.
func (c *plainCall) run(ctx context.Context, w http.ResponseWriter) *refuser.Refusal {
	r, req, call := c.relayer, c.request, c
	if d := r.admit(c.keys); d.Verdict == quarantiner.Quarantined {
		return quarantinedRequest().WithRetryAfter(d.Wait)
	}
	_, err := r.Balancer.Run(ctx, c.instances, forwarder.Request{
		Workspace:  req.Workspace,
		Service:    req.Service.Name,
		Route:      req.Route.Name,
		RequestID:  req.ID,
		Deadline:   req.Deadline,
		Idempotent: req.Route.Repeatable(),
	}, forwarder.Policy{
		MaxAttempts: max(req.Route.MaxAttempts, 1),
		Permit:      c.permit,
		HeldBack:    func() []string { return r.heldBack(req.Service.Name) },
		Spend:       func() bool { return r.spendRetry(req) },
	}, call.attempt)
	switch {
	case err == nil:
		return call.reply.write(w)
	case call.failure != nil && !r.expired(ctx, req):
		return call.failure.write(w)
	case r.expired(ctx, req):
		return r.expiryRefusal(ctx, req, refuser.From(err).Fact)
	}
	refusal := refuser.From(err)
	if refusal.Code == refuser.NoTarget && c.notPermitted > 0 {
		refusal = refuser.New(refuser.TargetsAtLimit, "the instances get as many requests as they accept").WithFact(refusal.Fact).WithRetryAfter(refusal.RetryAfter)
	}
	if back := r.Chooser.WaitForTarget(req.Service.Name); back > 0 && refusal.Fact == refuser.FactNotRun {
		return refusal.WithRetryAfter(back)
	}
	return refusal
}

// heldBack returns the instances of a service that have started or come back and get requests only if no other may.
func (r *Relayer) heldBack(service string) []string {
	return slices.Collect(maps.Keys(r.Pacer.Verdicts(service)))
}

// quarantinedRequest returns the refusal of a request whose repeats crash targets.
func quarantinedRequest() *refuser.Refusal {
	return refuser.New(refuser.Quarantined, "this request has crashed its targets").WithFact(refuser.FactNotRun)
}

// instances returns the targets for the next attempt. Once maxPermitTries of them were at their limits, it offers only those
// without one.
func (c *plainCall) instances() []cataloger.Target {
	r := c.relayer
	out := r.pickableInstances(c.request.Service.Name)
	if c.notPermitted < maxPermitTries {
		return out
	}
	limits := r.Throttler.States()
	return slices.DeleteFunc(out, func(t cataloger.Target) bool { _, limited := limits[t.Name]; return limited })
}

// permit reports whether an attempt may be sent to a target.
func (c *plainCall) permit(ctx context.Context, t cataloger.Target) bool {
	if !c.relayer.permit(ctx, c.request, t) {
		c.notPermitted++
		return false
	}
	c.notPermitted = 0
	return true
}

// pickableInstances returns the targets of a service for the balancer; lost and paused ones and those at their limits are suspect.
func (r *Relayer) pickableInstances(service string) []cataloger.Target {
	var out []cataloger.Target
	limits := r.Throttler.States()
	for _, v := range r.Targets.Service(service) {
		t := v.Target
		if v.Unreachable || v.Paused > 0 || limits[v.Name].Wait > 0 {
			t = t.WithState(cataloger.StateSuspect)
		}
		// Incarnations with the same name share nothing, not even their breakers.
		out = append(out, t)
	}
	return out
}

// attempt sends the request to one target and reads its answer, up to maxBufferedBytes.
func (c *plainCall) attempt(ctx context.Context, t cataloger.Target, fr forwarder.Request) (forwarder.Answer, error) {
	if len(c.targets) > 0 && c.relayer.Quarantiner.IsQuarantined(c.keys) {
		return forwarder.Answer{}, quarantinedRequest()
	}
	repeated := slices.Contains(c.targets, t.Name)
	c.targets = append(c.targets, t.Name)
	now := c.relayer.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	stopTimer := c.relayer.Clock.AfterFunc(fr.Deadline.Sub(now), func() { cancel(context.DeadlineExceeded) })
	end := func() {
		stopTimer()
		cancel(nil)
	}
	call := Call{Request: c.request, Content: c.content, Target: t, Remaining: c.request.Deadline.Sub(now), Repeated: repeated}
	c.relayer.logSent(call, len(c.targets))
	pacing := c.relayer.Pacer.Send([]string{t.Name}, c.request.Route.Objective/answersPerObjective)
	defer pacing.Close()
	if fr.Idempotent {
		endTracking := c.relayer.trackSend(&plainSend{address: t.Address, began: now, cancel: cancel})
		defer endTracking()
	}
	reply, err := c.relayer.Backend.Send(ctx, call)
	if errors.Is(err, exchanger.ErrNotSent) && ctx.Err() == nil || err == nil && reply.NotRun {
		pacing.RecordTrouble(t.Name)
	}
	if err != nil {
		defer end()
		if ctx.Err() == nil && !errors.Is(err, exchanger.ErrNotSent) {
			c.handleBrokenConnection(t)
		}
		return forwarder.Answer{}, sendFailure(ctx, err)
	}
	buffered, err := c.readReply(t, reply)
	if err == nil && buffered.hasMore {
		// The rest may take until the deadline of the request, not of the attempt.
		stopTimer()
		buffered.end = func() {
			_ = reply.Body.Close()
			end()
		}
	} else {
		_ = reply.Body.Close()
		end()
	}
	if err != nil {
		return forwarder.Answer{}, err
	}
	pacing.RecordAnswer()
	c.reply = buffered
	return forwarder.Answer{Status: reply.Status, Target: t.Name}, nil
}

// readReply reads a target's answer as far as needed before it can be forwarded; an error says why it can't be.
func (c *plainCall) readReply(t cataloger.Target, reply *Reply) (*bufferedReply, error) {
	switch {
	case reply.NotRun:
		return nil, refuser.New(refuser.TargetRefused, "%s refused with %d", t.Name, reply.Status)
	case reply.Status < http.StatusMultipleChoices && !reply.IsSignedSuccess():
		return nil, mayHaveRun("answer of %s is not signed", t.Name)
	}
	buffered, err := bufferReply(reply)
	if err != nil {
		c.handleBrokenConnection(t)
	} else if reply.IsSignedSuccess() && !c.relayer.Quarantiner.MayRepeat(c.keys) {
		c.relayer.Quarantiner.RecordAnswered(c.keys)
	}
	switch {
	case err != nil:
		return nil, mayHaveRun("answer of %s: %s", t.Name, err)
	case buffered.hasMore && !reply.IsSignedSuccess():
		return nil, mayHaveRun("failure of %s is over %d bytes", t.Name, maxBufferedBytes)
	case reply.Status >= http.StatusInternalServerError && c.request.Route.Repeatable():
		c.failure = buffered
		return nil, mayHaveRun("%s answered %d", t.Name, reply.Status)
	}
	return buffered, nil
}

// handleBrokenConnection checks whether a target has crashed that did not answer. The request is the same at each crash, so the
// crashes count as those of different ones.
func (c *plainCall) handleBrokenConnection(t cataloger.Target) {
	c.relayer.handleBrokenConnection(t, func(target uint32) bool { return c.relayer.Quarantiner.RecordCrash(c.keys, target, target) })
}

// sendFailure returns the refusal for a send that brought no answer.
func sendFailure(ctx context.Context, err error) error {
	if errors.Is(err, exchanger.ErrNotSent) {
		return refuser.New(refuser.TargetFailed, "not sent: %s", err).WithFact(refuser.FactNotRun)
	}
	if errors.Is(err, errLinkLost) {
		return refuser.New(refuser.LinkLost, "no answer: %s", err).WithFact(refuser.FactMayHaveRun)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return refuser.New(refuser.Canceled, "the client went away").WithFact(refuser.FactMayHaveRun)
	}
	return mayHaveRun("no answer: %s", err)
}

func mayHaveRun(format string, args ...any) *refuser.Refusal {
	return refuser.New(refuser.TargetFailed, format, args...).WithFact(refuser.FactMayHaveRun)
}

func bufferReply(reply *Reply) (*bufferedReply, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	return &bufferedReply{Reply: reply, body: body, hasMore: len(body) > maxBufferedBytes}, nil
}

// notRunStatuses are the statuses that promise the client that its request did not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// write forwards the answer, unless its status promises that the request did not run, which the target did not confirm.
func (a *bufferedReply) write(w http.ResponseWriter) *refuser.Refusal {
	if notRunStatuses[a.Status] {
		return mayHaveRun("the target answered %d without saying that it did not run", a.Status)
	}
	copyHeader(w, a.Header)
	if !a.hasMore {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.body)
	if a.hasMore {
		defer a.end()
		if err == nil {
			a.copyRest(w)
		}
	}
	return nil
}

// copyRest forwards the rest of an answer that has begun, which must not look complete if it breaks.
func (a *bufferedReply) copyRest(w http.ResponseWriter) {
	if _, err := io.Copy(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
