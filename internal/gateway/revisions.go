package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// revisionsMethod is the name of the handler for revisions announced by other readers of the store.
	revisionsMethod = "revisions"
	// resendTime is how long a change is announced, once every lagInterval, as datagrams may be lost.
	resendTime = 300 * time.Millisecond
)

// sentRevisions records what this gateway last announced to the other readers of the store.
type sentRevisions struct {
	config uint64
	// missedConfig and missedTargets are the last changes that no watch delivered.
	missedConfig, missedTargets storer.Point
	at                          time.Time
	// unwatched is true if what is announced since at includes such changes.
	unwatched bool
}

// storeReaders returns the other gateways that read the store directly: the first level, and the holder of the duty.
func (g *Gateway) storeReaders() []cataloger.Member {
	levels, _ := watchLevels(candidates(g.allMembers()), g.Settings.Name)
	var out []cataloger.Member
	for i, level := range levels {
		for _, m := range level {
			if m.Name != g.Settings.Name && (i == 0 || hasTrait(traitHoldsDuty)(m)) {
				out = append(out, m)
			}
		}
	}
	return out
}

// successorsInLevels returns the daemons of the next level that hear from this one of a new configuration. They may follow another
// daemon; the announcement tells them when the connection to it has gone silent.
func (g *Gateway) successorsInLevels() []cataloger.Member {
	levels, ownLevel := watchLevels(candidates(g.allMembers()), g.Settings.Name)
	if ownLevel+1 >= len(levels) {
		return nil
	}
	next := levels[ownLevel+1]
	first := min(memberIndex(levels[ownLevel], g.Settings.Name)*followersPerWatcher, len(next))
	return next[first:min(first+followersPerWatcher, len(next))]
}

// announceRevisions announces to the other readers of the store and to the next level a new configuration, and any
// change that no watch delivered: their watches may have missed it too, and all other daemons follow them. Updates alone
// would take seconds to reach them in a large fleet.
func (g *Gateway) announceRevisions(sent *sentRevisions) {
	now := g.Clock.Now()
	update := sentRevisions{config: g.configVersion(), missedConfig: g.configFollower.LastMissedChange(), missedTargets: g.targetFollower.LastMissedChange(), at: now}
	update.unwatched = update.missedConfig != sent.missedConfig || update.missedTargets != sent.missedTargets
	if update.config > sent.config || update.unwatched {
		*sent = update
	}
	if now.Sub(sent.at) > resendTime {
		return
	}
	recipients := g.successorsInLevels()
	if g.configUpstream.readsStore() {
		recipients = slices.Concat(recipients, g.storeReaders())
	}
	message := &peerv1.GatewayRevisions{
		Epoch: g.epoch, ConfigVersion: sent.config, TargetsRevision: uint64(g.targetFollower.LastChange()), Unwatched: sent.unwatched,
	}
	g.sendRevisions(recipients, message)
}

// handleRevisions handles the revisions of another reader of the store; it is a linker.Handler. It immediately reads
// what no watch delivered.
func (g *Gateway) handleRevisions(_ context.Context, peer string, body []byte) (proto.Message, error) {
	m := &peerv1.GatewayRevisions{}
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, errors.Wrap(err, "decode revisions")
	}
	if g.superseded(peer, m.GetEpoch()) {
		return nil, nil
	}
	r := decodeRevisions(m.GetConfigVersion(), m.GetTargetsRevision())
	if age := m.GetConfirmedAgeMs(); age > 0 {
		if at, ok := g.messageTime(m.GetAnsweredAgeMs()); ok {
			g.recordStoreAnswer(at)
		}
		if at, ok := g.messageTime(age); ok {
			g.handleConfirmation(r, at)
		}
		return nil, nil
	}
	g.recordRevisions(peer, r)
	if !m.GetUnwatched() {
		return nil, nil
	}
	if m.GetConfigVersion() > g.configVersion() && g.configUpstream.readsStore() {
		g.configFollower.RequestList()
	}
	if revision, _ := g.targetFollower.Revision(); storer.Point(m.GetTargetsRevision()) > revision && g.targetUpstream.readsStore() {
		g.targetFollower.RequestList()
	}
	return nil, nil
}

// superseded reports whether a later process has taken the name of the peer that started at epoch.
func (g *Gateway) superseded(peer string, epoch uint64) bool {
	others := g.others()
	i := memberIndex(others, peer)
	return i >= 0 && others[i].Epoch > epoch
}

// recordRevisions records the revisions of a peer.
func (g *Gateway) recordRevisions(peer string, r revisions) {
	if g.peerRevisions.record(peer, r, g.Clock.Now()) && r.config > g.configVersion() {
		g.Log.Info().Uint64("version", r.config).Str("peer", peer).Msg("peer has a newer configuration")
	}
}
