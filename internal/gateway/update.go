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
	"github.com/rattantray/rattantray/internal/pacer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// maxLoads bounds the target loads in one update, the largest first: about half a kilobyte.
	maxLoads = 48
	// maxEntries bounds the targets of each kind in one update, the latest first: under a kilobyte together.
	maxEntries = 24
	// maxUpdateLimits bounds the limits of targets in one update: some 300 bytes. Requests for permits carry them too.
	maxUpdateLimits = 12
	// successorCount is how many daemons receive the orders that are not listed yet, as they may have to give the next
	// ones.
	successorCount = 3
)

// buildUpdate returns what this daemon reports to its peers; all adds what only small fleets and possible successors
// receive.
func (g *Gateway) buildUpdate(all bool) *peerv1.GatewayUpdate {
	now := g.Clock.Now()
	n := &peerv1.GatewayUpdate{
		Epoch: g.epoch, ConfigVersion: g.configVersion(), TargetsRevision: uint64(g.targetFollower.LastChange()), Loads: map[uint32]float32{},
		ConfirmedAgeMs: messageAge(now, g.confirmedAt()), AnsweredAgeMs: messageAge(now, g.availability.Last()),
	}
	for _, d := range latest(g.targets.Suspicions(), func(d assessor.Suspicion) time.Time { return d.Since }) {
		n.Doubts = append(n.Doubts, &peerv1.TargetDoubt{Target: d.Target, Incarnation: d.Incarnation, AgeMs: ageMS(now, d.Since)})
	}
	for _, d := range latest(g.targets.Departures(), func(d assessor.Departure) time.Time { return d.Since }) {
		n.Departures = append(n.Departures, &peerv1.TargetDoubt{Target: d.Target, Incarnation: d.Incarnation, AgeMs: ageMS(now, d.Since)})
	}
	for _, p := range latest(g.targets.Paces(), func(p assessor.Pace) time.Time { return p.At }) {
		n.Paces = append(n.Paces, &peerv1.TargetPace{Target: p.Target, Pace: float32(p.Pace), AgeMs: ageMS(now, p.At)})
	}
	for _, l := range g.relayer.Throttler.News(maxUpdateLimits) {
		n.Limits = append(n.Limits, encodeLimit(now, l))
	}
	g.addEvidence(n, now)
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
			AgeMs: ageMS(now, p.At), LeftMs: uint32(max(p.Until.Sub(now), 0).Milliseconds()),
		})
	}
	return n
}

// ageMS returns how many milliseconds ago at was.
func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// latest returns the latest maxEntries entries.
func latest[T any](entries []T, at func(T) time.Time) []T {
	if len(entries) > maxEntries {
		slices.SortFunc(entries, func(a, b T) int { return at(b).Compare(at(a)) })
		entries = entries[:maxEntries]
	}
	return entries
}

// successors returns the daemons that would take over the duty, if this one holds it and has orders that are not listed
// yet.
func (g *Gateway) successors() []cataloger.Member {
	if !g.holdsDuty() || len(g.orderer.Pending()) == 0 {
		return nil
	}
	return tracker.RankMembers(candidates(g.others()), dutyName, successorCount)
}

// largest returns the n largest loads, as a heartbeat is a single datagram.
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

// handleUpdate applies the update of another daemon, unless a later process has taken its name. It reports whether the
// update marks a target lost or leaving that was not so before, or holds new evidence of a crash.
func (g *Gateway) handleUpdate(peer string, n *peerv1.GatewayUpdate) (urgent bool) {
	now := g.Clock.Now()
	since := func(ageMS uint32) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) }
	if g.superseded(peer, n.GetEpoch()) {
		return false
	}
	r := decodeRevisions(n.GetConfigVersion(), n.GetTargetsRevision())
	g.recordRevisions(peer, r)
	if at, ok := g.messageTime(n.GetConfirmedAgeMs()); ok {
		g.recordConfirmation(r, at)
	}
	if at, ok := g.messageTime(n.GetAnsweredAgeMs()); ok {
		g.recordStoreAnswer(at)
	}
	if len(n.GetLoads()) > 0 || g.gossiper.Mesh() {
		loads := map[uint32]float64{}
		for key, tokens := range n.GetLoads() {
			loads[key] = float64(tokens)
		}
		g.targets.SetPeerLoads(peer, loads)
	}
	if g.isCutOff(peer) {
		// It can't tell lost targets from its own lost links.
		n.Doubts, n.Evidence, n.Crashes = nil, nil, nil
	}
	for _, d := range n.GetDoubts() {
		if g.targets.Suspect(d.GetTarget(), d.GetIncarnation(), since(d.GetAgeMs())) {
			v, _ := g.targets.Get(d.GetTarget())
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", peer).Dur("answered-here", v.SinceAnswer).Msg("target believed lost by a peer")
			g.relayer.Pacer.Begin(v.Target, pacer.ReasonSuspected)
			urgent = true
		}
	}
	for _, d := range n.GetDepartures() {
		if g.targets.RecordDeparture(d.GetTarget(), d.GetIncarnation(), since(d.GetAgeMs())) {
			g.Log.Info().Str("target", d.GetTarget()).Str("peer", peer).Msg("peer reports that the target is leaving")
			urgent = true
		}
	}
	for _, p := range n.GetPaces() {
		g.targets.SetPace(p.GetTarget(), float64(p.GetPace()), since(p.GetAgeMs()))
	}
	urgent = g.mergeLimits(now, peer, n.GetLimits()) || urgent
	urgent = g.mergeEvidence(n, now) || urgent
	for _, p := range n.GetOrders() {
		g.orderer.MergePending(orderer.Pending{
			Target: p.GetTarget(), Incarnation: p.GetIncarnation(), First: p.GetFirstLayer(), End: p.GetEndLayer(),
			At: since(p.GetAgeMs()), Until: now.Add(time.Duration(p.GetLeftMs()) * time.Millisecond),
		})
	}
	return urgent
}

// removePeer removes the load and the revisions of a daemon that is gone.
func (g *Gateway) removePeer(name string) {
	g.targets.SetPeerLoads(name, nil)
	g.tallier.Forget(name)
	g.peerRevisions.forget(name)
	g.Log.Info().Str("peer", name).Msg("peer gone")
}
