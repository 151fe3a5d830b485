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

// Names of the peer handlers.
const (
	MethodConfirm = "confirm-target"
	MethodLoads   = "target-loads"
)

const (
	// sharePerMember is how much longer the interval between summaries gets with each daemon in the data centre.
	sharePerMember = 320 * time.Millisecond
	minShare       = time.Second
	// sampleLife is how long a report is passed on.
	sampleLife = 10 * time.Second
	// idleRefresh is the interval at which a target that stays idle is told again, and memoryStep the change of its memory's share that is told before.
	idleRefresh = 30 * time.Second
	memoryStep  = 0.05
)

// sample is a load report and when it came, and the one that the neighbours were told last.
type sample struct {
	load   *enginev1.LoadResponse
	at     time.Time
	told   *enginev1.LoadResponse
	toldAt time.Time
}

// stale tells whether the neighbours have to be told: always of work, since their belief in it fades, and else of a change.
func (s sample) stale(now time.Time) bool {
	if s.told == nil || now.Sub(s.toldAt) >= idleRefresh || !idle(s.load) || !idle(s.told) {
		return true
	}
	return math.Abs(memoryShare(s.load)-memoryShare(s.told)) >= memoryStep
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

// otherReaches asks the second daemon whether it reaches a target that this one finds dead; no answer is no evidence.
func (p *Prober) otherReaches(ctx context.Context, second cataloger.Member, target string) bool {
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

func (p *Prober) observe(name string, load *enginev1.LoadResponse) {
	p.mu.Lock()
	s := p.loads[name]
	s.load, s.at = load, p.Clock.Now()
	p.loads[name] = s
	p.mu.Unlock()
	if p.ObserveLoad != nil {
		p.ObserveLoad(name, load)
	}
}

// shareInterval grows with the data centre, so that what a daemon sends and gets stays flat.
func (p *Prober) shareInterval() time.Duration {
	return max(minShare, time.Duration(len(p.assignedFor.neighbours))*sharePerMember)
}

// wholeFleet is up to how many live daemons each one tells its loads to all; beyond, only to those of its data centre.
const wholeFleet = 16

// share sends the newest loads to the neighbours, but for targets that stay idle.
func (p *Prober) share(now time.Time) {
	if p.Link.Notify == nil {
		return
	}
	summary := p.summary(now)
	if len(summary.Loads) == 0 {
		return
	}
	for _, m := range p.assignedFor.neighbours {
		if err := p.Link.Notify(m.PeerAddress, MethodLoads, summary); err != nil {
			p.Log.Debug().Err(err).Str("peer", m.Name).Msg("load summary dropped")
		}
	}
}

// summary returns what the neighbours have to be told, and counts it as told.
func (p *Prober) summary(now time.Time) *peerv1.LoadSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out peerv1.LoadSummary
	for name, s := range p.loads {
		waited := now.Sub(s.at)
		if _, mine := p.watches[name]; !mine || waited > sampleLife {
			delete(p.loads, name)
			continue
		}
		if !s.stale(now) {
			continue
		}
		s.told, s.toldAt = s.load, now
		p.loads[name] = s
		out.Loads = append(out.Loads, &peerv1.TargetLoad{
			Target:       name,
			AgeMs:        uint32((s.load.GetAge().AsDuration() + waited) / time.Millisecond),
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

// leavingTargets returns the targets that leave; summaries do not say it, as the fleet's view does.
func (p *Prober) leavingTargets() map[string]bool {
	leaving := map[string]bool{}
	for _, t := range p.Fleet().Targets {
		if t.State == cataloger.StateLeaving {
			leaving[t.Name] = true
		}
	}
	return leaving
}

// dialCheck tells whether a TCP connection can be made.
func dialCheck(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
