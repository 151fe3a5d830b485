package gateway

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/chooser"
	"github.com/rattantray/rattantray/internal/tallier"
)

const (
	// tallyMethod is the name of the peer handler for sums of loads.
	tallyMethod = "tally"
	// loadUnit is the unit of the loads in a tally, in tokens times layers.
	loadUnit = 1000
	// demandUnit is the unit of the demand of workspaces in a tally, in tokens a second.
	demandUnit = 50
)

var tallyScopes = map[tallier.Scope]peerv1.TallyScope{
	tallier.ScopeGateway:    peerv1.TallyScope_TALLY_SCOPE_GATEWAY,
	tallier.ScopeDataCentre: peerv1.TallyScope_TALLY_SCOPE_DATA_CENTRE,
	tallier.ScopeFleet:      peerv1.TallyScope_TALLY_SCOPE_FLEET,
}

// prepareTallier connects the sums of loads over the fleet.
func (g *Gateway) prepareTallier() {
	t := tallier.New(g.Clock)
	t.Self, t.Epoch, t.DataCentre, t.Log = g.Settings.Name, g.epoch, cataloger.DataCentre(g.Settings.DataCentre), g.Log
	t.Members = func() []cataloger.Member { return candidates(g.allMembers()) }
	t.Enabled, t.Own, t.Apply, t.Send = g.sharesLoads, g.ownLoads, g.applyFleetLoads, g.sendTally
	g.tallier = t
	g.poster.Handle(tallyMethod, g.handleTally)
	g.relayer.Chooser.HasTally = t.Fresh
	g.preparePacer()
}

// sharesLoads reports whether any service calls for the sums of loads; a mesh of daemons knows all loads anyway.
func (g *Gateway) sharesLoads() bool {
	m := g.config.Load()
	if m == nil || g.gossiper.Mesh() {
		return false
	}
	for _, s := range m.Services() {
		if m.SharesLoads(s.Name) {
			return true
		}
	}
	return false
}

// ownLoads returns what this daemon has in progress at the targets of services whose loads are shared, what it sends between data
// centres, and what workspaces ask of it.
func (g *Gateway) ownLoads() tallier.Counts {
	out := tallier.Counts{}
	m := g.config.Load()
	if m == nil {
		return out
	}
	for _, s := range m.Services() {
		if !m.SharesLoads(s.Name) {
			continue
		}
		for name, load := range g.targets.ServiceLoads(s.Name) {
			if n := uint32(load/loadUnit + 0.5); n > 0 {
				out[assessor.LoadKey(name)] += n
			}
		}
	}
	for key, rate := range g.relayer.Chooser.CrossingRates() {
		if n := uint32(rate/loadUnit + 0.5); n > 0 {
			out[key] += n
		}
	}
	for key, rate := range g.relayer.Shares.Rates(g.Clock.Now()) {
		if n := uint32(rate/demandUnit + 0.5); n > 0 {
			out[key] += n
		}
	}
	for key, n := range g.relayer.Pacer.Own() {
		out[key] += n
	}
	return out
}

// applyFleetLoads takes over the sums over all other daemons.
func (g *Gateway) applyFleetLoads(others tallier.Counts) {
	loads, demand := make(map[uint32]float64, len(others)), make(map[uint32]float64, len(others))
	for key, n := range others {
		loads[key], demand[key] = float64(n)*loadUnit, float64(n)*demandUnit
	}
	g.relayer.Shares.SetOthers(demand, g.Clock.Now())
	g.targets.SetFleetLoads(loads)
	g.relayer.Chooser.SetOtherCrossingRates(loads)
	g.relayer.Pacer.Apply(others)
}

func (g *Gateway) sendTally(to cataloger.Member, r tallier.Report) {
	m := &peerv1.LoadTally{Epoch: r.Epoch, Number: r.Number, Scope: tallyScopes[r.Scope], Gateways: uint32(r.Gateways)}
	for key, n := range r.Counts {
		m.Keys, m.Counts = append(m.Keys, key), append(m.Counts, n)
	}
	if err := g.poster.Notify(to.PeerAddress, tallyMethod, m); err != nil {
		g.Log.Debug().Err(err).Str("peer", to.Name).Msg("tally not sent")
	}
}

// handleTally takes over a tally of another daemon; it is a linker.Handler.
func (g *Gateway) handleTally(_ context.Context, peer string, body []byte) (proto.Message, error) {
	m := &peerv1.LoadTally{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode tally")
	}
	if len(m.GetKeys()) != len(m.GetCounts()) {
		return nil, errors.Newf("tally with %d keys and %d counts", len(m.GetKeys()), len(m.GetCounts()))
	}
	others := g.others()
	i := memberIndex(others, peer)
	if i < 0 {
		return nil, nil
	}
	r := tallier.Report{Epoch: m.GetEpoch(), Number: m.GetNumber(), Counts: make(tallier.Counts, len(m.GetKeys())), Gateways: int(m.GetGateways())}
	for scope, encoded := range tallyScopes {
		if encoded == m.GetScope() {
			r.Scope = scope
		}
	}
	for k, key := range m.GetKeys() {
		r.Counts[key] += m.GetCounts()[k]
	}
	g.tallier.Handle(others[i], r)
	return nil, nil
}

// roomUsed returns the used share of the room for streams of the service that has least of it, among those whose loads are shared.
func (g *Gateway) roomUsed() float64 {
	m, used := g.config.Load(), 0.0
	if m == nil {
		return 0
	}
	for _, s := range m.Services() {
		if m.SharesLoads(s.Name) {
			used = max(used, g.relayer.Chooser.Fill(chooser.Demand{Service: s.Name, Engine: s.Engine, SharesLoads: true}))
		}
	}
	return used
}
