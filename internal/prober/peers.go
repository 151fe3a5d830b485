package prober

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// Method names of the peer handlers.
const (
	MethodConfirm = "confirm-target"
	MethodLoads   = "target-loads"
)

const (
	// shareIntervalPerMember is added to the interval between load summaries for each neighbour.
	shareIntervalPerMember = 320 * time.Millisecond
	minShareInterval       = time.Second
	// sampleTTL is how long a load report is shared with neighbours.
	sampleTTL = 10 * time.Second
	// idleRefresh is the interval at which the load of an idle target is sent again, and memoryStep the change in its used share of
	// KV memory that is sent earlier.
	idleRefresh = 30 * time.Second
	memoryStep  = 0.05
)

// sample is the latest load report of a target and the one last sent to the neighbours.
type sample struct {
	load       *enginev1.LoadResponse
	receivedAt time.Time
	sent       *enginev1.LoadResponse
	sentAt     time.Time
}

// due reports whether the sample must be sent to the neighbours: always for a busy target, since they let old loads decay,
// and for an idle one only on a change.
func (s sample) due(now time.Time) bool {
	if s.sent == nil || now.Sub(s.sentAt) >= idleRefresh || !idle(s.load) || !idle(s.sent) {
		return true
	}
	return math.Abs(memoryShare(s.load)-memoryShare(s.sent)) >= memoryStep
}

func idle(l *enginev1.LoadResponse) bool { return l.Running == 0 && l.Waiting == 0 }

func memoryShare(l *enginev1.LoadResponse) float64 {
	if l.KvTotalBytes == 0 {
		return 0
	}
	return float64(l.KvUsedBytes) / float64(l.KvTotalBytes)
}

// Handlers returns the peer handlers by method.
func (p *Prober) Handlers() map[string]linker.Handler {
	return map[string]linker.Handler{MethodConfirm: p.handleConfirm, MethodLoads: p.handleLoads}
}

// peerReaches asks the second owner whether it reaches a target that this daemon finds dead; no answer counts as false.
func (p *Prober) peerReaches(ctx context.Context, second cataloger.Member, target string) bool {
	if second.Name == "" || p.Link.Call == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var resp peerv1.ConfirmResponse
	err := p.Link.Call(ctx, second.PeerAddress, MethodConfirm, &peerv1.ConfirmRequest{Target: target}, &resp)
	return err == nil && resp.Up
}

func (p *Prober) handleConfirm(ctx context.Context, _ string, body []byte) (proto.Message, error) {
	p.init()
	var req peerv1.ConfirmRequest
	if err := proto.Unmarshal(body, &req); err != nil {
		return nil, errors.Wrap(err, "decode confirm request")
	}
	for _, t := range p.Fleet().Targets {
		if t.Name == req.Target {
			r := p.probe(ctx, t, confirmTimeout/2)
			return &peerv1.ConfirmResponse{Up: r.outcome == Answered}, nil
		}
	}
	return &peerv1.ConfirmResponse{}, nil
}

func (p *Prober) recordLoad(name string, load *enginev1.LoadResponse) {
	p.mu.Lock()
	s := p.loads[name]
	s.load, s.receivedAt = load, p.Clock.Now()
	p.loads[name] = s
	p.mu.Unlock()
	if p.ObserveLoad != nil {
		p.ObserveLoad(name, load)
	}
}

// shareInterval returns the interval between load summaries; it grows with the number of neighbours, so that the traffic of a
// daemon stays constant.
func (p *Prober) shareInterval() time.Duration {
	return max(minShareInterval, time.Duration(len(p.assignedFor.neighbours))*shareIntervalPerMember)
}

// fullShareLimit is the number of live daemons up to which each one sends its loads to all others; in larger fleets it sends
// them only within its data centre.
const fullShareLimit = 16

// shareLoads sends the loads that are due to the neighbours.
func (p *Prober) shareLoads(now time.Time) {
	if p.Link.Notify == nil {
		return
	}
	summary := p.nextSummary(now)
	if len(summary.Loads) == 0 {
		return
	}
	for _, m := range p.assignedFor.neighbours {
		if err := p.Link.Notify(m.PeerAddress, MethodLoads, summary); err != nil {
			p.Log.Debug().Err(err).Str("peer", m.Name).Msg("load summary dropped")
		}
	}
}

// nextSummary returns the loads that are due and marks them as sent.
func (p *Prober) nextSummary(now time.Time) *peerv1.LoadSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out peerv1.LoadSummary
	for name, s := range p.loads {
		sinceReceived := now.Sub(s.receivedAt)
		if _, mine := p.watches[name]; !mine || sinceReceived > sampleTTL {
			delete(p.loads, name)
			continue
		}
		if !s.due(now) {
			continue
		}
		s.sent, s.sentAt = s.load, now
		p.loads[name] = s
		out.Loads = append(out.Loads, &peerv1.TargetLoad{
			Target:       name,
			AgeMs:        uint32((s.load.GetAge().AsDuration() + sinceReceived) / time.Millisecond),
			Running:      s.load.Running,
			Waiting:      s.load.Waiting,
			KvUsedBytes:  s.load.KvUsedBytes,
			KvTotalBytes: s.load.KvTotalBytes,
			TokenRate:    float32(s.load.TokenRate),
		})
	}
	return &out
}

func (p *Prober) handleLoads(_ context.Context, _ string, body []byte) (proto.Message, error) {
	var s peerv1.LoadSummary
	if err := proto.Unmarshal(body, &s); err != nil {
		return nil, errors.Wrap(err, "decode load summary")
	}
	if p.ObserveLoad == nil {
		return nil, nil
	}
	leaving := p.leavingTargets()
	for _, l := range s.Loads {
		p.ObserveLoad(l.Target, &enginev1.LoadResponse{
			Leaving:      leaving[l.Target],
			Age:          durationpb.New(time.Duration(l.AgeMs) * time.Millisecond),
			Running:      l.Running,
			Waiting:      l.Waiting,
			KvUsedBytes:  l.KvUsedBytes,
			KvTotalBytes: l.KvTotalBytes,
			TokenRate:    float64(l.TokenRate),
		})
	}
	return nil, nil
}

// leavingTargets returns the targets that are leaving according to the fleet; load summaries do not carry that flag.
func (p *Prober) leavingTargets() map[string]bool {
	leaving := map[string]bool{}
	for _, t := range p.Fleet().Targets {
		if t.State == cataloger.StateLeaving {
			leaving[t.Name] = true
		}
	}
	return leaving
}

// checkTCP checks that a TCP connection can be opened.
func checkTCP(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
