package platformfaker

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultOutage fails every call without effect and cuts watches.
	FaultOutage FaultKind = "outage"
	// FaultSlow delays each call by Delay before it takes effect.
	FaultSlow FaultKind = "slow"
	// FaultAnswerLost applies a write and loses its answer.
	FaultAnswerLost FaultKind = "answer-lost"
	// FaultRequestLost loses a write before it takes effect; the caller cannot tell it from FaultAnswerLost.
	FaultRequestLost FaultKind = "request-lost"
	// FaultStaleRead answers reads with the state of Revisions revisions ago.
	FaultStaleRead FaultKind = "stale-read"
	// FaultWatchGap drops a watch event silently.
	FaultWatchGap FaultKind = "watch-gap"
	// FaultWatchReorder delivers a watch event after its successor.
	FaultWatchReorder FaultKind = "watch-reorder"
	// FaultRateLimit refuses calls as over the rate limit, without effect.
	FaultRateLimit FaultKind = "rate-limit"
)

// Operation names a kind of call.
type Operation string

// Kinds of calls.
const (
	OperationGet     Operation = "get"
	OperationList    Operation = "list"
	OperationPut     Operation = "put"
	OperationDelete  Operation = "delete"
	OperationWatch   Operation = "watch"
	OperationListVMs Operation = "list-vms"
)

// Duration is a time.Duration that JSON writes as "1m30s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Fault is active until it has affected Count calls or Duration has passed; without both, until ClearFaults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Operations limits the fault to some calls; empty means all that the kind applies to.
	Operations []Operation `json:"operations,omitempty"`
	// Prefix limits the fault to keys with this prefix.
	Prefix   string   `json:"prefix,omitempty"`
	Count    int      `json:"count,omitempty"`
	Duration Duration `json:"duration,omitempty"`
	// Delay is the delay of FaultSlow.
	Delay Duration `json:"delay,omitempty"`
	// Revisions is how many revisions back FaultStaleRead reads; 0 means 1.
	Revisions uint64 `json:"revisions,omitempty"`
}

var faultOperations = map[FaultKind][]Operation{
	FaultOutage:       {OperationGet, OperationList, OperationPut, OperationDelete, OperationWatch, OperationListVMs},
	FaultSlow:         {OperationGet, OperationList, OperationPut, OperationDelete, OperationWatch, OperationListVMs},
	FaultRateLimit:    {OperationGet, OperationList, OperationPut, OperationDelete, OperationWatch, OperationListVMs},
	FaultAnswerLost:   {OperationPut, OperationDelete},
	FaultRequestLost:  {OperationPut, OperationDelete},
	FaultStaleRead:    {OperationGet, OperationList},
	FaultWatchGap:     {OperationWatch},
	FaultWatchReorder: {OperationWatch},
}

// Validate returns an error for an unknown kind or an operation that the kind does not apply to.
func (f Fault) Validate() error {
	applicable, ok := faultOperations[f.Kind]
	if !ok {
		return errors.Newf("unknown fault kind %q", f.Kind)
	}
	for _, op := range f.Operations {
		if !slices.Contains(applicable, op) {
			return errors.Newf("fault %q does not apply to operation %q", f.Kind, op)
		}
	}
	return nil
}

// ParseFault reads a fault from JSON and validates it; an unknown field is an error.
func ParseFault(b []byte) (Fault, error) {
	var f Fault
	dec := json.NewDecoder(strings.NewReader(string(b)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return Fault{}, err
	}
	return f, f.Validate()
}

type activeFault struct {
	Fault
	until     time.Time
	remaining int
}

func (f *activeFault) matches(op Operation, key string) bool {
	if !slices.Contains(faultOperations[f.Kind], op) {
		return false
	}
	if len(f.Operations) > 0 && !slices.Contains(f.Operations, op) {
		return false
	}
	return strings.HasPrefix(key, f.Prefix)
}

func (f *activeFault) expired(now time.Time) bool {
	return f.Count > 0 && f.remaining <= 0 || !f.until.IsZero() && !now.Before(f.until)
}

// Inject activates a fault.
func (p *Platform) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &activeFault{Fault: f, remaining: f.Count}
	if f.Duration > 0 {
		a.until = p.cfg.Clock.Now().Add(time.Duration(f.Duration))
	}
	p.faults = append(p.faults, a)
	p.broadcast()
}

// ClearFaults ends every fault.
func (p *Platform) ClearFaults() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = nil
	p.broadcast()
}

// consumeFault returns the first active fault of a kind that matches a call and uses up one count of it. The caller holds p.mu.
func (p *Platform) consumeFault(kind FaultKind, op Operation, key string) (Fault, bool) {
	now := p.cfg.Clock.Now()
	p.faults = slices.DeleteFunc(p.faults, func(f *activeFault) bool { return f.expired(now) })
	for _, f := range p.faults {
		if f.Kind == kind && f.matches(op, key) {
			f.remaining--
			return f.Fault, true
		}
	}
	return Fault{}, false
}
