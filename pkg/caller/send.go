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

// errCut says that a stream ended before its last part.
var errCut = errors.New("the answer was cut off")

// Send runs a request and calls emit for each part of the answer, once each and in order; it returns after the last part.
//
// Its error is the error of emit, of ctx, or a *refuser.Refusal. The refusal of an entry is waited for a moment longer than
// the timeout. The request's promise not_run_before is set by the client alone, from the ids that it made.
func (c *Client) Send(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
	if req.GetRequestId() == "" {
		return refuser.New(refuser.MalformedRequest, "request-id is empty")
	}
	unsent := c.unsent.take(req.RequestId)
	s := &sending{
		client:   c,
		req:      proto.CloneOf(req),
		emit:     emit,
		deadline: c.Clock.Now().Add(timeoutOf(req)),
		unsent:   unsent,
		notRun:   unsent,
	}
	if d, ok := ctx.Deadline(); ok && d.Before(s.deadline) {
		s.deadline = d
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req)+refusalGrace)
	defer cancel()
	c.Budget.Earn()
	return s.run(ctx)
}

// Call runs a request and returns the whole answer.
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

// sending is one request on its way through one entry after another.
type sending struct {
	client   *Client
	req      *v1.Request
	emit     func(*v1.SendResponse) error
	deadline time.Time

	next      uint64
	attempt   uint32
	delivered [][]byte
	token     []byte
	// handOvers counts the streams opened with a resume token.
	handOvers uint32
	// sent is true once an entry may have taken the request and was not heard to the end.
	sent bool
	// unsent is true where no earlier call sent the id, and notRun while the id is known not to have run.
	unsent bool
	notRun bool
}

func (s *sending) run(ctx context.Context) error {
	for try := 0; ; try++ {
		done, err := s.once(ctx, try)
		if done {
			return err
		}
		if end := s.pause(ctx, try, err); end != nil {
			return end
		}
		s.client.Counters.Retried.Add(1)
	}
}

// pause waits until another stream may be opened; where none will be it returns the final answer at once.
func (s *sending) pause(ctx context.Context, try int, last error) error {
	c := s.client
	wait, left := s.backoff(try, last), s.left()
	switch {
	case ctx.Err() != nil && !refused(last), left <= 0 && !refused(last), errors.Is(ctx.Err(), context.Canceled):
		return s.expired(ctx)
	case try+1 >= c.MaxAttempts, wait >= left:
		return s.giveUp(last, nil)
	case !c.Budget.Spend():
		return s.giveUp(last, refuser.New(refuser.RetryBudgetSpent, "the client's retry budget is spent"))
	case c.Clock.Sleep(ctx, wait) != nil && errors.Is(ctx.Err(), context.Canceled):
		return s.expired(ctx)
	case ctx.Err() != nil:
		return s.giveUp(last, nil)
	}
	return nil
}

func (s *sending) left() time.Duration { return s.deadline.Sub(s.client.Clock.Now()) }

// refused tells whether err is the word of an entry.
func refused(err error) bool {
	return !neverSent(err) && !errors.Is(err, errCut) && refuser.From(err).Code != refuser.Internal
}

// once opens one stream; done is false where another may be opened.
func (s *sending) once(ctx context.Context, try int) (done bool, err error) {
	address, err := s.pick(ctx, try)
	switch {
	case ctx.Err() != nil:
		return true, s.expired(ctx)
	case err != nil:
		r := refuser.From(err)
		return final(r), s.truthful(r)
	case s.left() <= 0:
		return true, s.expired(ctx)
	}
	err = s.stream(ctx, address)
	var local *emitError
	switch {
	case err == nil:
		s.client.entries.succeed(address)
		return true, nil
	case errors.As(err, &local):
		return true, local.err
	case ctx.Err() != nil && (!refused(err) || errors.Is(ctx.Err(), context.Canceled)):
		s.sent = s.sent || !neverSent(err)
		return true, s.expired(ctx)
	}
	return s.judge(ctx, address, err)
}

// judge decides whether another stream may be opened after err.
func (s *sending) judge(ctx context.Context, address string, err error) (done bool, out error) {
	if neverSent(err) {
		s.leave(address)
		return false, err
	}
	r := refuser.From(err)
	if r.Code == refuser.Internal {
		// No refusal of the router came: the stream was cut and the same id is safe to send again,
		// since the journal or the resume token keeps it from running twice.
		s.sent = true
		s.leave(address)
		return false, errCut
	}
	s.notRun = r.Fact == refuser.FactNotRun && !s.sent
	switch r.Code {
	case refuser.Draining, refuser.NotReady:
		s.leave(address)
		return false, r
	case refuser.AlreadyRunning:
		return s.await(ctx, r)
	case refuser.StreamLost:
		// The entry is cut off from what it needs; another one goes on.
		s.sent = true
		s.leave(address)
		return false, r
	}
	return final(r), s.truthful(r)
}

