package platformfaker

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultKind names what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	// FaultOutage fails every call without effect and cuts watches.
	FaultOutage FaultKind = "outage"
	// FaultSlow delays each call by Delay before it takes effect.
	FaultSlow FaultKind = "slow"
	// FaultAnswerLost lets a write take effect and loses its answer.
	FaultAnswerLost FaultKind = "answer-lost"
	// FaultRequestLost loses a write before it takes effect; the caller cannot tell it from FaultAnswerLost.
	FaultRequestLost FaultKind = "request-lost"
	// FaultStaleRead answers reads with the state of Revisions ago.
	FaultStaleRead FaultKind = "stale-read"
	// FaultWatchGap leaves out a watch event without a sign.
	FaultWatchGap FaultKind = "watch-gap"
	// FaultWatchReorder delivers a watch event after its successor.
	FaultWatchReorder FaultKind = "watch-reorder"
	// FaultRateLimit refuses calls as over the rate, without effect.
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

// Duration is a time.Duration that is written as 1m30s in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Fault goes on until Count calls met it or Duration is over; with neither it goes on until ClearFaults.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Operations limits the fault to some calls; empty is all that the kind applies to.
	Operations []Operation `json:"operations,omitempty"`
	// Prefix limits the fault to keys with the prefix.
	Prefix   string   `json:"prefix,omitempty"`
	Count    int      `json:"count,omitempty"`
	Duration Duration `json:"duration,omitempty"`
	// Delay is the delay of FaultSlow.
	Delay Duration `json:"delay,omitempty"`
	// Revisions is how far back FaultStaleRead reads; 0 is 1.
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

// Validate reports a kind or operation that does not exist.
func (f Fault) Validate() error {
	known, ok := faultOperations[f.Kind]
	if !ok {
		return errors.Newf("unknown fault kind %q", f.Kind)
	}
	for _, op := range f.Operations {
		if !slices.Contains(known, op) {
			return errors.Newf("fault %q does not apply to operation %q", f.Kind, op)
		}
	}
	return nil
}

// ParseFault reads a fault from JSON.
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
	until time.Time
	left  int
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

func (f *activeFault) over(now time.Time) bool {
	return f.Count > 0 && f.left <= 0 || !f.until.IsZero() && !now.Before(f.until)
}

// Inject starts a fault.
func (p *Platform) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &activeFault{Fault: f, left: f.Count}
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

// meet uses up one count of the first active fault of a kind that matches a call; the caller holds the lock.
func (p *Platform) meet(kind FaultKind, op Operation, key string) (Fault, bool) {
	now := p.cfg.Clock.Now()
	p.faults = slices.DeleteFunc(p.faults, func(f *activeFault) bool { return f.over(now) })
	for _, f := range p.faults {
		if f.Kind == kind && f.matches(op, key) {
			f.left--
			return f.Fault, true
		}
	}
	return Fault{}, false
}
