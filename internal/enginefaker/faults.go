package enginefaker

import (
	"slices"
	"sync"

	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that JSON writes as "20ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultDelay adds Delay to every token of this engine.
	FaultDelay FaultKind = "delay"
	// FaultStall stops a stream silently after AfterTokens tokens.
	FaultStall FaultKind = "stall"
	// FaultBreak breaks a stream after AfterTokens tokens.
	FaultBreak FaultKind = "break"
	// FaultDie drops every stream and every call without an answer until the fault is cleared.
	FaultDie FaultKind = "die"
	// FaultDropAnswer applies an order or request and drops the answer.
	FaultDropAnswer FaultKind = "drop-answer"
	// FaultRefuse refuses requests before running them.
	FaultRefuse FaultKind = "refuse"
	// FaultSkipPosition leaves out a token after AfterTokens tokens.
	FaultSkipPosition FaultKind = "skip-position"
	// FaultDuplicateLayer runs the first layer of the stage twice.
	FaultDuplicateLayer FaultKind = "duplicate-layer"
	// FaultSkipLayer leaves out the first layer of the stage.
	FaultSkipLayer FaultKind = "skip-layer"
	// FaultForeignRequest answers with another request's id.
	FaultForeignRequest FaultKind = "foreign-request"
	// FaultOldAttempt answers with an older attempt's number.
	FaultOldAttempt FaultKind = "old-attempt"
	// FaultRepeatPosition sends a token twice.
	FaultRepeatPosition FaultKind = "repeat-position"
	// FaultWrongVersion runs another version of the weights.
	FaultWrongVersion FaultKind = "wrong-version"
	// FaultSlowLink makes each activation occupy the link to the next stage for an extra Delay.
	FaultSlowLink FaultKind = "slow-link"
)

var faultKinds = []FaultKind{
	FaultDelay, FaultStall, FaultBreak, FaultDie, FaultDropAnswer, FaultRefuse, FaultSkipPosition,
	FaultDuplicateLayer, FaultSkipLayer, FaultForeignRequest, FaultOldAttempt, FaultRepeatPosition, FaultWrongVersion,
	FaultSlowLink,
}

// Fault is one element of the JSON list that POST /faults accepts.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Times is how often the fault is triggered; 0 means without limit.
	Times int `json:"times"`
	// AfterTokens is how many tokens of a stream precede the fault.
	AfterTokens int `json:"after-tokens"`
	// Delay is the extra time of FaultDelay and FaultSlowLink, such as "20ms".
	Delay Duration `json:"delay"`
	// RPC limits FaultDropAnswer and FaultRefuse to one call, such as "Order"; empty means every call.
	RPC string `json:"rpc"`
	// Peer limits FaultSlowLink to the link to one address; empty means every link.
	Peer string `json:"peer"`
}

// excludes reports whether the fault does not apply to a call or to the link to an address.
func (f Fault) excludes(callOrPeer string) bool {
	limit := f.RPC
	if f.Kind == FaultSlowLink {
		limit = f.Peer
	}
	return limit != "" && limit != callOrPeer
}

// Validate returns an error for an unknown kind or a negative value.
func (f Fault) Validate() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return errors.Newf("kind: %q is none of %v", f.Kind, faultKinds)
	}
	if f.Times < 0 || f.AfterTokens < 0 || f.Delay < 0 {
		return errors.New("times, after-tokens and delay must not be negative")
	}
	return nil
}

type faults struct {
	mu   sync.Mutex
	list []*activeFault
	dead bool
}

type activeFault struct {
	Fault
	remaining int
}

func newFaults() *faults { return &faults{} }

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	dead := false
	for _, x := range list {
		f.list = append(f.list, &activeFault{Fault: x, remaining: x.Times})
		dead = dead || x.Kind == FaultDie
	}
	f.dead = dead
}

// trigger returns the first fault that applies to a call or link now and uses up one of its times.
func (f *faults) trigger(kind FaultKind, callOrPeer string, tokens int) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.list {
		if x.Kind != kind || x.excludes(callOrPeer) || tokens < x.AfterTokens {
			continue
		}
		if x.Times > 0 {
			x.remaining--
			if x.remaining <= 0 {
				f.list = slices.Delete(f.list, i, i+1)
			}
		}
		return x.Fault, true
	}
	return Fault{}, false
}

func (f *faults) alive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead
}
