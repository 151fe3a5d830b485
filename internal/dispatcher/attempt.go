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

// follow starts the attempt of a plan and delivers its tokens; the error is that of emit.
func (r *run) follow(ctx context.Context, p *plan) (*failure, error) {
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	dog := newWatchdog(r.d.Clock, cancel)
	defer dog.close()
	head := p.route.Stages[0].Target
	began := r.d.Clock.Now()
	dog.begin(began, r.firstBound(p))
	stream, err := r.open(actx, p)
	if err != nil {
		return r.failed(r.resumeFailure(p, classify(actx, err, head), head), 0), nil
	}
	defer func() { _ = stream.Close() }()
	defer r.flush()
	for tokens := 0; ; {
		if stream.Buffered == nil || !stream.Buffered() {
			r.flush()
		}
		m, err := stream.Receive()
		now := r.d.Clock.Now()
		dog.end()
		if err != nil {
			return r.failed(r.resumeFailure(p, classify(actx, err, head), head), tokens), nil
		}
		f, err := r.accept(m, p, head)
		if f != nil || err != nil {
			return f, err
		}
		if r.checker.Done() {
			return nil, nil
		}
		if m.RequestId == r.job.RequestID && m.Attempt == r.attempt {
			if tokens > 0 {
				r.gaps.observe(now.Sub(began))
				r.tail.observe(now, now.Sub(began))
			}
			tokens++
			r.resumed(p)
		}
		if f := r.move(ctx, now, *p); f != nil {
			return f, nil
		}
		began = r.d.Clock.Now()
		dog.begin(began, r.bound(p, tokens, began))
	}
}

// flush sends off the parts that were emitted, before a wait.
func (r *run) flush() {
	if r.job.Flush != nil {
		r.job.Flush()
	}
}

// resumeFailure lays a resume that got no answer to the head, which needs no probe.
func (r *run) resumeFailure(p *plan, f *failure, head string) *failure {
	if p.resume && f.kind == failedStalled {
		return &failure{kind: failedBroken, target: head, err: f.err}
	}
	return f
}

// accept delivers a part; a part that fails the checks ends the attempt.
func (r *run) accept(m *message, p *plan, head string) (*failure, error) {
	verdict, reason, err := r.deliver(m, p.route)
	if err != nil {
		return nil, err
	}
	switch verdict {
	case verifier.Fail:
		r.mayHaveRun = true
		return &failure{kind: failedInvalid, target: culprit(m, p.route, head, reason), reason: reason}, nil
	case verifier.Deliver:
		r.mayHaveRun = true
		r.receipt = m.Receipt
		p.permit.Observe(m.Receipt)
	}
	return nil, nil
}

// culprit returns the first target whose run differs from the route, the first stage for parts out of place, or "" where any target may be at fault.
func culprit(m *message, route cataloger.Route, head string, reason verifier.Reason) string {
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

// failed notes whether the attempt may have run a layer.
func (r *run) failed(f *failure, tokens int) *failure {
	if tokens > 0 || f.kind != failedRefused && f.kind != failedFenced || !f.head {
		r.mayHaveRun = true
	}
	return f
}

// firstBound returns how long the first token is waited for.
func (r *run) firstBound(p *plan) time.Duration {
	switch {
	case p.resume && r.takenOver():
		// The stream may wait for its next token as any other.
		return r.tail.least(r.d.Clock.Now(), r.d.MinStall)
	case p.resume:
		return r.d.ResumeWait
	}
	return r.d.FirstTokenStall + 2*p.permit.FirstToken()
}

func (r *run) bound(p *plan, tokens int, now time.Time) time.Duration {
	if tokens == 0 {
		return r.firstBound(p)
	}
	return r.gaps.bound(r.tail.least(now, r.d.MinStall), r.d.MaxStall)
}

func (r *run) open(ctx context.Context, p *plan) (*engineer.Stream, error) {
	engine := r.d.Engine(p.route.Stages[0].Address)
	if p.resume {
		return engine.Resume(ctx, &enginev1.ResumeRequest{
			Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.attempt, FromPosition: r.checker.Next(),
		})
	}
	req := &enginev1.GenerateRequest{
		Workspace: r.job.Workspace, RequestId: r.job.RequestID, Attempt: r.attempt,
		Route: stages(p.route),
		Model: r.job.Model, Version: r.job.Version, Adapter: r.job.Adapter,
		Prompt: r.job.Prompt, Delivered: r.delivered, StartPosition: r.checker.Next(),
		MaxTokens: r.job.MaxTokens - uint32(r.checker.Next()), Priority: r.job.Priority,
		KvImported: p.imported,
	}
	if !r.job.Deadline.IsZero() {
		req.Timeout = durationpb.New(r.job.Deadline.Sub(r.d.Clock.Now()))
	}
	r.checker.Begin(r.attempt, req.Route)
	if r.job.Attempted != nil {
		r.job.Attempted(r.attempt)
	}
	return engine.Generate(ctx, req)
}

func stages(route cataloger.Route) []*enginev1.Stage {
	out := make([]*enginev1.Stage, len(route.Stages))
	for i, s := range route.Stages {
		out[i] = &enginev1.Stage{Target: s.Target, Address: s.Address, FirstLayer: s.FirstLayer, EndLayer: s.EndLayer}
	}
	return out
}

// resumed notes that a resumed stream goes on.
func (r *run) resumed(p *plan) {
	if p.resume {
		p.resume = false
		r.d.counts.resumed.Inc(1)
	}
}
