package gateway

import (
	"cmp"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

// EraRose takes in that the store came back from an older copy: what this daemon wrote there since is gone. The lease is over until
// it is taken anew, the address is written again, and what is read from the store is read again.
func (g *Gateway) EraRose(era uint64) {
	for {
		known := g.era.Load()
		if era <= known {
			return
		}
		if g.era.CompareAndSwap(known, era) {
			break
		}
	}
	g.eras.Add(1)
	g.Log.Warn().Uint64("era", era).Msg("store is in a new era")
	g.duty.leaser.AdvanceEra(era)
	// The others follow those that read the store.
	if g.configsUp.readsStore() {
		g.configs.RequestList()
	}
	if g.listedUp.readsStore() {
		g.listed.RequestList()
	}
}

// compareConfigs orders two documents of the configuration by the version inside them, which the operator raises with each change.
// One that is not understood is the earlier one.
func (g *Gateway) compareConfigs(a, b storer.Object) int {
	return cmp.Compare(g.versionOf(a), g.versionOf(b))
}

// versionOf returns the version inside a document, 0 where it is not understood.
func (g *Gateway) versionOf(o storer.Object) uint64 {
	d, err := g.Adapter.DecodeConfig(o.Value)
	if err != nil {
		g.Log.Warn().Str("key", o.Key).Err(err).Msg("configuration not understood")
		return 0
	}
	return d.Version
}

// compareTargets orders two entries of a target by its incarnation; one that leaves comes after the same one that did not yet, as a
// target does not take that back. One that is not understood is the earlier one.
func (g *Gateway) compareTargets(a, b storer.Object) int {
	x, xErr := g.Adapter.DecodeTarget(a.Key, a.Value)
	y, yErr := g.Adapter.DecodeTarget(b.Key, b.Value)
	switch {
	case xErr != nil || yErr != nil:
		return cmp.Compare(boolRank(xErr == nil), boolRank(yErr == nil))
	case x.Incarnation != y.Incarnation:
		return cmp.Compare(x.Incarnation, y.Incarnation)
	}
	return cmp.Compare(boolRank(x.State == cataloger.StateLeaving), boolRank(y.State == cataloger.StateLeaving))
}

func boolRank(is bool) int {
	if is {
		return 1
	}
	return 0
}
