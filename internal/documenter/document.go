package documenter

import (
	"strings"
	"time"

	"github.com/invopop/jsonschema"
)

// Format is the value of the format field of every service document.
const Format = "rattantray/service/v1"

// Type is the kind of targets that serve a service.
type Type string

// Types of services.
const (
	TypeModel Type = "model"
	TypePlain Type = "plain"
)

// AtMostOnceMode is the way in which requests that are not idempotent are kept from running twice.
type AtMostOnceMode string

// Modes of at-most-once execution.
const (
	// ModeJournal records a claim in the store before each dispatch.
	ModeJournal AtMostOnceMode = "journal"
	// ModeBound binds each request to one daemon incarnation and needs no store.
	ModeBound AtMostOnceMode = "bound"
)

// Duration is a time.Duration that is encoded as text, such as 1m30s.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// String returns the shortest form, such as 5m instead of 5m0s.
func (d Duration) String() string {
	s := time.Duration(d).String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// JSONSchema returns the schema of a duration.
func (Duration) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{
		Type:        "string",
		Pattern:     `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`,
		Description: "A duration with its unit, as 500ms, 30s or 1h30m.",
	}
}

// Document describes one service; it is immutable once parsed.
type Document struct {
	Format string `yaml:"format" json:"format" jsonschema:"required,enum=rattantray/service/v1"`
	Name   string `yaml:"name" json:"name" jsonschema:"required,pattern=^[a-z0-9]+(-[a-z0-9]+)*$,maxLength=63"`
	Owner  string `yaml:"owner" json:"owner" jsonschema:"required,minLength=1,maxLength=200"`
	Type   Type   `yaml:"type" json:"type" jsonschema:"required,enum=model,enum=plain"`
	// Workspaces lists the workspaces that may call the service.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" jsonschema:"required,minItems=1,maxItems=5000"`
	Model      *Model      `yaml:"model,omitempty" json:"model,omitzero"`
	Plain      *Plain      `yaml:"plain,omitempty" json:"plain,omitzero"`
	AtMostOnce AtMostOnce  `yaml:"at-most-once,omitempty" json:"at-most-once,omitzero"`
	Ordering   Ordering    `yaml:"ordering,omitempty" json:"ordering,omitzero"`
	Limits     Limits      `yaml:"limits,omitempty" json:"limits,omitzero"`
	Priorities Priorities  `yaml:"priorities,omitempty" json:"priorities,omitzero"`
	Retry      Retry       `yaml:"retry,omitempty" json:"retry,omitzero"`
}

// Workspace is a caller's share of a service.
type Workspace struct {
	Name string `yaml:"name" json:"name" jsonschema:"required,pattern=^[a-z0-9]+(-[a-z0-9]+)*$,maxLength=63"`
	// Share is the weight in fair queueing.
	Share float64 `yaml:"share,omitempty" json:"share,omitzero" jsonschema:"exclusiveMinimum=0,maximum=1000000"`
	// Rate is the maximum number of requests per second over all entry daemons; 0 is unlimited.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitzero" jsonschema:"minimum=0,maximum=1000000"`
	// Concurrency bounds the requests in progress over all entry daemons; 0 is unlimited.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitzero" jsonschema:"minimum=0,maximum=1000000"`
	// TokenSHA256 lists the SHA-256 digests of the accepted bearer tokens; if it is empty, callers need no token.
	TokenSHA256 []TokenDigest `yaml:"token-sha256,omitempty" json:"token-sha256,omitzero" jsonschema:"maxItems=16"`
}

// TokenDigest is the SHA-256 digest of a bearer token in lower-case hexadecimal.
type TokenDigest string

// JSONSchema returns the schema of a digest.
func (TokenDigest) JSONSchema() *jsonschema.Schema {
	return &jsonschema.Schema{Type: "string", Pattern: "^[0-9a-f]{64}$"}
}

