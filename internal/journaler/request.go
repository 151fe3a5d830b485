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
	// ID is chosen by the client and unique within the workspace.
	ID string
	// PayloadDigest is the SHA-256 of service, method and payload.
	PayloadDigest [32]byte
	Deadline      time.Time
	Mode          documenter.AtMostOnceMode
	// Retention is how long the answer is kept.
	Retention time.Duration
	// AnswerBytes is the maximum size of an answer that is kept; of a larger one only the digest is kept.
	AnswerBytes int
	// BoundTo is the IncarnationName of the daemon that a request in bound mode runs on.
	BoundTo string
	// NotRunBefore is true where no earlier call with this id has run or may still run.
	NotRunBefore bool
}

// Answer is the answer to a request that ran.
type Answer struct {
	// Status is the HTTP status of a plain service's answer.
	Status int
	Body   []byte
}

// Outcome describes how a request ended.
type Outcome struct {
	// Fact says whether the request ran; it is FactUnspecified for an unknown id.
	Fact refuser.Fact
	// Running is true while the request is claimed and its outcome may still be reported.
	Running bool
	Answer  Answer
	// Kept is true if Answer is complete.
	Kept bool
	// Digest is the SHA-256 of the answer's body.
	Digest [32]byte
	// Replayed is true if the answer is from an earlier call.
	Replayed bool
}

// RunFunc runs a request once; any error but a refusal with FactNotRun means that the request may have run.
type RunFunc func(ctx context.Context) (Answer, error)
