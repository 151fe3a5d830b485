package dispatcher

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/verifier"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

type message = enginev1.GenerateResponse

var errStalled = errors.New("no token within the bound")

type failureKind uint8

const (
	// failedBroken is a stream that broke or ended early.
	failedBroken failureKind = iota
	// failedStalled is a stream that went silent.
	failedStalled
	// failedInvalid is an answer that failed the checks.
	failedInvalid
	// failedRefused is an attempt that an engine refused before it ran.
	failedRefused
	// failedFenced is an attempt whose number is older than one the engines have seen.
	failedFenced
	// failedMove is not a failure: the stream moves off a target that leaves or is slow.
	failedMove
)

var failureNames = [...]string{"broken stream", "stalled stream", "invalid answer", "refused", "fenced", "target leaves"}

// failure is the reason why an attempt must be replaced.
type failure struct {
	kind failureKind
	// target is the target at fault, or empty if it is not identified.
	target string
	// resumable is true if the engine may still hold the stream.
	resumable bool
	// byHead is true if the first stage reported itself as the failed target.
	byHead bool
	reason verifier.Reason
	// replacement is the plan that continues the stream after a move.
	replacement plan
	err         error
}

// String implements fmt.Stringer.
func (f *failure) String() string {
	s := failureNames[f.kind]
	if f.target != "" {
		s += " at " + f.target
	}
	if f.kind == failedInvalid {
		s += ": " + f.reason.String()
	}
	if f.err != nil {
		s = fmt.Sprintf("%s: %v", s, f.err)
	}
	return s
}

// classifyError converts the error of a stream into a failure; head is the first stage's target.
func classifyError(ctx context.Context, err error, head string) *failure {
	if errors.Is(context.Cause(ctx), errStalled) {
		return &failure{kind: failedStalled, err: errStalled}
	}
	if errors.Is(err, io.EOF) {
		return &failure{kind: failedBroken, target: head, err: errors.New("the stream ended early")}
	}
	target := engineer.FailedTarget(err)
	if target == "" {
		return &failure{kind: failedBroken, target: head, resumable: true, err: err}
	}
	f := &failure{kind: failedBroken, target: target, byHead: target == head, err: err}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		f.kind = failedFenced
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodeInvalidArgument, connect.CodeNotFound:
		f.kind = failedRefused
	}
	return f
}

func (r *run) recordFailure(f *failure) {
	switch f.kind {
	case failedBroken:
		r.d.counts.broken.Inc(1)
	case failedStalled:
		r.d.counts.stalled.Inc(1)
	case failedInvalid:
		r.d.counts.invalid.Inc(1)
	case failedRefused, failedFenced:
		r.d.counts.refused.Inc(1)
	}
	r.d.Log.Info().Str("request-id", r.job.RequestID).Str("workspace", r.job.Workspace).Str("service", r.job.Service).
		Uint32("attempt", r.attempt).Uint64("position", r.checker.NextPosition()).Stringer("failure", f).Msg("attempt failed")
}

// attributeFailure identifies the target at fault, reports it and makes the job's next attempts avoid it.
func (r *run) attributeFailure(ctx context.Context, p plan, f *failure) {
	if f.kind == failedStalled {
		r.attributeStall(ctx, p, f)
		return
	}
	if f.kind == failedFenced {
		return
	}
	if f.target == "" {
		r.attributeToAll(p)
		return
	}
	r.avoidTarget(f.target)
	if f.kind != failedRefused && r.d.ReportFailed != nil {
		r.d.ReportFailed(f.target)
	}
}

// attributeStall checks the health of the stages' targets. Those that do not answer are at fault; if all answer, any of
// them may be.
func (r *run) attributeStall(ctx context.Context, p plan, f *failure) {
	unresponsive := r.unresponsiveTargets(ctx, p.route)
	for _, t := range unresponsive {
		r.avoidTarget(t)
		if r.d.ReportFailed != nil {
			r.d.ReportFailed(t)
		}
	}
	if len(unresponsive) == 1 {
		f.target = unresponsive[0]
	}
	if len(unresponsive) == 0 {
		r.attributeToAll(p)
	}
}

// attributeToAll makes the job avoid all targets of the chain and reports them as suspects.
func (r *run) attributeToAll(p plan) {
	var targets []string
	for _, s := range p.route.Stages {
		r.avoidTarget(s.Target)
		targets = append(targets, s.Target)
	}
	if r.d.ReportSuspects != nil {
		r.d.ReportSuspects(targets)
	}
}
