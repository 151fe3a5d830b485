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
// Its error is the error of emit, of ctx, or a *refuser.Refusal.
func (c *Client) Send(ctx context.Context, req *v1.Request, emit func(*v1.SendResponse) error) error {
	if req.GetRequestId() == "" {
		return refuser.New(refuser.MalformedRequest, "request-id is empty")
	}
	s := &sending{
		client:   c,
		req:      proto.CloneOf(req),
		emit:     emit,
		deadline: c.Clock.Now().Add(timeoutOf(req)),
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(req))
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
	// sent is true once any entry may have taken the request.
	sent bool
}

func (s *sending) run(ctx context.Context) error {
	var last error
	for try := 0; try < s.client.MaxAttempts; try++ {
		if try > 0 {
			if !s.client.Budget.Spend() {
				return s.giveUp(last, refuser.New(refuser.RetryBudgetSpent, "the client's retry budget is spent"))
			}
			s.client.Counters.Retried.Add(1)
		}
		done, err := s.once(ctx, try)
		if done {
			return err
		}
		last = err
		if ctx.Err() != nil {
			return s.expired(ctx)
		}
		if err := s.client.Clock.Sleep(ctx, s.backoff(try, err)); err != nil {
			return s.expired(ctx)
		}
	}
	return s.giveUp(last, nil)
}

// once opens one stream; done is false where another may be opened.
func (s *sending) once(ctx context.Context, try int) (done bool, err error) {
	address, err := s.pick(ctx, try)
	if err != nil {
		r := refuser.From(err)
		return final(r) || ctx.Err() != nil, s.truthful(r)
	}
	err = s.stream(ctx, address)
	var local *emitError
	switch {
	case err == nil:
		s.client.entries.succeed(address)
		return true, nil
	case errors.As(err, &local):
		return true, local.err
	case ctx.Err() != nil:
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
	for s.client.Clock.Sleep(ctx, outcomePoll) == nil {
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
	req := withTimeout(proto.CloneOf(s.req), s.deadline.Sub(s.client.Clock.Now()))
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

// truthful keeps a refusal from saying not-run where an earlier stream may have run the request.
func (s *sending) truthful(r *refuser.Refusal) *refuser.Refusal {
	if s.sent && r.Fact == refuser.FactNotRun {
		return r.WithFact(refuser.FactMayHaveRun)
	}
	return r
}

func (s *sending) expired(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return ctx.Err()
	}
	r := refuser.New(refuser.DeadlineExceeded, "no whole answer within %s", timeoutOf(s.req))
	return r.WithFact(refuser.FactMayHaveRun)
}

func (s *sending) giveUp(last error, why *refuser.Refusal) error {
	switch {
	case why != nil && last != nil:
		return s.truthful(why.WithCause(last))
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
