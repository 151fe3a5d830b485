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

// FaultKind names a fault.
type FaultKind string

// Faults.
const (
	// FaultDelay adds Delay to every token of this engine.
	FaultDelay FaultKind = "delay"
	// FaultStall stops a stream silently after AfterTokens tokens.
	FaultStall FaultKind = "stall"
	// FaultBreak breaks a stream after AfterTokens tokens.
	FaultBreak FaultKind = "break"
	// FaultDie drops every stream and refuses everything until the fault is cleared.
	FaultDie FaultKind = "die"
	// FaultDropAnswer takes an order or request into effect and drops the answer.
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
	// FaultSlowLink makes each activation take Delay of the link to the next stage.
	FaultSlowLink FaultKind = "slow-link"
)

var faultKinds = []FaultKind{
	FaultDelay, FaultStall, FaultBreak, FaultDie, FaultDropAnswer, FaultRefuse, FaultSkipPosition,
	FaultDuplicateLayer, FaultSkipLayer, FaultForeignRequest, FaultOldAttempt, FaultRepeatPosition, FaultWrongVersion,
	FaultSlowLink,
}

// Fault is one fault to take on, as POST /faults gives it.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Times is how often the fault strikes; 0 is without end.
	Times int `json:"times"`
	// AfterTokens is how many tokens of a stream pass before the fault strikes.
	AfterTokens int `json:"after-tokens"`
	// Delay is the extra time of FaultDelay and FaultSlowLink, as "20ms".
	Delay Duration `json:"delay"`
	// RPC limits FaultDropAnswer and FaultRefuse to one call, as "Order"; empty is every call.
	RPC string `json:"rpc"`
	// Peer limits FaultSlowLink to the link to one address; empty is every link.
	Peer string `json:"peer"`
}

// spares tells whether the fault leaves a call, or the link to an address, alone.
func (f Fault) spares(callOrPeer string) bool {
	limit := f.RPC
	if f.Kind == FaultSlowLink {
		limit = f.Peer
	}
	return limit != "" && limit != callOrPeer
}

// Valid returns an error that names what is wrong with the fault.
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
	left int
}

func newFaults() *faults { return &faults{} }

func (f *faults) set(list []Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	dead := false
	for _, x := range list {
		f.list = append(f.list, &activeFault{Fault: x, left: x.Times})
		dead = dead || x.Kind == FaultDie
	}
	f.dead = dead
}

// strike reports whether a fault strikes a call or a link now, using up one of its times.
func (f *faults) strike(kind FaultKind, callOrPeer string, tokens int) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.list {
		if x.Kind != kind || x.spares(callOrPeer) || tokens < x.AfterTokens {
			continue
		}
		if x.Times > 0 {
			x.left--
			if x.left <= 0 {
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
