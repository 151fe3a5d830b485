package documenter

import (
	"time"
)

// Format is the value of the format field of every service document.
const Format = "rattantray/service/v1"

// Type says what kind of targets serve a service.
type Type string

// Types of services.
const (
	TypeModel Type = "model"
	TypePlain Type = "plain"
)

// AtMostOnceMode says how requests that are not idempotent are kept from running twice.
type AtMostOnceMode string

// Modes of at-most-once execution.
const (
	// ModeJournal records a claim in the store before each dispatch.
	ModeJournal AtMostOnceMode = "journal"
	// ModeBound binds each request to one daemon incarnation and needs no store.
	ModeBound AtMostOnceMode = "bound"
)

// Duration is a time.Duration that is written as 1m30s.
type Duration time.Duration

// Document describes one service; it is immutable once parsed.
type Document struct {
	Format string `yaml:"format" json:"format"`
	Name   string `yaml:"name" json:"name"`
	Owner  string `yaml:"owner" json:"owner"`
	Type   Type   `yaml:"type" json:"type"`
	// Workspaces lists who may call the service.
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces"`
	Model      *Model      `yaml:"model,omitempty" json:"model,omitempty"`
	Plain      *Plain      `yaml:"plain,omitempty" json:"plain,omitempty"`
	AtMostOnce AtMostOnce  `yaml:"at-most-once,omitempty" json:"at-most-once,omitempty"`
	Ordering   Ordering    `yaml:"ordering,omitempty" json:"ordering,omitempty"`
	Limits     Limits      `yaml:"limits,omitempty" json:"limits,omitempty"`
	Priorities Priorities  `yaml:"priorities,omitempty" json:"priorities,omitempty"`
	Retry      Retry       `yaml:"retry,omitempty" json:"retry,omitempty"`
}

// Workspace is a caller's share of a service.
type Workspace struct {
	Name string `yaml:"name" json:"name"`
	// Share is the weight in fair queueing.
	Share float64 `yaml:"share,omitempty" json:"share,omitempty"`
	// Rate is in requests a second over all entries; 0 is unlimited.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Concurrency bounds the requests in progress over all entries; 0 is unlimited.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty"`
}

// Model names what a model service runs.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	Layers  uint32 `yaml:"layers" json:"layers"`
	Adapter string `yaml:"adapter,omitempty" json:"adapter,omitempty"`
	// LayerBytes is the size of one layer's weights.
	LayerBytes uint64 `yaml:"layer-bytes,omitempty" json:"layer-bytes,omitempty"`
	// ActivationBytes is what one token's activation takes on a link.
	ActivationBytes uint64 `yaml:"activation-bytes,omitempty" json:"activation-bytes,omitempty"`
}

// Plain describes the calls of a plain service.
type Plain struct {
	Methods []Method `yaml:"methods" json:"methods"`
}

// Method is one call of a plain service.
type Method struct {
	// Name is an HTTP method and a path, as "POST /bookings".
	Name       string   `yaml:"name" json:"name"`
	Idempotent bool     `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	Timeout    Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// AtMostOnce governs requests that are not idempotent.
type AtMostOnce struct {
	Mode AtMostOnceMode `yaml:"mode,omitempty" json:"mode,omitempty"`
	// Retention is how long outcomes are kept; older request ids are refused.
	Retention Duration `yaml:"retention,omitempty" json:"retention,omitempty"`
	// AnswerBytes is the largest answer that is kept whole.
	AnswerBytes int `yaml:"answer-bytes,omitempty" json:"answer-bytes,omitempty"`
}

// Ordering governs requests with an ordering key.
type Ordering struct {
	// Wait bounds how long an answer waits for a predecessor.
	Wait Duration `yaml:"wait,omitempty" json:"wait,omitempty"`
	// BufferBytes bounds the answers held back under one key.
	BufferBytes int `yaml:"buffer-bytes,omitempty" json:"buffer-bytes,omitempty"`
}

// Limits bounds single requests and the queue.
type Limits struct {
	PayloadBytes int      `yaml:"payload-bytes,omitempty" json:"payload-bytes,omitempty"`
	MaxTokens    uint32   `yaml:"max-tokens,omitempty" json:"max-tokens,omitempty"`
	Queue        int      `yaml:"queue,omitempty" json:"queue,omitempty"`
	Deadline     Duration `yaml:"deadline,omitempty" json:"deadline,omitempty"`
	MaxDeadline  Duration `yaml:"max-deadline,omitempty" json:"max-deadline,omitempty"`
}

// Priorities governs the order within a workspace.
type Priorities struct {
	// Ageing is the wait that raises a request by one priority.
	Ageing Duration `yaml:"ageing,omitempty" json:"ageing,omitempty"`
	Max    uint32   `yaml:"max,omitempty" json:"max,omitempty"`
}

// Retry bounds repeated attempts.
type Retry struct {
	MaxAttempts int `yaml:"max-attempts,omitempty" json:"max-attempts,omitempty"`
	// Budget is the share of requests that may be retried.
	Budget float64 `yaml:"budget,omitempty" json:"budget,omitempty"`
}

// Workspace returns the entry of a workspace and whether there is one.
func (d *Document) Workspace(name string) (Workspace, bool) {
	for _, w := range d.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Method returns a method of a plain service and whether there is one.
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
