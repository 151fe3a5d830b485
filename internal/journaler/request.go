package journaler

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Request is a request that must run at most once.
type Request struct {
	Workspace cataloger.Workspace
	// ID is chosen by the caller and unique within the workspace.
	ID string
	// PayloadDigest is the SHA-256 of service, method and payload.
	PayloadDigest [32]byte
	Deadline      time.Time
	Mode          documenter.AtMostOnceMode
	// Retention is how long the answer is kept.
	Retention time.Duration
	// AnswerBytes is the largest answer that is kept whole; of a larger one the digest is kept.
	AnswerBytes int
	// BoundTo is the incarnation, as Resolve names it, that a request in bound mode runs on; empty is this daemon.
	BoundTo string
	// NotRunBefore is true where no earlier call with this id has run or may still run.
	NotRunBefore bool
}

// Answer is what running a request gave.
type Answer struct {
	// Status is the status of a plain service's HTTP answer.
	Status int
	Body   []byte
}

// Outcome says how a request ended.
type Outcome struct {
	// Fact is FactUnspecified for an unknown id, else what is known of the run.
	Fact refuser.Fact
	// Running is true while the request is claimed and its outcome may still come.
	Running bool
	Answer  Answer
	// Kept is true where Answer is whole.
	Kept bool
	// Digest is the SHA-256 of the answer's body.
	Digest [32]byte
	// Replayed is true where the answer is of an earlier call.
	Replayed bool
}

// RunFunc runs a request once; an error that is not a refusal with FactNotRun means that it may have run.
type RunFunc func(ctx context.Context) (Answer, error)
