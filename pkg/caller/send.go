package caller

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// errCut reports that a stream ended before its last part.
var errCut = errors.New("the answer was cut off")

// Send runs a request and calls emit exactly once for each part of the answer, in order; it returns after the last part.
//
// Its error is the error of emit, the error of ctx, or a *refuser.Refusal. Send waits for an entry's refusal slightly
// longer than the timeout. Only the client sets the request's promise not_run_before, for ids that it generated.
func (c *Client) Send(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
	if req.GetRequestId() == "" {
		return refuser.New(refuser.MalformedRequest, "request-id is empty")
	}
	unsent := c.unsent.consume(req.RequestId)
	s := &sendState{
		client:    c,
		req:       proto.CloneOf(req),
		emit:      emit,
		deadline:  c.Clock.Now().Add(timeoutOf(req)),
		firstSend: unsent,
		notRun:    unsent,
	}
	if d, ok := ctx.Deadline(); ok && d.Before(s.deadline) {
		s.deadline = d
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req)+refusalGrace)
	defer cancel()
	c.Budget.Earn()
	return s.run(ctx)
}

// Call runs a request and returns the complete answer; its errors are those of Send.
func (c *Client) Call(ctx context.Context, req *v1.Request) (*v1.CallResponse, error) {
	out := &v1.CallResponse{RequestId: req.GetRequestId()}
	err := c.Send(ctx, req, func(part *v1.SendResponse) error {
		out.Data = append(out.Data, part.Data...)
		out.Attempt = part.Attempt
		out.HttpStatus = part.HttpStatus
		out.Parts++
		return nil
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

// sendState is the state of one request over all of its streams.
type sendState struct {
	client   *Client
	req      *v1.Request
	emit     func(*v1.SendResponse) error
	deadline time.Time

	nextPosition uint64
	attempt      uint32
	delivered    [][]byte
	resumeToken  []byte
	// handOvers counts the streams opened with a resume token.
	handOvers uint32
	// mayHaveRun is true once an entry may have accepted the request without a final answer having been received.
	mayHaveRun bool
	// firstSend is true if no earlier call sent the id, and notRun while the id is known not to have run.
	firstSend bool
	notRun    bool
}

func (s *sendState) run(ctx context.Context) error {
	for try := 0; ; try++ {
		done, err := s.runAttempt(ctx, try)
		if done {
			return err
		}
		if end := s.waitToRetry(ctx, try, err); end != nil {
			return end
		}
		s.client.Counters.Retried.Add(1)
	}
}

// waitToRetry waits until another stream may be opened; if none will be, it returns the final error immediately.
func (s *sendState) waitToRetry(ctx context.Context, try int, last error) error {
	c := s.client
	wait, remaining := s.backoff(try, last), s.remaining()
	switch {
	case ctx.Err() != nil && !isRefusal(last), remaining <= 0 && !isRefusal(last), errors.Is(ctx.Err(), context.Canceled):
		return s.expiryError(ctx)
	case try+1 >= c.MaxAttempts, wait >= remaining:
		return s.finalError(last, nil)
	case !c.Budget.Spend():
		return s.finalError(last, refuser.New(refuser.RetryBudgetSpent, "the client's retry budget is spent"))
	case c.Clock.Sleep(ctx, wait) != nil && errors.Is(ctx.Err(), context.Canceled):
		return s.expiryError(ctx)
	case ctx.Err() != nil:
		return s.finalError(last, nil)
	}
	return nil
}

func (s *sendState) remaining() time.Duration { return s.deadline.Sub(s.client.Clock.Now()) }

// isRefusal reports whether err is a refusal that an entry sent.
func isRefusal(err error) bool {
	return !neverSent(err) && !errors.Is(err, errCut) && refuser.From(err).Code != refuser.Internal
}

// runAttempt opens one stream; done is false if another may be opened.
func (s *sendState) runAttempt(ctx context.Context, try int) (done bool, err error) {
	address, err := s.pickEntry(ctx, try)
	switch {
	case ctx.Err() != nil:
		return true, s.expiryError(ctx)
	case err != nil:
		r := refuser.From(err)
		return isFinal(r), s.correctFact(r)
	case s.remaining() <= 0:
		return true, s.expiryError(ctx)
	}
	err = s.runStream(ctx, address)
	var emitErr *emitError
	switch {
	case err == nil:
		s.client.entries.clearFailure(address)
		return true, nil
	case errors.As(err, &emitErr):
		return true, emitErr.err
	case ctx.Err() != nil && (!isRefusal(err) || errors.Is(ctx.Err(), context.Canceled)):
		s.mayHaveRun = s.mayHaveRun || !neverSent(err)
		return true, s.expiryError(ctx)
	}
	return s.classifyFailure(ctx, address, err)
}

// classifyFailure decides whether another stream may be opened after err.
func (s *sendState) classifyFailure(ctx context.Context, address string, err error) (done bool, out error) {
	if neverSent(err) {
		s.avoidEntry(address)
		return false, err
	}
	r := refuser.From(err)
	if r.Code == refuser.Internal {
		// The router sent no refusal, so the stream was interrupted. The same id is safe to send again,
		// since the journal or the resume token prevents it from running twice.
		s.mayHaveRun = true
		s.avoidEntry(address)
		return false, errCut
	}
	s.notRun = r.Fact == refuser.FactNotRun && !s.mayHaveRun
	switch r.Code {
	case refuser.Draining, refuser.NotReady:
		s.avoidEntry(address)
		return false, r
	case refuser.AlreadyRunning:
		return s.awaitOutcome(ctx, r)
	case refuser.StreamLost:
		// The entry lost a connection that it needs; another entry can continue.
		s.mayHaveRun = true
		s.avoidEntry(address)
		return false, r
	}
	return isFinal(r), s.correctFact(r)
}

// avoidEntry makes the next attempts prefer other entries for a while, and resolve again.
func (s *sendState) avoidEntry(address string) {
	c := s.client
	c.entries.markFailed(address, c.Clock.Now().Add(failedEntryCooldown))
	c.entries.expire(s.key())
}

// awaitOutcome polls the outcome of a request that an earlier stream of this call left running.
func (s *sendState) awaitOutcome(ctx context.Context, r *refuser.Refusal) (bool, error) {
	for s.remaining() > 0 && s.client.Clock.Sleep(ctx, outcomePollInterval) == nil {
		resp, err := s.client.Get(ctx, s.req.Workspace, s.req.RequestId)
		if err != nil || resp.Outcome == v1.Outcome_OUTCOME_RUNNING {
			continue
		}
		switch resp.Outcome {
		case v1.Outcome_OUTCOME_RAN, v1.Outcome_OUTCOME_NOT_RUN:
			return false, r
		default:
			return true, refuser.New(refuser.OutcomeUncertain, "the request was claimed and its outcome is not known")
		}
	}
	return true, s.expiryError(ctx)
}

func (s *sendState) key() entryKey { return entryKey{s.req.Workspace, s.req.Service} }

// pickEntry returns the entry for an attempt: the preferred one first, then the others in turn.
func (s *sendState) pickEntry(ctx context.Context, try int) (string, error) {
	list, err := s.client.Resolve(ctx, s.req.Workspace, s.req.Service)
	if err != nil {
		return "", err
	}
	if len(list) == 0 {
		return "", refuser.New(refuser.PeerUnavailable, "no entry is in service")
	}
	addresses := make([]string, len(list))
	for i, e := range list {
		addresses[i] = e.Address
	}
	ordered := s.client.entries.healthyFirst(addresses, s.client.Clock.Now())
	address := ordered[try%len(ordered)]
	if try == 0 {
		address = ordered[0]
	}
	return address, nil
}

func (s *sendState) runStream(ctx context.Context, address string) error {
	req := withTimeout(proto.CloneOf(s.req), s.remaining())
	// An attempt that was refused as not-run cannot run later, so the promise still holds after it.
	req.NotRunBefore = s.firstSend && s.notRun && !s.mayHaveRun
	if s.nextPosition > 0 {
		req.ResumeToken = s.resumeToken
		req.Delivered = s.delivered
		s.handOvers++
		req.HandOvers = s.handOvers
		s.client.Counters.Reattached.Add(1)
	}
	stream, err := s.client.stub(address).Send(ctx, connect.NewRequest(&v1.SendRequest{Request: req}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		last, err := s.acceptPart(stream.Msg())
		if err != nil || last {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errCut
}

// acceptPart checks a part and emits it; parts other than the next one of this request are dropped.
func (s *sendState) acceptPart(part *v1.SendResponse) (last bool, err error) {
	if part.RequestId != s.req.RequestId || part.Attempt < s.attempt || part.Position < s.nextPosition {
		s.client.Counters.Dropped.Add(1)
		return false, nil
	}
	if part.Position > s.nextPosition {
		s.client.Counters.Dropped.Add(1)
		return false, errCut
	}
	s.mayHaveRun = true
	s.nextPosition++
	s.attempt = part.Attempt
	s.delivered = append(s.delivered, part.Data)
	if len(part.ResumeToken) > 0 {
		s.resumeToken = part.ResumeToken
	}
	if err := s.emit(part); err != nil {
		return false, &emitError{err}
	}
	return part.Last, nil
}

func (s *sendState) backoff(try int, err error) time.Duration {
	if neverSent(err) || errors.Is(err, errCut) {
		return 0
	}
	wait := min(initialBackoff<<try, maxBackoff)
	wait = time.Duration(float64(wait) * (0.5 + s.client.Jitter()))
	if r := refuser.From(err); r.RetryAfter > wait {
		wait = r.RetryAfter
	}
	return wait
}

// correctFact replaces the fact not-run of a refusal unless every attempt with the id is known not to have run.
func (s *sendState) correctFact(r *refuser.Refusal) *refuser.Refusal {
	if r.Fact == refuser.FactNotRun {
		return r.WithFact(s.fact())
	}
	return r
}

// fact returns what the client itself can state about the id.
func (s *sendState) fact() refuser.Fact {
	if s.notRun && !s.mayHaveRun {
		return refuser.FactNotRun
	}
	return refuser.FactMayHaveRun
}

func (s *sendState) expiryError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	r := refuser.New(refuser.DeadlineExceeded, "no whole answer within %s", timeoutOf(s.req))
	return r.WithFact(s.fact())
}

func (s *sendState) finalError(last error, why *refuser.Refusal) error {
	switch {
	case why != nil:
		return s.correctFact(why.WithCause(last).WithRetryAfter(refuser.From(last).RetryAfter))
	case neverSent(last):
		return s.correctFact(refuser.New(refuser.PeerUnavailable, "no entry could be reached: %s", last))
	case errors.Is(last, errCut):
		return refuser.New(refuser.StreamLost, "the answer was cut off after %d parts", s.nextPosition)
	}
	return s.correctFact(refuser.From(last))
}

type emitError struct{ err error }

// Error implements error.
func (e *emitError) Error() string { return e.err.Error() }
