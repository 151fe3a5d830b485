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
	// failedMove is not a failure: a stage's target leaves.
	failedMove
)

var failureNames = [...]string{"broken stream", "stalled stream", "invalid answer", "refused", "fenced", "target leaves"}

// failure says why an attempt has to be replaced.
type failure struct {
	kind failureKind
	// target is the stage at fault, where it is known.
	target string
	// resumable is set where the engine may still hold the stream.
	resumable bool
	// head is set where the first stage itself refused.
	head   bool
	reason verifier.Reason
	// moved is the plan that takes over from a leaving target.
	moved plan
	err   error
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

// classify turns the error of a stream into a failure; head is the first stage's target.
func classify(ctx context.Context, err error, head string) *failure {
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
	f := &failure{kind: failedBroken, target: target, head: target == head, err: err}
	switch connect.CodeOf(err) {
	case connect.CodeAborted:
		f.kind = failedFenced
	case connect.CodeResourceExhausted, connect.CodeFailedPrecondition, connect.CodeInvalidArgument, connect.CodeNotFound:
		f.kind = failedRefused
	}
	return f
}

func (r *run) count(f *failure) {
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

// blame finds the target at fault, reports it and keeps the job's next attempts off it.
func (r *run) blame(ctx context.Context, p plan, f *failure) {
	if f.kind == failedStalled {
		r.blameStall(ctx, p, f)
		return
	}
	if f.kind == failedFenced {
		return
	}
	if f.target == "" {
		r.blameAll(p)
		return
	}
	r.shun(f.target)
	if f.kind != failedRefused && r.d.Failed != nil {
		r.d.Failed(f.target)
	}
}

// blameStall probes the stages; those that do not answer are at fault, else any of them may be.
func (r *run) blameStall(ctx context.Context, p plan, f *failure) {
	silent := r.probe(ctx, p.route)
	for _, t := range silent {
		r.shun(t)
		if r.d.Failed != nil {
			r.d.Failed(t)
		}
	}
	if len(silent) == 1 {
		f.target = silent[0]
	}
	if len(silent) == 0 {
		r.blameAll(p)
	}
}

// blameAll keeps the job off the whole chain and spreads the blame over it.
func (r *run) blameAll(p plan) {
	var all []string
	for _, s := range p.route.Stages {
		r.shun(s.Target)
		all = append(all, s.Target)
	}
	if r.d.Stalled != nil {
		r.d.Stalled(all)
	}
}
