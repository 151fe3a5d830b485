package gateway

import (
	"cmp"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

// HandleNewEra handles the store's return from an older copy, which lost what this daemon wrote since then. The lease
// ends until it is acquired again, the peer address is written again, and everything read from the store is read again.
func (g *Gateway) HandleNewEra(era uint64) {
	for {
		current := g.era.Load()
		if era <= current {
			return
		}
		if g.era.CompareAndSwap(current, era) {
			break
		}
	}
	g.eraCount.Add(1)
	g.Log.Warn().Uint64("era", era).Msg("store is in a new era")
	g.duty.leaser.AdvanceEra(era)
	// The other daemons follow those that read the store.
	if g.configUpstream.readsStore() {
		g.configFollower.RequestList()
	}
	if g.targetUpstream.readsStore() {
		g.targetFollower.RequestList()
	}
}

// compareConfigs compares two configuration documents by the version inside them, which the operator raises with each
// change. A document that cannot be decoded is the earlier one.
func (g *Gateway) compareConfigs(a, b storer.Object) int {
	return cmp.Compare(g.decodeVersion(a), g.decodeVersion(b))
}

// decodeVersion returns the version inside a document, or 0 if it cannot be decoded.
func (g *Gateway) decodeVersion(o storer.Object) uint64 {
	d, err := g.Adapter.DecodeConfig(o.Value)
	if err != nil {
		g.Log.Warn().Str("key", o.Key).Err(err).Msg("failed to decode configuration")
		return 0
	}
	return d.Version
}

// compareTargets compares two entries of a target by incarnation. Within one incarnation, a leaving entry is the later
// one, as a target does not revoke its departure. An entry that cannot be decoded is the earlier one.
func (g *Gateway) compareTargets(a, b storer.Object) int {
	x, xErr := g.Adapter.DecodeTarget(a.Key, a.Value)
	y, yErr := g.Adapter.DecodeTarget(b.Key, b.Value)
	switch {
	case xErr != nil || yErr != nil:
		return cmp.Compare(boolToInt(xErr == nil), boolToInt(yErr == nil))
	case x.Incarnation != y.Incarnation:
		return cmp.Compare(x.Incarnation, y.Incarnation)
	}
	return cmp.Compare(boolToInt(x.State == cataloger.StateLeaving), boolToInt(y.State == cataloger.StateLeaving))
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
