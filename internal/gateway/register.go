package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// registrarCount is how many daemons keep their addresses in the store, for daemons that find nobody at their seeds.
	registrarCount = 4
	// registerInterval is the time between two checks whether this daemon is one of them.
	registerInterval = time.Second
	// searchInterval is the first time between two reads of the addresses in the store by a daemon that has found
	// nobody. It doubles up to maxSearchInterval, as the daemon may be the only one.
	searchInterval    = time.Second
	maxSearchInterval = 30 * time.Second
)

// register stores this daemon's address while it is one of the registrars or has found nobody itself. It searches the
// store for others while it has no peers: of two daemons that start together, at least one finds the other, as each
// writes before it reads.
func (g *Gateway) register(ctx context.Context) error {
	written, interval := false, searchInterval
	var era uint64
	var nextSearch time.Time
	for g.Clock.Sleep(ctx, registerInterval) == nil {
		if current := g.era.Load(); current != era {
			written, era = false, current
		}
		alone := len(g.others()) == 0
		if !written && (alone || g.settled() && g.isRegistrar()) {
			err := g.storeAddress(ctx)
			written = err == nil
			if err != nil {
				g.Log.Warn().Err(err).Msg("failed to store peer address")
			}
		}
		if !alone {
			interval = searchInterval
			continue
		}
		if now := g.Clock.Now(); !now.Before(nextSearch) {
			g.findPeers(ctx)
			nextSearch, interval = now.Add(interval), min(2*interval, maxSearchInterval)
		}
	}
	return nil
}

// isRegistrar reports whether this daemon is one of those that keep their addresses in the store.
func (g *Gateway) isRegistrar() bool {
	var staying []cataloger.Member
	for _, m := range g.allMembers() {
		if m.State == cataloger.StateLive {
			staying = append(staying, m)
		}
	}
	return memberIndex(tracker.RankMembers(staying, "registrar", registrarCount), g.Settings.Name) >= 0
}

// findPeers adds the addresses that others have stored as seeds.
func (g *Gateway) findPeers(ctx context.Context) {
	objects, _, err := g.Adapter.Store.List(ctx, peersPrefix)
	if err != nil {
		g.Log.Warn().Err(err).Msg("failed to read peer addresses")
		return
	}
	for _, o := range objects {
		if address := string(o.Value); address != g.Settings.PeerListen {
			g.tracker.AddSeeds(ctx, address)
		}
	}
}

// storeAddress stores the peer address, unless an earlier run of this daemon did.
func (g *Gateway) storeAddress(ctx context.Context) error {
	key, address := peersPrefix+g.Settings.Name, []byte(g.Settings.PeerListen)
	_, err := g.Adapter.Store.Put(ctx, key, address, 0)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	o, err := g.Adapter.Store.Get(ctx, key)
	if err != nil || string(o.Value) == string(address) {
		return err
	}
	_, err = g.Adapter.Store.Put(ctx, key, address, o.Version)
	return err
}
