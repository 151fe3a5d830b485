package matcher

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Kind says how often a request may run.
type Kind string

// Kinds of requests.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non-idempotent"
	KindStreaming     Kind = "streaming"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Route says what becomes of the requests of a host under a path.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a client is kept waiting; 0 is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; of a stream, its first event.
	Objective time.Duration
	// GapObjective is the longest pause between two events of a stream that is on time.
	GapObjective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the targets that one request may be sent to; 0 is one.
	MaxAttempts int
	// Public routes ask for no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	// MemoryBytes is for weights and requests together.
	MemoryBytes float64
	// Pace multiplies the time of a token step.
	Pace float64
	// PrefillFactor multiplies the time of prefill.
	PrefillFactor float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a target runs at a time.
	Slots int
	// Model and LoadTime are those of the model that all targets of the service hold, whole.
	Model    string
	LoadTime time.Duration
	// Layers is how many layers the model has; 0 where each target holds the whole model.
	Layers     uint32
	LayerBytes float64
	// TokenBytes is the memory of one token of a request over all layers.
	TokenBytes float64
	// MemoryTokens is the memory for requests of a target that holds the whole model.
	MemoryTokens float64
	// StepTime is one token step over all layers at pace 1, and SequenceTime what each request in progress adds.
	StepTime     time.Duration
	SequenceTime time.Duration
	// ContextTime is what 1,000 tokens of context add to a step.
	ContextTime time.Duration
	// PrefillRate is in tokens a second over all layers at factor 1.
	PrefillRate float64
	// ActivationBytes is what one token takes on a link.
	ActivationBytes float64
	// PipeBytesPerSecond is shared by all transfers between data centres; 0 is no bound.
	PipeBytesPerSecond float64
	// LoadsAtOnce is how many loads of weights run at full speed together; 0 is no bound.
	MaxConcurrentLoads int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt float64
	UsualAnswer float64
	Kinds       map[string]Accelerator
}

// Service is a set of targets that do the same.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one target accepts from all callers together; 0 is no bound.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name cataloger.Workspace
	Keys []string
	// Priority goes before that of the route where it is set.
	Priority *int
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the whole configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}
