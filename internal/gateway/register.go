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
	// registrars is how many daemons keep their addresses in the store, for those that find nobody at their seeds.
	registrars = 4
	// registerInterval is the time between two looks whether this daemon is among them.
	registerInterval = time.Second
	// searchPause is the time between two looks at the addresses in the store by a daemon that has found nobody, and
	// maxSearchPause that after some in vain; it may be the only one.
	searchPause    = time.Second
	maxSearchPause = 30 * time.Second
)

// register keeps this daemon's address in the store while it is among those that newcomers are to find, or has found nobody
// itself. It looks for others there while it knows none: of two daemons that start together at least one finds the other, as
// each writes before it reads.
func (g *Gateway) register(ctx context.Context) error {
	written, pause := false, searchPause
	var era uint64
	var search time.Time
	for g.Clock.Sleep(ctx, registerInterval) == nil {
		if now := g.era.Load(); now != era {
			written, era = false, now
		}
		alone := len(g.others()) == 0
		if !written && (alone || g.settled() && g.registrar()) {
			err := g.leaveAddress(ctx)
			written = err == nil
			if err != nil {
				g.Log.Warn().Err(err).Msg("peer address not left in the store yet")
			}
		}
		if !alone {
			pause = searchPause
			continue
		}
		if now := g.Clock.Now(); !now.Before(search) {
			g.findPeers(ctx)
			search, pause = now.Add(pause), min(2*pause, maxSearchPause)
		}
	}
	return nil
}

// registrar tells whether this daemon is among those that keep their addresses in the store.
func (g *Gateway) registrar() bool {
	var staying []cataloger.Member
	for _, m := range g.all() {
		if m.State == cataloger.StateLive {
			staying = append(staying, m)
		}
	}
	return named(tracker.RankMembers(staying, "registrar", registrars), g.Settings.Name) >= 0
}

// findPeers tries the addresses that others have left in the store.
func (g *Gateway) findPeers(ctx context.Context) {
	objects, _, err := g.Adapter.Store.List(ctx, peersPrefix)
	if err != nil {
		g.Log.Warn().Err(err).Msg("addresses of peers not read")
		return
	}
	for _, o := range objects {
		if address := string(o.Value); address != g.Settings.PeerListen {
			g.tracker.AddSeeds(ctx, address)
		}
	}
}

// leaveAddress writes the peer address, unless an earlier start of this daemon did.
func (g *Gateway) leaveAddress(ctx context.Context) error {
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
