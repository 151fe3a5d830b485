package modeler

import "time"

// Kind is a kind of accelerator.
type Kind struct {
	MemoryBytes float64
	// Pace multiplies the time of token steps, PrefillFactor that of prefill.
	Pace          float64
	PrefillFactor float64
}

// Spec describes the served model and the engines' times for all of its layers.
type Spec struct {
	Layers     uint32
	LayerBytes float64
	// TokenBytes is the memory of one token of a request over all layers.
	TokenBytes float64
	// StepTime is the time of one token step at pace 1, SequenceTime what each request in the pass adds, and ContextTime what
	// 1,000 tokens of context add.
	StepTime     time.Duration
	SequenceTime time.Duration
	ContextTime  time.Duration
	// PrefillRate is in tokens per second at factor 1, and ChunkTokens is the maximum number of tokens that one pass prefills.
	PrefillRate float64
	ChunkTokens int
	// Slots is how many requests a target runs as their first stage, and Queue how many more wait there.
	Slots int
	Queue int
	// EventTokens is the number of tokens in an event.
	EventTokens int
	// OneWayDelay is the latency between data centres, PipeBytesPerSecond the bandwidth from one of them to another, and
	// ActivationBytes the data of one token on it.
	OneWayDelay        time.Duration
	PipeBytesPerSecond float64
	ActivationBytes    float64
	// LoadTime is the time to load all layers; more than MaxConcurrentLoads loads share the speed of that many.
	LoadTime           time.Duration
	MaxConcurrentLoads int
	// StallTime is how long work waits for a lost target before it is aborted.
	StallTime time.Duration
	// ReportLag is the age of a report when it is received.
	ReportLag time.Duration
	Kinds     map[string]Kind
}

// Stage is the range of layers [First,End) that one target runs for a request.
type Stage struct {
	Target string
	First  uint32
	End    uint32
}

// Request gives the id of a generation and its sizes in tokens.
type Request struct {
	ID           string
	PromptTokens int
	AnswerTokens int
}

// Outcome is how a generation ended.
type Outcome string

// Outcomes of a generation.
const (
	// OutcomeDone means that all tokens were generated.
	OutcomeDone Outcome = "done"
	// OutcomeRefused means that no token was generated: a stage has no capacity, does not hold its layers, or is lost.
	OutcomeRefused Outcome = "refused"
	// OutcomeCut means that the generation was aborted after its first token.
	OutcomeCut Outcome = "cut"
	// OutcomeCanceled means that the client disconnected.
	OutcomeCanceled Outcome = "canceled"
)

// Report is the state of a target as it reported it; it is ReportLag old.
type Report struct {
	Running int
	Waiting int
	// UsedTokenLayers is the memory that requests use, in tokens times layers.
	UsedTokenLayers float64
	Pace            float64
	// Stalled maps requests whose first stage this target is to the lost stage that they wait for.
	Stalled map[string]string
}
