package router

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/commander"
	"github.com/rattantray/rattantray/internal/planner"
)

const methodPlacementStatus = "placement-status"

// progress holds the last plan of each model that this daemon plans, and the outcomes of the plan's orders.
type progress struct {
	mu     sync.Mutex
	models map[string]*modelProgress
}

type modelProgress struct {
	version   string
	offered   float64
	plannedAt time.Time
	placed    planner.Placement
	outcomes  map[string]commander.Outcome
}

func newProgress() *progress { return &progress{models: map[string]*modelProgress{}} }

// recordPlan stores a plan and drops the outcomes of targets that have no change left in it.
func (p *progress) recordPlan(model, version string, offered float64, at time.Time, placed planner.Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcomes := map[string]commander.Outcome{}
	if previous := p.models[model]; previous != nil {
		for _, c := range placed.Changes {
			if o, ok := previous.outcomes[c.Target]; ok {
				outcomes[c.Target] = o
			}
		}
	}
	p.models[model] = &modelProgress{version: version, offered: offered, plannedAt: at, placed: placed, outcomes: outcomes}
}

// recordOutcome stores the outcome of an order.
func (p *progress) recordOutcome(model string, o commander.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.models[model]; m != nil {
		m.outcomes[o.Change.Target] = o
	}
}

// forget removes a model that this daemon no longer plans.
func (p *progress) forget(model string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.models, model)
}

// report returns the last plan of a model, without an age where there is none.
func (p *progress) report(model string, now time.Time) *peerv1.PlacementReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[model]
	if m == nil {
		return &peerv1.PlacementReport{}
	}
	r := &peerv1.PlacementReport{
		Version: m.version, Age: durationpb.New(now.Sub(m.plannedAt)), Offered: m.offered,
		Bound: m.placed.Bound, Upper: m.placed.UpperBound, Blocked: m.placed.BlockedReason,
	}
	for _, c := range m.placed.Changes {
		r.Changes = append(r.Changes, &peerv1.PlacementChange{
			Target: c.Target, Kind: string(c.Kind), Version: c.Holding.Version,
			FirstLayer: c.Holding.FirstLayer, EndLayer: c.Holding.EndLayer, Bytes: c.Bytes,
			Outcome: outcomeText(m.outcomes, c),
		})
	}
	return r
}

// outcomeText describes the outcome of the last order for a change, or returns "" if none was sent for it.
func outcomeText(outcomes map[string]commander.Outcome, c planner.Change) string {
	o, ok := outcomes[c.Target]
	switch {
	case !ok || o.Change.Kind != c.Kind || o.Change.Holding.FirstLayer != c.Holding.FirstLayer:
		return ""
	case o.Verdict != commander.VerdictSend:
		return string(o.Verdict)
	case o.Err != nil:
		return "no answer: " + o.Err.Error()
	case !o.Accepted:
		return "refused: " + o.Reason
	}
	return "accepted"
}

// handlePlacementStatus returns the last plan of a model to another daemon; it is a linker.Handler.
func (p *placement) handlePlacementStatus(_ context.Context, _ string, body []byte) (proto.Message, error) {
	var msg peerv1.PlacementQuery
	if err := proto.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	return p.progress.report(msg.Model, p.router.Clock.Now()), nil
}

// fetchReport fetches the last plan from the planner of a model, and returns the planner's member name with it.
func (p *placement) fetchReport(ctx context.Context, model string) (string, *peerv1.PlacementReport, error) {
	owner := p.router.tracker.Owner(dutyPlacement, model)
	if owner.Name == p.router.local.Name {
		return owner.Name, p.progress.report(model, p.router.Clock.Now()), nil
	}
	report := &peerv1.PlacementReport{}
	err := p.router.peer.Link().Call(ctx, owner.PeerAddress, methodPlacementStatus, &peerv1.PlacementQuery{Model: model}, report)
	return owner.Name, report, err
}