// Model describes the model that a model service runs.
type Model struct {
	Name    string `yaml:"name" json:"name" jsonschema:"required,pattern=^[A-Za-z0-9][A-Za-z0-9._/-]*$,maxLength=128"`
	Version string `yaml:"version" json:"version" jsonschema:"required,pattern=^[A-Za-z0-9][A-Za-z0-9._/-]*$,maxLength=128"`
	Layers  uint32 `yaml:"layers" json:"layers" jsonschema:"required,minimum=1,maximum=4096"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitzero" jsonschema:"pattern=^[A-Za-z0-9][A-Za-z0-9._/-]*$,maxLength=128"`
	// LayerBytes is the size of one layer's weights in bytes.
	LayerBytes uint64 `yaml:"layer-bytes,omitempty" json:"layer-bytes,omitzero" jsonschema:"minimum=1,maximum=1099511627776"`
	// ActivationBytes is the size of one token's activation on a link in bytes.
	ActivationBytes uint64 `yaml:"activation-bytes,omitempty" json:"activation-bytes,omitzero" jsonschema:"minimum=1,maximum=1073741824"`
}

// Plain describes the methods of a plain service.
type Plain struct {
	Methods []Method `yaml:"methods" json:"methods" jsonschema:"required,minItems=1,maxItems=200"`
}

// Method describes one method of a plain service.
type Method struct {
	// Name is an HTTP method and a path, such as "POST /bookings".
	Name       string   `yaml:"name" json:"name" jsonschema:"required,pattern=^(GET|HEAD|POST|PUT|PATCH|DELETE) /[!-~]*$,maxLength=500"`
	Idempotent bool     `yaml:"idempotent,omitempty" json:"idempotent,omitzero"`
	Timeout    Duration `yaml:"timeout,omitempty" json:"timeout,omitzero"`
}

// AtMostOnce configures at-most-once execution of requests that are not idempotent.
type AtMostOnce struct {
	Mode AtMostOnceMode `yaml:"mode,omitempty" json:"mode,omitzero" jsonschema:"enum=journal,enum=bound"`
	// Retention is how long outcomes are kept; requests with older ids are refused.
	Retention Duration `yaml:"retention,omitempty" json:"retention,omitzero"`
	// AnswerBytes is the maximum size of an answer that is kept in full.
	AnswerBytes int `yaml:"answer-bytes,omitempty" json:"answer-bytes,omitzero" jsonschema:"minimum=1,maximum=262144"`
}

// Ordering configures requests with an ordering key.
type Ordering struct {
	// Wait bounds how long an answer waits for a predecessor.
	Wait Duration `yaml:"wait,omitempty" json:"wait,omitzero"`
	// BufferBytes bounds the answers held back under one key.
	BufferBytes int `yaml:"buffer-bytes,omitempty" json:"buffer-bytes,omitzero" jsonschema:"minimum=1,maximum=1073741824"`
}

// Limits holds the limits of single requests and of the queue.
type Limits struct {
	PayloadBytes int      `yaml:"payload-bytes,omitempty" json:"payload-bytes,omitzero" jsonschema:"minimum=1,maximum=67108864"`
	MaxTokens    uint32   `yaml:"max-tokens,omitempty" json:"max-tokens,omitzero" jsonschema:"minimum=1,maximum=1048576"`
	Queue        int      `yaml:"queue,omitempty" json:"queue,omitzero" jsonschema:"minimum=1,maximum=100000"`
	Deadline     Duration `yaml:"deadline,omitempty" json:"deadline,omitzero"`
	MaxDeadline  Duration `yaml:"max-deadline,omitempty" json:"max-deadline,omitzero"`
}

// Priorities configures the order of requests within a workspace.
type Priorities struct {
	// Ageing is the waiting time after which a request's priority rises by one.
	Ageing Duration `yaml:"ageing,omitempty" json:"ageing,omitzero"`
	Max    uint32   `yaml:"max,omitempty" json:"max,omitzero" jsonschema:"minimum=1,maximum=100"`
}

// Retry limits repeated attempts.
type Retry struct {
	// MaxAttempts counts the first attempt; 1 turns retries off.
	MaxAttempts int `yaml:"max-attempts,omitempty" json:"max-attempts,omitzero" jsonschema:"minimum=1,maximum=10"`
	// Budget is the fraction of requests that may be retried.
	Budget float64 `yaml:"budget,omitempty" json:"budget,omitzero" jsonschema:"exclusiveMinimum=0,maximum=1"`
}

// Workspace returns the workspace of that name and whether there is one.
func (d *Document) Workspace(name string) (Workspace, bool) {
	for _, w := range d.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Method returns the method of that name of a plain service and whether there is one.
func (d *Document) Method(name string) (Method, bool) {
	if d.Plain == nil {
		return Method{}, false
	}
	for _, m := range d.Plain.Methods {
		if m.Name == name {
			return m, true
		}
	}
	return Method{}, false
}
