package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/orderer"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// maxLoads bounds the targets whose load one update names, the largest first: about half a kilobyte.
	maxLoads = 48
	// maxEntries bounds the targets of each kind in one update, the latest first: under a kilobyte together.
	maxEntries = 24
	// successors is how many daemons know of the orders that are not listed yet: those that may have to give the next ones.
	successors = 3
)

// update returns what this daemon tells its peers; all of it in small fleets and for possible successors.
func (g *Gateway) update(all bool) *peerv1.GatewayUpdate {
	now := g.Clock.Now()
	n := &peerv1.GatewayUpdate{
		Epoch: g.epoch, ConfigVersion: g.configVersion(), TargetsRevision: uint64(g.listed.LastChange()), Loads: map[uint32]float32{},
	}
	for _, d := range latest(g.targets.Doubts(), func(d assessor.Doubt) time.Time { return d.Since }) {
		n.Doubts = append(n.Doubts, &peerv1.TargetDoubt{Target: d.Target, Incarnation: d.Incarnation, AgeMs: age(now, d.Since)})
	}
	for _, d := range latest(g.targets.Departures(), func(d assessor.Departure) time.Time { return d.Since }) {
		n.Departures = append(n.Departures, &peerv1.TargetDoubt{Target: d.Target, Incarnation: d.Incarnation, AgeMs: age(now, d.Since)})
	}
	for _, p := range latest(g.targets.Paces(), func(p assessor.Pace) time.Time { return p.At }) {
		n.Paces = append(n.Paces, &peerv1.TargetPace{Target: p.Target, Pace: float32(p.Pace), AgeMs: age(now, p.At)})
	}
	if !all {
		return n
	}
	if g.gossiper.Mesh() {
		for name, tokens := range largest(g.targets.Loads(), maxLoads) {
			n.Loads[assessor.LoadKey(name)] += float32(tokens)
		}
	}
	for _, p := range g.orderer.Pending() {
		n.Orders = append(n.Orders, &peerv1.PendingOrder{
			Target: p.Target, Incarnation: p.Incarnation, FirstLayer: p.First, EndLayer: p.End,
			AgeMs: age(now, p.At), LeftMs: uint32(max(p.Until.Sub(now), 0).Milliseconds()),
		})
	}
	return n
}

// age returns how many milliseconds ago something was.
func age(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// latest returns the maxEntries latest of some entries.
func latest[T any](entries []T, at func(T) time.Time) []T {
	if len(entries) > maxEntries {
		slices.SortFunc(entries, func(a, b T) int { return at(b).Compare(at(a)) })
		entries = entries[:maxEntries]
	}
	return entries
}

// successors returns the daemons that would take the duty over, where this one holds it and has orders that are not listed yet.
func (g *Gateway) successors() []cataloger.Member {
	if !g.holdsDuty() || len(g.orderer.Pending()) == 0 {
		return nil
	}
	return tracker.RankMembers(candidates(g.others()), dutyName, successors)
}

// largest returns the n largest loads, as a heartbeat is one datagram.
func largest(loads map[string]float64, n int) map[string]float64 {
	if len(loads) <= n {
		return loads
	}
	names := slices.SortedFunc(maps.Keys(loads), func(a, b string) int {
		return cmp.Or(cmp.Compare(loads[b], loads[a]), cmp.Compare(a, b))
	})
	out := map[string]float64{}
	for _, name := range names[:n] {
		out[name] = loads[name]
	}
	return out
}

// receive takes what another daemon tells, unless a later process has its name, and tells whether a target is lost or leaves that
// was thought well.
func (g *Gateway) receive(peer string, n *peerv1.GatewayUpdate) (urgent bool) {
	now := g.Clock.Now()
	since := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	if g.superseded(peer, n.GetEpoch()) {
		return false
	}
	g.noteRevisions(peer, revisions{config: n.GetConfigVersion(), targets: storer.Point(n.GetTargetsRevision())})
	if len(n.GetLoads()) > 0 || g.gossiper.Mesh() {
		loads := map[uint32]float64{}
		for key, tokens := range n.GetLoads() {
			loads[key] = float64(tokens)
		}
		g.targets.SetPeerLoads(peer, loads)
	}
	for _, d := range n.GetDoubts() {
		if g.targets.Lose(d.GetTarget(), d.GetIncarnation(), since(d.GetAgeMs())) {
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", peer).Msg("target believed lost by a peer")
			urgent = true
		}
	}
	for _, d := range n.GetDepartures() {
		if g.targets.Leave(d.GetTarget(), d.GetIncarnation(), since(d.GetAgeMs())) {
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", peer).Msg("a peer was told that the target leaves")
			urgent = true
		}
	}
	for _, p := range n.GetPaces() {
		g.targets.SetPace(p.GetTarget(), float64(p.GetPace()), since(p.GetAgeMs()))
	}
	for _, p := range n.GetOrders() {
		g.orderer.MergePending(orderer.Pending{
			Target: p.GetTarget(), Incarnation: p.GetIncarnation(), First: p.GetFirstLayer(), End: p.GetEndLayer(),
			At: since(p.GetAgeMs()), Until: now.Add(time.Duration(p.GetLeftMs()) * time.Millisecond),
		})
	}
	return urgent
}

// gone forgets what a silent daemon had in progress.
func (g *Gateway) gone(name string) {
	g.targets.SetPeerLoads(name, nil)
	g.heard.forget(name)
	g.Log.Info().Str("peer", name).Msg("peer gone")
}
