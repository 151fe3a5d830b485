package receiver

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/sequencer"
	"github.com/rattantray/rattantray/internal/tokener"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// generate runs a model request.
func (x *exchange) generate(ctx context.Context, emit func(Token) error) error {
	x.mayHaveRun = true
	x.generationStart = x.receiver.Clock.Now()
	b := batcherOf(ctx)
	b.holdFlushes()
	defer b.releaseFlushes()
	err := x.receiver.Generate(ctx, Generation{
		Workspace:    cataloger.Workspace(x.req.Workspace),
		Service:      x.doc.Name,
		Execution:    x.execution,
		Model:        *x.doc.Model,
		Prompt:       x.req.Payload,
		MaxTokens:    x.maxTokens(),
		Priority:     x.req.Priority,
		Deadline:     x.deadline,
		FirstAttempt: x.firstAttempt,
		EndAttempt:   (x.firstAttempt/attemptStride + 1) * attemptStride,
		Version:      x.version,
		Delivered:    x.req.Delivered,
		Retry:        x.doc.Retry,
		Held:         x.heldStream,
		Flush:        b.flushPending,
	}, emit)
	x.observeGeneration(err)
	return err
}

// observeGeneration reports the timing of the generation for later estimates.
func (x *exchange) observeGeneration(err error) {
	if x.receiver.ObserveGeneration == nil || x.partCount == 0 {
		return
	}
	firstPartAt := x.receivedAt.Add(x.timeToFirstPart)
	x.receiver.ObserveGeneration(x.doc.Name, GenerationStats{
		TimeToFirstToken: firstPartAt.Sub(x.generationStart),
		DecodeTime:       x.lastPartAt.Sub(firstPartAt),
		Tokens:           int(x.partCount),
		RequestedTokens:  x.remainingTokens(),
		Complete:         err == nil,
	})
}

// emitToken delivers a token; the first one of each attempt carries a resume token.
func (x *exchange) emitToken(t Token) error {
	part := &v1.SendResponse{
		RequestId: x.req.RequestId,
		Attempt:   t.Attempt,
		Position:  t.Position,
		Data:      t.Data,
		Last:      t.Last,
		Receipt:   t.Receipt,
	}
	if t.Attempt != x.attempt && !t.Last {
		part.ResumeToken = x.signResumeToken(t)
	}
	x.attempt = t.Attempt
	return x.emit(part)
}

func (x *exchange) signResumeToken(t Token) []byte {
	return x.receiver.Tokens.Sign(tokener.Claims{
		Workspace:     x.req.Workspace,
		Service:       x.req.Service,
		RequestID:     x.req.RequestId,
		Execution:     x.execution,
		Version:       t.Receipt.GetVersion(),
		Attempt:       t.Attempt,
		Route:         t.Route,
		Position:      t.Position + 1,
		PayloadDigest: x.digest,
		Member:        x.receiver.Self,
		Incarnation:   x.receiver.Incarnation,
	})
}

// gapSampleInterval is the number of token gaps per measured one: streams share a histogram and would wait for its lock.
const gapSampleInterval = 16

func (x *exchange) emit(part *v1.SendResponse) error {
	now := x.receiver.Clock.Now()
	if x.partCount == 0 {
		x.timeToFirstPart = now.Sub(x.receivedAt)
	} else if x.partCount%gapSampleInterval == 1 {
		x.receiver.Meter.ObserveTokenGap(x.req.Workspace, x.req.Service, now.Sub(x.lastPartAt))
	}
	x.lastPartAt = now
	x.partCount++
	x.position = part.Position + 1
	return x.emitPart(part)
}

// forward runs an idempotent request on a plain service.
func (x *exchange) forward(ctx context.Context) error {
	x.mayHaveRun = true
	answer, err := x.receiver.Forward(ctx, x.doc, x.plainRequest(true))
	if err != nil {
		return err
	}
	if x.req.OrderingKey == "" {
		// No further part follows, so that the answer leaves in one write with the end of the stream.
		batcherOf(ctx).holdFlushes()
	}
	return x.emitAnswer(uint32(answer.Status), answer.Body)
}

func (x *exchange) plainRequest(idempotent bool) forwarder.Request {
	return forwarder.Request{
		Workspace:  cataloger.Workspace(x.req.Workspace),
		Service:    x.doc.Name,
		RequestID:  x.req.RequestId,
		Method:     x.req.Method,
		Payload:    x.req.Payload,
		Deadline:   x.deadline,
		Idempotent: idempotent,
	}
}

