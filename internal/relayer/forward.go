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
	// wholeBytes is the size up to which an answer is read to its end before any of it is passed on.
	wholeBytes = 1 << 20
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

// wholeReply is a reply whose body was read.
type wholeReply struct {
	*Reply
	body []byte
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
	ctx, cancel := context.WithDeadline(ctx, fr.Deadline)
	defer cancel()
	call := Call{Request: c.request, Target: t, Left: c.request.Deadline.Sub(now)}
	c.relayer.logSent(call, len(c.targets))
	reply, err := c.relayer.Backend.Send(ctx, call)
	if err != nil {
		return forwarder.Answer{}, sendFailure(ctx, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return forwarder.Answer{}, refuser.New(refuser.TargetRefused, "%s refused with %d", t.Name, reply.Status)
	}
	whole, err := readWhole(reply)
	if err != nil {
		return forwarder.Answer{}, mayHaveRun("answer of %s: %s", t.Name, err)
	}
	if reply.Status >= http.StatusInternalServerError && c.request.Route.Repeatable() {
		c.failure = whole
		return forwarder.Answer{}, mayHaveRun("%s answered %d", t.Name, reply.Status)
	}
	if reply.Status < http.StatusMultipleChoices && !reply.Sound() {
		return forwarder.Answer{}, mayHaveRun("answer of %s is not signed", t.Name)
	}
	c.answer = whole
	return forwarder.Answer{Status: reply.Status, Target: t.Name}, nil
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
	if len(body) > wholeBytes {
		return nil, errors.Newf("over %d bytes", wholeBytes)
	}
	return &wholeReply{Reply: reply, body: body}, nil
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
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.body)
	return nil
}
