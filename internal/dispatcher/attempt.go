package dispatcher

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/verifier"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// streamAttempt starts or resumes the attempt of a plan and delivers its tokens; its error is the error of emit.
func (r *run) streamAttempt(ctx context.Context, p *plan) (*failure, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wd := newWatchdog(r.d.Clock, cancel)
	defer wd.close()
	head := p.route.Stages[0].Target
	waitStart := r.d.Clock.Now()
	wd.startWait(waitStart, r.firstTokenTimeout(p))
	stream, err := r.openStream(attemptCtx, p)
	if err != nil {
		return r.recordMayHaveRun(r.attributeResumeFailure(p, classifyError(attemptCtx, err, head), head), 0), nil
	}
	defer func() { _ = stream.Close() }()
	defer r.flush()
	for tokens := 0; ; {
		if stream.Buffered == nil || !stream.Buffered() {
			r.flush()
		}
		m, err := stream.Receive()
		now := r.d.Clock.Now()
		wd.endWait()
		if err != nil {
			return r.recordMayHaveRun(r.attributeResumeFailure(p, classifyError(attemptCtx, err, head), head), tokens), nil
		}
		f, err := r.handlePart(m, p, head)
		if f != nil || err != nil {
			return f, err
		}
		if r.checker.Done() {
			return nil, nil
		}
		if m.RequestId == r.job.RequestID && m.Attempt == r.attempt {
			if tokens > 0 {
				r.gaps.observe(now.Sub(waitStart))
				r.modelGaps.observe(now, now.Sub(waitStart))
			}
			tokens++
			r.recordResumed(p)
			r.endLeft(p)
		}
		if f := r.moveIfNeeded(ctx, now, *p); f != nil {
			return f, nil
		}
		waitStart = r.d.Clock.Now()
		wd.startWait(waitStart, r.tokenTimeout(p, tokens, waitStart))
	}
}

// flush sends the emitted parts to the caller before a wait.
func (r *run) flush() {
	if r.job.Flush != nil {
		r.job.Flush()
	}
}

// attributeResumeFailure attributes a resume that timed out to the first stage, so that no health check is needed.
func (r *run) attributeResumeFailure(p *plan, f *failure, head string) *failure {
	if p.resume && f.kind == failedStalled {
		return &failure{kind: failedBroken, target: head, err: f.err}
	}
	return f
}

// handlePart checks and delivers a part; it returns a failure if the part ends the attempt, and the error of emit.
func (r *run) handlePart(m *message, p *plan, head string) (*failure, error) {
	verdict, reason, err := r.deliver(m, p.route)
	if err != nil {
		return nil, err
	}
	switch verdict {
	case verifier.Fail:
		r.mayHaveRun = true
		return &failure{kind: failedInvalid, target: targetAtFault(m, p.route, head, reason), reason: reason}, nil
	case verifier.Deliver:
		r.mayHaveRun = true
		r.receipt = m.Receipt
		p.permit.Observe(m.Receipt)
	}
	return nil, nil
}

// targetAtFault returns the first target whose run in the receipt differs from the route, or the first stage's target for a
// skipped position or a missing receipt. It returns "" if any target may be at fault.
func targetAtFault(m *message, route cataloger.Route, head string, reason verifier.Reason) string {
	if reason == verifier.ReasonSkippedPosition || reason == verifier.ReasonNoReceipt {
		return head
	}
	for i, s := range route.Stages {
		if i >= len(m.Receipt.Stages) {
			return s.Target
		}
		run := m.Receipt.Stages[i]
		if run.Target != s.Target || run.FirstLayer != s.FirstLayer || run.EndLayer != s.EndLayer {
			return s.Target
		}
	}
	return ""
}

// recordMayHaveRun sets mayHaveRun unless the first stage refused the attempt before any token, and returns the failure.
func (r *run) recordMayHaveRun(f *failure, tokens int) *failure {
	if tokens > 0 || f.kind != failedRefused && f.kind != failedFenced || !f.byHead {
		r.mayHaveRun = true
	}
	return f
}

// firstTokenTimeout returns how long to wait for the first token of an attempt.
func (r *run) firstTokenTimeout(p *plan) time.Duration {
	switch {
	case p.resume && (r.takenOver() || p.kept):
		// The held stream may be between two tokens like any other stream.
		return r.modelGaps.minStall(r.d.Clock.Now(), r.d.MinStall)
	case p.resume:
		return r.d.ResumeTimeout
	}
	return r.d.FirstTokenStall + 2*p.permit.ExpectedFirstToken()
}

func (r *run) tokenTimeout(p *plan, tokens int, now time.Time) time.Duration {
	if tokens == 0 {
		return r.firstTokenTimeout(p)
	}
	return r.gaps.bound(r.modelGaps.minStall(now, r.d.MinStall), r.d.MaxStall)
}

func (r *run) openStream(ctx context.Context, p *plan) (*engineer.Stream, error) {
	engine := r.d.Engine(p.route.Stages[0].Address)
	if p.resume {
		return engine.Resume(ctx, &enginev1.ResumeRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.attempt, FromPosition: r.checker.NextPosition(),
		})
	}
	req := &enginev1.GenerateRequest{
		Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.attempt,
		Route: protoStages(p.route),
		Model: r.job.Model, Version: r.job.Version, Adapter: r.job.Adapter,
		Prompt: r.job.Prompt, Delivered: r.delivered, StartPosition: r.checker.NextPosition(),
		MaxTokens: r.job.MaxTokens - uint32(r.checker.NextPosition()), Priority: r.job.Priority,
		KvImported: p.imported,
	}
	if !r.job.Deadline.IsZero() {
		req.Timeout = durationpb.New(r.job.Deadline.Sub(r.d.Clock.Now()))
	}
	r.lastAttempt = max(r.lastAttempt, r.attempt)
	r.checker.BeginAttempt(r.attempt, req.Route)
	if r.job.OnAttempt != nil {
		r.job.OnAttempt(r.attempt)
	}
	return engine.Generate(ctx, req)
}

func protoStages(route cataloger.Route) []*enginev1.Stage {
	out := make([]*enginev1.Stage, len(route.Stages))
	for i, s := range route.Stages {
		out[i] = &enginev1.Stage{Target: s.Target, Address: s.Address, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer}
	}
	return out
}

// recordResumed records that a resumed stream has continued.
func (r *run) recordResumed(p *plan) {
	if p.resume {
		p.resume = false
		r.d.counts.resumed.Inc(1)
	}
}
