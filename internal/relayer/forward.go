package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// wholeBytes is the size up to which an answer is read to its end before any of it is passed on, so that another target can
	// be tried: eighty times the answers of the deployments. A sound answer that is longer is passed on as it comes.
	wholeBytes = 64 << 10
)

// plainCall is a request to a plain service over its attempts.
type plainCall struct {
	relayer *Relayer
	request *Request
	// failure is the last answer of a target that reports a failure of its own; it is the answer where no better one comes.
	failure *wholeReply
	answer  *wholeReply
	// targets are the names of those that were tried.
	targets []string
}

// wholeReply is a reply whose body was read, up to wholeBytes.
type wholeReply struct {
	*Reply
	body []byte
	// more is true where the body goes on.
	more bool
	// end ends the exchange; nil where that was done.
	end func()
}

// forward relays a request to one of the targets of a plain service.
func (r *Relayer) forward(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	call := &plainCall{relayer: r, request: req}
	refusal := spread(call.run(ctx, w))
	r.logEnd(req, refusal, notMeasured, func(e *zerolog.Event) { e.Strs("targets", call.targets) })
	return refusal
}

// run makes attempts until an answer can be passed on.
func (c *plainCall) run(ctx context.Context, w http.ResponseWriter) *refuser.Refusal {
	r, req, call := c.relayer, c.request, c
	_, err := r.Balancer.Run(ctx, func() []cataloger.Target { return r.instances(req.Service.Name) }, forwarder.Request{
		Workspace:  req.Workspace,
		Service:    req.Service.Name,
		Route:      req.Route.Name,
		RequestID:  req.ID,
		Deadline:   req.Deadline,
		Idempotent: req.Route.Repeatable(),
	}, forwarder.Policy{
		MaxAttempts: max(req.Route.MaxAttempts, 1),
		Spend:       func() bool { return r.spend(req) },
	}, call.attempt)
	switch {
	case err == nil:
		return call.answer.write(w)
	case call.failure != nil && !r.over(ctx, req):
		return call.failure.write(w)
	case r.over(ctx, req):
		return r.ended(req, refuser.From(err).Fact)
	}
	refusal := refuser.From(err)
	if back := r.Targets.Back(req.Service.Name); back > 0 && refusal.Fact == refuser.FactNotRun {
		return refusal.WithRetryAfter(back)
	}
	return refusal
}

// instances returns the targets of a service as a balancer wants them.
func (r *Relayer) instances(service string) []cataloger.Target {
	var out []cataloger.Target
	for _, v := range r.Targets.Service(service) {
		t := v.Target
		if v.Lost || v.Paused > 0 {
			t = t.WithState(cataloger.StateSuspect)
		}
		// Incarnations under one name share nothing, also not their breakers.
		out = append(out, t)
	}
	return out
}

// attempt sends the request to one target and reads the whole answer.
func (c *plainCall) attempt(ctx context.Context, t cataloger.Target, fr forwarder.Request) (forwarder.Answer, error) {
	c.targets = append(c.targets, t.Name)
	now := c.relayer.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	stopTimer := c.relayer.Clock.AfterFunc(fr.Deadline.Sub(now), func() { cancel(context.DeadlineExceeded) })
	end := func() {
		stopTimer()
		cancel(nil)
	}
	call := Call{Request: c.request, Target: t, Remaining: c.request.Deadline.Sub(now)}
	c.relayer.logSent(call, len(c.targets))
	reply, err := c.relayer.Backend.Send(ctx, call)
	if err != nil {
		defer end()
		return forwarder.Answer{}, sendFailure(ctx, err)
	}
	whole, err := c.take(t, reply)
	if err == nil && whole.more {
		// The rest has the time of the request, not of the attempt.
		stopTimer()
		whole.end = func() {
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
	c.answer = whole
	return forwarder.Answer{Status: reply.Status, Target: t.Name}, nil
}

// take reads a target's answer as far as it has to be before it can be passed on; an error says why it can't be.
func (c *plainCall) take(t cataloger.Target, reply *Reply) (*wholeReply, error) {
	switch {
	case reply.NotRun:
		return nil, refuser.New(refuser.TargetRefused, "%s refused with %d", t.Name, reply.Status)
	case reply.Status < http.StatusMultipleChoices && !reply.IsSignedSuccess():
		return nil, mayHaveRun("answer of %s is not signed", t.Name)
	}
	whole, err := readWhole(reply)
	switch {
	case err != nil:
		return nil, mayHaveRun("answer of %s: %s", t.Name, err)
	case whole.more && !reply.IsSignedSuccess():
		return nil, mayHaveRun("failure of %s is over %d bytes", t.Name, wholeBytes)
	case reply.Status >= http.StatusInternalServerError && c.request.Route.Repeatable():
		c.failure = whole
		return nil, mayHaveRun("%s answered %d", t.Name, reply.Status)
	}
	return whole, nil
}

// sendFailure returns the refusal of a sending without an answer.
func sendFailure(ctx context.Context, err error) error {
	if errors.Is(err, exchanger.ErrNotSent) {
		return refuser.New(refuser.TargetFailed, "not sent: %s", err).WithFact(refuser.FactNotRun)
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return refuser.New(refuser.Canceled, "the client went away").WithFact(refuser.FactMayHaveRun)
	}
	return mayHaveRun("no answer: %s", err)
}

func mayHaveRun(format string, args ...any) *refuser.Refusal {
	return refuser.New(refuser.TargetFailed, format, args...).WithFact(refuser.FactMayHaveRun)
}

func readWhole(reply *Reply) (*wholeReply, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeBytes+1))
	if err != nil {
		return nil, err
	}
	return &wholeReply{Reply: reply, body: body, more: len(body) > wholeBytes}, nil
}

// promises are statuses that promise the client that its request did not run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// write passes the answer on, unless its status promises what the target did not.
func (a *wholeReply) write(w http.ResponseWriter) *refuser.Refusal {
	if promises[a.Status] {
		return mayHaveRun("the target answered %d without saying that it did not run", a.Status)
	}
	copyHeader(w, a.Header)
	if !a.more {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.body)
	if a.more {
		defer a.end()
		if err == nil {
			a.pass(w)
		}
	}
	return nil
}

// pass passes on the rest of an answer that has begun, which must not look complete where it breaks.
func (a *wholeReply) pass(w http.ResponseWriter) {
	if _, err := io.Copy(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