// leave keeps the next tries off an entry for a time and resolves anew.
func (s *sending) leave(address string) {
	c := s.client
	c.entries.fail(address, c.Clock.Now().Add(failedEntryPause))
	c.entries.expire(s.key())
}

// await asks for the outcome of a request that an earlier stream of this call left running.
func (s *sending) await(ctx context.Context, r *refuser.Refusal) (bool, error) {
	for s.left() > 0 && s.client.Clock.Sleep(ctx, outcomePoll) == nil {
		got, err := s.client.Get(ctx, s.req.Workspace, s.req.RequestId)
		if err != nil || got.Outcome == v1.Outcome_OUTCOME_RUNNING {
			continue
		}
		switch got.Outcome {
		case v1.Outcome_OUTCOME_RAN, v1.Outcome_OUTCOME_NOT_RUN:
			return false, r
		default:
			return true, refuser.New(refuser.OutcomeUncertain, "the request was claimed and its outcome is not known")
		}
	}
	return true, s.expired(ctx)
}

func (s *sending) key() entryKey { return entryKey{s.req.Workspace, s.req.Service} }

// pick chooses the entry of a try: the first choice first, then the others in turn.
func (s *sending) pick(ctx context.Context, try int) (string, error) {
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
	ordered := s.client.entries.order(addresses, s.client.Clock.Now())
	address := ordered[try%len(ordered)]
	if try == 0 {
		address = ordered[0]
	}
	return address, nil
}

func (s *sending) stream(ctx context.Context, address string) error {
	req := withTimeout(proto.CloneOf(s.req), s.left())
	// A sending that was refused as not-run cannot run later, so that the promise holds after it too.
	req.NotRunBefore = s.unsent && s.notRun && !s.sent
	if s.next > 0 {
		req.ResumeToken = s.token
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
		last, err := s.take(stream.Msg())
		if err != nil || last {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errCut
}

// take checks a part and passes it on; parts that are not the next of this request are dropped.
func (s *sending) take(part *v1.SendResponse) (last bool, err error) {
	if part.RequestId != s.req.RequestId || part.Attempt < s.attempt || part.Position < s.next {
		s.client.Counters.Dropped.Add(1)
		return false, nil
	}
	if part.Position > s.next {
		s.client.Counters.Dropped.Add(1)
		return false, errCut
	}
	s.sent = true
	s.next++
	s.attempt = part.Attempt
	s.delivered = append(s.delivered, part.Data)
	if len(part.ResumeToken) > 0 {
		s.token = part.ResumeToken
	}
	if err := s.emit(part); err != nil {
		return false, &emitError{err}
	}
	return part.Last, nil
}

func (s *sending) backoff(try int, err error) time.Duration {
	if neverSent(err) || errors.Is(err, errCut) {
		return 0
	}
	wait := min(firstBackoff<<try, maxBackoff)
	wait = time.Duration(float64(wait) * (0.5 + s.client.Jitter()))
	if r := refuser.From(err); r.RetryAfter > wait {
		wait = r.RetryAfter
	}
	return wait
}

// truthful keeps a refusal from saying not-run where that is not known of every sending of the id.
func (s *sending) truthful(r *refuser.Refusal) *refuser.Refusal {
	if r.Fact == refuser.FactNotRun {
		return r.WithFact(s.fact())
	}
	return r
}

// fact is what is known of the id without another word of an entry.
func (s *sending) fact() refuser.Fact {
	if s.notRun && !s.sent {
		return refuser.FactNotRun
	}
	return refuser.FactMayHaveRun
}

func (s *sending) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	r := refuser.New(refuser.DeadlineExceeded, "no whole answer within %s", timeoutOf(s.req))
	return r.WithFact(s.fact())
}

func (s *sending) giveUp(last error, why *refuser.Refusal) error {
	switch {
	case why != nil:
		return s.truthful(why.WithCause(last).WithRetryAfter(refuser.From(last).RetryAfter))
	case neverSent(last):
		return s.truthful(refuser.New(refuser.PeerUnavailable, "no entry could be reached: %s", last))
	case errors.Is(last, errCut):
		return refuser.New(refuser.StreamLost, "the answer was cut off after %d parts", s.next)
	}
	return s.truthful(refuser.From(last))
}

type emitError struct{ err error }

// Error implements error.
func (e *emitError) Error() string { return e.err.Error() }