// emitAnswer delivers the part of a complete answer that the client does not have yet, as one part.
func (x *exchange) emitAnswer(status uint32, body []byte) error {
	return x.emit(&v1.SendResponse{
		RequestId:  x.req.RequestId,
		Attempt:    x.firstAttempt,
		Position:   x.position,
		Data:       body,
		Last:       true,
		HttpStatus: status,
	})
}

// runOnce runs a request at most once and delivers its outcome.
func (x *exchange) runOnce(ctx context.Context) error {
	streamed := false
	outcome, err := x.receiver.RunOnce(ctx, journaler.Request{
		Workspace:     cataloger.Workspace(x.req.Workspace),
		ID:            x.req.RequestId,
		PayloadDigest: x.digest,
		Deadline:      x.deadline,
		Mode:          x.doc.AtMostOnce.Mode,
		Retention:     time.Duration(x.doc.AtMostOnce.Retention),
		AnswerBytes:   x.doc.AtMostOnce.AnswerBytes,
		BoundTo:       x.req.BoundTo,
		NotRunBefore:  x.promisedNotRun(),
	}, func(ctx context.Context) (journaler.Answer, error) {
		if x.doc.Type == documenter.TypeModel {
			streamed = true
			return x.generateOnce(ctx)
		}
		return x.forwardOnce(ctx)
	})
	x.journalDecided = true
	if err != nil {
		return err
	}
	x.replayed = outcome.Replayed
	if streamed {
		return nil
	}
	return x.deliverOutcome(outcome)
}

// generateOnce streams the answer and collects it for the journal.
func (x *exchange) generateOnce(ctx context.Context) (journaler.Answer, error) {
	var body bytes.Buffer
	err := x.generate(ctx, func(t Token) error {
		body.Write(t.Data)
		return x.emitToken(t)
	})
	if err != nil {
		return journaler.Answer{}, err
	}
	return journaler.Answer{Status: http.StatusOK, Body: body.Bytes()}, nil
}

func (x *exchange) forwardOnce(ctx context.Context) (journaler.Answer, error) {
	x.mayHaveRun = true
	answer, err := x.receiver.Forward(ctx, x.doc, x.plainRequest(false))
	if err != nil {
		return journaler.Answer{}, err
	}
	return journaler.Answer{Status: answer.Status, Body: answer.Body}, nil
}

func (x *exchange) deliverOutcome(outcome journaler.Outcome) error {
	switch {
	case outcome.Running:
		return refuser.New(refuser.AlreadyRunning, "request %q is in progress", x.req.RequestId)
	case outcome.Fact != refuser.FactRan:
		return refuser.New(refuser.OutcomeUncertain, "request %q was claimed and its outcome is not known", x.req.RequestId).WithFact(outcome.Fact)
	case !outcome.Kept:
		return refuser.New(refuser.AlreadyRan, "request %q ran and its answer is not kept", x.req.RequestId).WithDigest(outcome.Digest[:])
	}
	body := outcome.Answer.Body
	delivered := bytes.Join(x.req.Delivered, nil)
	if !bytes.HasPrefix(body, delivered) {
		return refuser.New(refuser.ResumeTokenInvalid, "the delivered parts are not of this answer").WithFact(refuser.FactRan)
	}
	return x.emitAnswer(uint32(outcome.Answer.Status), body[len(delivered):])
}

// runOrdered runs the request immediately and withholds its answer until its turn.
func (x *exchange) runOrdered(ctx context.Context) error {
	turn, err := x.receiver.Enter(ctx, sequencer.Place{
		Workspace:   cataloger.Workspace(x.req.Workspace),
		Key:         x.req.OrderingKey,
		Sequence:    x.req.Sequence,
		RequestID:   x.req.RequestId,
		Deadline:    x.deadline,
		Wait:        time.Duration(x.doc.Ordering.Wait),
		BufferBytes: x.doc.Ordering.BufferBytes,
	})
	if err != nil {
		return err
	}
	defer turn.Done()
	emitPart := x.emitPart
	var heldParts []*v1.SendResponse
	heldBytes := 0
	x.emitPart = func(p *v1.SendResponse) error {
		heldParts = append(heldParts, p)
		heldBytes += len(p.Data)
		return nil
	}
	if err := x.runAdmitted(ctx); err != nil {
		return err
	}
	if err := turn.Wait(ctx, heldBytes); err != nil {
		return err
	}
	for _, p := range heldParts {
		if err := emitPart(p); err != nil {
			// The place is kept for a short time, so that the client can fetch the rest in order.
			turn.Cut()
			return err
		}
	}
	return nil
}
