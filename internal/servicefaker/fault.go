package servicefaker

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// FaultType names a type of fault.
type FaultType string

// Types of faults that POST /faults accepts.
const (
	// FaultDelay waits before the request runs.
	FaultDelay FaultType = "delay"
	// FaultDieBeforeRun cuts the connection before the request runs.
	FaultDieBeforeRun FaultType = "die-before-run"
	// FaultDropAnswer cuts the connection after the request ran.
	FaultDropAnswer FaultType = "drop-answer"
	// FaultRefuse answers 503 before the request runs, with HeaderNotRun.
	FaultRefuse FaultType = "refuse"
	// FaultRefuseBare answers 503 before the request runs, without HeaderNotRun.
	FaultRefuseBare FaultType = "refuse-bare"
	// FaultStall runs the request and then sends no answer until the caller disconnects.
	FaultStall FaultType = "stall"
)

// Fault is the JSON body of POST /faults.
type Fault struct {
	Type FaultType `json:"type"`
	// Times is how many requests the fault affects; 0 means 1.
	Times int `json:"times,omitempty"`
	// DelayMS is the wait of FaultDelay in milliseconds.
	DelayMS int `json:"delay-ms,omitempty"`
	// Path limits the fault to paths with this prefix; empty means all.
	Path string `json:"path,omitempty"`
}

func (f Fault) validate() error {
	switch f.Type {
	case FaultDelay, FaultDieBeforeRun, FaultDropAnswer, FaultRefuse, FaultRefuseBare, FaultStall:
	default:
		return errors.Newf("unknown fault %q", f.Type)
	}
	if f.Times < 0 || f.DelayMS < 0 {
		return errors.New("times and delay-ms must not be negative")
	}
	return nil
}

func (f Fault) delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

type faultList struct {
	mu     sync.Mutex
	faults []Fault
}

func (l *faultList) add(f Fault) {
	if f.Times == 0 {
		f.Times = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
}

func (l *faultList) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = nil
}

// consume returns the first fault that applies to a path and uses up one count of it.
func (l *faultList) consume(path string) (Fault, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.faults {
		f := &l.faults[i]
		if len(path) < len(f.Path) || path[:len(f.Path)] != f.Path {
			continue
		}
		consumed := *f
		f.Times--
		if f.Times == 0 {
			l.faults = append(l.faults[:i], l.faults[i+1:]...)
		}
		return consumed, true
	}
	return Fault{}, false
}
