package modeler

import "time"

// Kind is a kind of accelerator.
type Kind struct {
	MemoryBytes float64
	// Pace multiplies the time of token steps, PrefillFactor that of prefill.
	Pace          float64
	PrefillFactor float64
}

// Spec describes the model that is served and the engines' times for all of its layers.
type Spec struct {
	Layers     uint32
	LayerBytes float64
	// TokenBytes is the memory of one token of a request over all layers.
	TokenBytes float64
	// Step is one token step at pace 1, PerSequence what each request in the pass adds, and Context what 1,000 tokens of
	// context add.
	StepTime     time.Duration
	SequenceTime time.Duration
	ContextTime  time.Duration
	// PrefillRate is in tokens a second at factor 1, and Chunk bounds the tokens that one pass reads.
	PrefillRate float64
	ChunkTokens int
	// Slots is how many requests a target runs that it received first, and Queue how many more wait.
	Slots int
	Queue int
	// EventTokens is how many tokens an event holds.
	EventTokens int
	// Delay is one way between data centres, PipeRate in bytes a second from one of them to another.
	OneWayDelay        time.Duration
	PipeBytesPerSecond float64
	ActivationBytes    float64
	// LoadTime is for all layers; more than LoadsAtOnce loads share their speed.
	LoadTime           time.Duration
	MaxConcurrentLoads int
	// StallTime is how long work waits for a target that is lost before it is cut off.
	StallTime time.Duration
	// ReportLag is the age of what reports say.
	ReportLag time.Duration
	Kinds     map[string]Kind
}

// Stage is the part of the layers that one target runs for a request.
type Stage struct {
	Target string
	First  uint32
	End    uint32
}

// Request is what a generation asks for.
type Request struct {
	ID           string
	PromptTokens int
	AnswerTokens int
}

// Outcome is how a generation ended.
type Outcome string

// Outcomes of a generation.
const (
	// OutcomeDone says that all tokens were made.
	OutcomeDone Outcome = "done"
	// OutcomeRefused says that the request did not run: a stage has no room, gives its layers up, or is lost.
	OutcomeRefused Outcome = "refused"
	// OutcomeCut says that the generation was broken off.
	OutcomeCut Outcome = "cut"
	// OutcomeCanceled says that the client left.
	OutcomeCanceled Outcome = "canceled"
)

// Report is what a target said of itself a while ago.
type Report struct {
	Running int
	Waiting int
	// UsedTokenLayers is the memory of requests, in tokens times layers.
	UsedTokenLayers float64
	Pace            float64
	// Stalled are the requests that the target received first and that wait for a silent stage, with that stage.
	Stalled map[string]string
}
