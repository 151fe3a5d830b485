package dispatcher

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Job is a request for a model.
type Job struct {
	Workspace string
	Service   string
	RequestID string
	Model     string
	Version   string
	Adapter   string
	// Layers is the number of layers of the model.
	Layers uint32
	Prompt []byte
	// MaxTokens limits the complete answer, including the tokens before StartPosition.
	MaxTokens uint32
	Priority  uint32
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// StartPosition is the position of the first token to deliver.
	StartPosition uint64
	// Delivered holds the tokens before StartPosition, if they are available.
	Delivered [][]byte
	// Held is an attempt before FirstAttempt whose stream engines may still hold; its route is empty if there is none.
	Held HeldAttempt
	// FirstAttempt is greater than the number of any earlier attempt; 0 means 1.
	FirstAttempt uint32
	// EndAttempt is greater than the number of every attempt of this job; 0 means no bound.
	EndAttempt uint32
	// OnAttempt is called with the number of each attempt before it begins; may be nil.
	OnAttempt func(attempt uint32)
	// MaxAttempts limits the attempts in a row that gain no token; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// RecoveryTimeout is how long an answer in progress waits for a new chain; 0 means the dispatcher's RecoveryTimeout, and a
	// negative value does not wait.
	RecoveryTimeout time.Duration
	// Flush is called before the job waits, so that the parts emitted so far can be sent; may be nil.
	Flush func()
	// RetryBudget is the share of requests that may be retried; 0 means DefaultRetryBudget, and a negative value none.
	RetryBudget float64
}

// HeldAttempt is an attempt begun by another entry, which was lost or has dropped its caller.
type HeldAttempt struct {
	Attempt uint32
	Route   cataloger.Route
}

// Defaults of a job.
const (
	DefaultMaxAttempts = 5
	DefaultRetryBudget = 0.2
)

// Part is one token of the answer, delivered once and in order.
type Part struct {
	Attempt  uint32
	Position uint64
	Data     []byte
	Last     bool
	Receipt  *v1.Receipt
	// Route is the chain that runs the attempt; it must not be modified.
	Route cataloger.Route
}

func (j Job) withDefaults() Job {
	if j.FirstAttempt == 0 {
		j.FirstAttempt = 1
	}
	if j.MaxAttempts <= 0 {
		j.MaxAttempts = DefaultMaxAttempts
	}
	if j.RetryBudget == 0 {
		j.RetryBudget = DefaultRetryBudget
	}
	return j
}

// validate returns a refusal if the job cannot be run.
func (j Job) validate() error {
	switch {
	case j.RequestID == "":
		return refuser.New(refuser.MalformedRequest, "request-id: must not be empty")
	case j.Layers == 0:
		return refuser.New(refuser.MalformedRequest, "layers: the model of the service has none")
	case j.MaxTokens == 0:
		return refuser.New(refuser.MalformedRequest, "max-tokens: must be at least 1")
	case j.StartPosition >= uint64(j.MaxTokens):
		return refuser.New(refuser.MalformedRequest, "position %d: the answer ends before %d", j.StartPosition, j.MaxTokens)
	}
	return nil
}

func (j Job) endPosition() uint64 { return uint64(j.MaxTokens) }
