package matcher

import (
	"math"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Kind classifies requests by how often one may run.
type Kind string

// Kinds of requests.
const (
	KindIdempotent    Kind = "idempotent"
	KindNonIdempotent Kind = "non-idempotent"
	KindStreaming     Kind = "streaming"
)

// Share assigns a service a part of a route's requests, in proportion to its weight.
type Share struct {
	Service string
	Weight  float64
}

// Route defines the handling of requests to a host under a path prefix.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a client is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective for the answer, or for the first event of a stream.
	Objective time.Duration
	// GapObjective is the maximum pause between two events of a stream that meets its objective.
	GapObjective time.Duration
	// Priority is the rank, 0 the highest.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the targets that one request may be sent to; 0 means one.
	MaxAttempts int
	// Public is true if requests need no key.
	Public bool
	// Resumable is true if a stream may continue on another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// Accelerator describes one kind of accelerator.
type Accelerator struct {
	// MemoryBytes is the memory for weights and requests together.
	MemoryBytes float64
	// Pace multiplies the time of a token step, so that a larger value is slower.
	Pace float64
	// PrefillFactor multiplies the time of prefill.
	PrefillFactor float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a target runs at a time.
	Slots int
	// Model is the model that every target of the service holds in full, and LoadTime the time to load it.
	Model    string
	LoadTime time.Duration
	// Layers is the number of layers of the model; 0 if each target holds the full model.
	Layers     uint32
	LayerBytes float64
	// TokenBytes is the memory of one token of a request over all layers.
	TokenBytes float64
	// MemoryTokens is the memory for requests of a target that holds the full model, in tokens.
	MemoryTokens float64
	// StepTime is the time of one token step over all layers at pace 1, and SequenceTime the time that each request in progress
	// adds to it.
	StepTime     time.Duration
	SequenceTime time.Duration
	// ContextTime is the time that 1,000 tokens of context add to a step.
	ContextTime time.Duration
	// StepsPerPass is the number of token steps that a target runs before it sends on what they give; an event holds as many tokens.
	StepsPerPass int
	// PrefillRate is in tokens a second over all layers at factor 1.
	PrefillRate float64
	// ActivationBytes is the size of one token on a link.
	ActivationBytes float64
	// PipeBytesPerSecond is the bandwidth of the pipe from one data centre to another, shared by all transfers; 0 means no bound.
	PipeBytesPerSecond float64
	// MaxConcurrentLoads is the maximum number of loads of weights that run at full speed together; 0 means no bound.
	MaxConcurrentLoads int
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt float64
	UsualAnswer float64
	Kinds       map[string]Accelerator
}

// PaceSpread returns how many times faster the fastest kind of accelerator is than the slowest; 1 if they are alike or unknown.
func (e *Engine) PaceSpread() float64 {
	fastest, slowest := math.Inf(1), 0.0
	for _, k := range e.Kinds {
		if k.Pace > 0 {
			fastest, slowest = min(fastest, k.Pace), max(slowest, k.Pace)
		}
	}
	if slowest == 0 {
		return 1
	}
	return slowest / fastest
}

// Service is a set of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from all callers together; 0 means no bound.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name cataloger.Workspace
	Keys []string
	// Priority overrides that of the route if it is set.
	Priority *int
}

// Limits bounds what a client may send, in sizes and times.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one version of the full configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}
