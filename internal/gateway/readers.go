package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// revisionsMethod is the name of the handler that takes what other readers of the store have.
	revisionsMethod = "revisions"
	// resendTime is how long a change is sent for, once in lagInterval, as datagrams may be lost.
	resendTime = 300 * time.Millisecond
)

// sentRevisions are what this gateway last sent the other readers of the store.
type sentRevisions struct {
	config uint64
	// missedConfig and missedTargets are the last changes that no watch had brought.
	missedConfig, missedTargets storer.Point
	at                          time.Time
	// unwatched is that there were such among what is sent since at.
	unwatched bool
}

// storeReaders returns the other gateways that read the store itself: the first level, and the holder of the duty.
func (g *Gateway) storeReaders() []cataloger.Member {
	levels, _ := watchLevels(candidates(g.all()), g.Settings.Name)
	var out []cataloger.Member
	for i, level := range levels {
		for _, m := range level {
			if m.Name != g.Settings.Name && (i == 0 || has(traitHoldsDuty)(m)) {
				out = append(out, m)
			}
		}
	}
	return out
}

// notifyReaders tells the other readers of the store of a new configuration, and of any change that no watch has brought: their
// watches may have missed it too, and all others follow them. Updates alone would take seconds to reach them in a large fleet.
func (g *Gateway) notifyReaders(sent *sentRevisions) {
	now := g.Clock.Now()
	update := sentRevisions{config: g.configVersion(), missedConfig: g.configs.LastMissedChange(), missedTargets: g.listed.LastMissedChange(), at: now}
	update.unwatched = update.missedConfig != sent.missedConfig || update.missedTargets != sent.missedTargets
	if update.config > sent.config || update.unwatched {
		*sent = update
	}
	if now.Sub(sent.at) > resendTime || !g.configsUp.readsStore() {
		return
	}
	message := &peerv1.GatewayRevisions{
		Epoch: g.epoch, ConfigVersion: sent.config, TargetsRevision: uint64(g.listed.LastChange()), Unwatched: sent.unwatched,
	}
	for _, m := range g.storeReaders() {
		if err := g.poster.Notify(m.PeerAddress, revisionsMethod, message); err != nil {
			g.Log.Debug().Err(err).Str("peer", m.Name).Msg("revisions not sent")
		}
	}
}

// handleRevisions takes what another reader of the store has; it is a linker.Handler. What no watch has brought is read at once.
func (g *Gateway) handleRevisions(_ context.Context, peer string, body []byte) (proto.Message, error) {
	m := &peerv1.GatewayRevisions{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode revisions")
	}
	if g.superseded(peer, m.GetEpoch()) {
		return nil, nil
	}
	g.noteRevisions(peer, revisions{config: m.GetConfigVersion(), targets: storer.Point(m.GetTargetsRevision())})
	if !m.GetUnwatched() {
		return nil, nil
	}
	if m.GetConfigVersion() > g.configVersion() && g.configsUp.readsStore() {
		g.configs.RequestList()
	}
	if revision, _ := g.listed.Revision(); storer.Point(m.GetTargetsRevision()) > revision && g.listedUp.readsStore() {
		g.listed.RequestList()
	}
	return nil, nil
}

// superseded tells whether a later process has the name of the one that started at epoch.
func (g *Gateway) superseded(peer string, epoch uint64) bool {
	others := g.others()
	i := named(others, peer)
	return i >= 0 && others[i].Epoch > epoch
}

// noteRevisions takes in what a peer has.
func (g *Gateway) noteRevisions(peer string, r revisions) {
	if g.heard.note(peer, r, g.Clock.Now()) && r.config > g.configVersion() {
		g.Log.Info().Uint64("version", r.config).Str("peer", peer).Msg("heard of a newer configuration")
	}
}
