package enginefaker

import (
	"sync"

	"github.com/rattantray/rattantray/internal/cataloger"
)

const maxLedgerRuns = 100_000

// Run records the layers that the engine ran for one attempt of a request.
type Run struct {
	Workspace  string `json:"workspace"`
	RequestID  string `json:"request-id"`
	Attempt    uint32 `json:"attempt"`
	FirstLayer uint32 `json:"first-layer"`
	EndLayer   uint32 `json:"end-layer"`
	// FirstPosition and EndPosition bound the positions that were run; EndPosition is exclusive.
	FirstPosition uint64 `json:"first-position"`
	EndPosition   uint64 `json:"end-position"`
}

// OrderRecord records a received order and whether it was accepted.
type OrderRecord struct {
	OrderID    string `json:"order-id"`
	Fencing    uint64 `json:"fencing"`
	Action     string `json:"action"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Adapter    string `json:"adapter"`
	FirstLayer uint32 `json:"first-layer"`
	EndLayer   uint32 `json:"end-layer"`
	Role       string `json:"role"`
	Accepted   bool   `json:"accepted"`
	Reason     string `json:"reason,omitempty"`
}

// Refused counts refused requests and activations by reason.
type Refused map[string]int

// Ledger is the JSON body that GET /ledger returns.
type Ledger struct {
	Target   string              `json:"target"`
	Runs     []Run               `json:"runs"`
	Orders   []OrderRecord       `json:"orders"`
	Canceled []Run               `json:"canceled"`
	Refused  Refused             `json:"refused"`
	Holdings []cataloger.Holding `json:"holdings"`
	// DroppedRuns counts runs that were dropped to bound the ledger.
	DroppedRuns int `json:"dropped-runs"`
}

type ledger struct {
	mu      sync.Mutex
	runs    []*Run
	orders  []OrderRecord
	cancels []Run
	refused Refused
	dropped int
}

func newLedger() *ledger { return &ledger{refused: Refused{}} }

func (l *ledger) beginRun(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxLedgerRuns {
		l.runs = append(l.runs[:0], l.runs[maxLedgerRuns/2:]...)
		l.dropped += maxLedgerRuns / 2
	}
	l.runs = append(l.runs, &r)
	return &r
}

func (l *ledger) extendRun(r *Run, position uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.EndPosition = position + 1
}

func (l *ledger) recordOrder(o OrderRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *ledger) recordCancel(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cancels) < maxLedgerRuns {
		l.cancels = append(l.cancels, r)
	}
}

func (l *ledger) countRefusal(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[reason]++
}

func (l *ledger) snapshot() Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Ledger{Refused: Refused{}, DroppedRuns: l.dropped}
	for _, r := range l.runs {
		s.Runs = append(s.Runs, *r)
	}
	s.Orders = append(s.Orders, l.orders...)
	s.Canceled = append(s.Canceled, l.cancels...)
	for k, v := range l.refused {
		s.Refused[k] = v
	}
	return s
}
