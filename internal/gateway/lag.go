package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// maxCopyPeers bounds the peers that are asked for a copy while the store is down.
	maxCopyPeers = 4
	// lagInterval is the time between two checks for peers that are ahead.
	lagInterval = 100 * time.Millisecond
	// lagTolerance is how long a change that a peer already has may take to arrive through a watch of the store, which
	// batches changes for as long.
	lagTolerance = 400 * time.Millisecond
	// maxPeerLagTolerance is the tolerance for changes that arrive through peers. A reader of the store that has missed a
	// change needs lagTolerance to notice and a list call to catch up; leaving it sooner would only lead to another peer
	// that lags.
	maxPeerLagTolerance = 2 * lagTolerance
	// repairTime is how long a change that no watch delivers takes apart from the tolerance: until the next write of the
	// lease holder, the auditor's grace, the announcements to the readers of the store and from them, and three lists.
	repairTime = 1600 * time.Millisecond
)

// peerLagTolerance returns the tolerance for changes that arrive through peers, within which a change is still in force in time.
func (s Settings) peerLagTolerance() time.Duration {
	if s.ConfigApply == 0 {
		return maxPeerLagTolerance
	}
	return min(max(s.ConfigApply-repairTime, lagTolerance), maxPeerLagTolerance)
}

// revisions holds the versions that a daemon has in force.
type revisions struct {
	// config is the version inside the document.
	config uint64
	// targets is the last change to the list of targets.
	targets storer.Point
}

// peerRevisions tracks the versions that peers have announced; its zero value is ready to use.
type peerRevisions struct {
	mu    sync.Mutex
	peers map[string]revisions
	// config is the newest configuration that any peer has announced, first at configAt.
	config   uint64
	configAt time.Time
}

// record records the versions of a peer and reports whether its configuration is newer than any announced before.
func (h *peerRevisions) record(peer string, r revisions, now time.Time) (newer bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers == nil {
		h.peers = map[string]revisions{}
	}
	last := h.peers[peer]
	h.peers[peer] = revisions{config: max(last.config, r.config), targets: max(last.targets, r.targets)}
	if r.config <= h.config {
		return false
	}
	h.config, h.configAt = r.config, now
	return true
}

// newestConfig returns the newest configuration that any peer has announced, and when it was first announced.
func (h *peerRevisions) newestConfig() (uint64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config, h.configAt
}

func (h *peerRevisions) forget(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, peer)
}

// newest returns the newest versions that any peer has.
func (h *peerRevisions) newest() revisions {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out revisions
	for r := range maps.Values(h.peers) {
		out = revisions{config: max(out.config, r.config), targets: max(out.targets, r.targets)}
	}
	return out
}

// of returns the last known versions of a peer.
func (h *peerRevisions) of(peer string) revisions {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[peer]
}

// watchLag announces this gateway's revisions to the other readers of the store, and makes a follower list again once a
// peer has been ahead for a while.
func (g *Gateway) watchLag(ctx context.Context) error {
	var missingConfigs, missingTargets missingRevisions
	var sent sentRevisions
	for g.Clock.Sleep(ctx, lagInterval) == nil {
		g.pauses.Tick(g.Clock.Now())
		g.announceRevisions(&sent)
		g.refreshCopies()
		newest := g.peerRevisions.newest()
		revision, _ := g.targetFollower.Revision()
		missingConfigs = g.checkLag(missingConfigs.update(newest.config, g.configVersion(), g.Clock.Now()), g.configFollower, g.configUpstream)
		missingTargets = g.checkLag(missingTargets.update(uint64(newest.targets), uint64(revision), g.Clock.Now()), g.targetFollower, g.targetUpstream)
	}
	return nil
}

// missingRevisions holds revisions that peers have announced and this daemon lacks, in order, with the time of each announcement.
type missingRevisions []missingRevision

type missingRevision struct {
	revision uint64
	since    time.Time
}

// update returns the missing revisions, given the newest one of any peer and this daemon's own. One that is reached is no longer missing,
// even if peers are ahead again: while changes follow each other closely, they always are.
func (m missingRevisions) update(newest, own uint64, now time.Time) missingRevisions {
	m = slices.DeleteFunc(m, func(r missingRevision) bool { return r.revision <= own || r.revision > newest })
	if newest > own && (len(m) == 0 || m[len(m)-1].revision < newest) {
		m = append(m, missingRevision{newest, now})
	}
	return m
}

// checkLag makes a follower list again from another source if a revision has been missing for too long. It returns the revisions that are
// still missing.
func (g *Gateway) checkLag(missing missingRevisions, f *follower.Follower, u *upstream) missingRevisions {
	tolerance := lagTolerance
	if !u.readsStore() {
		tolerance = g.Settings.peerLagTolerance()
	}
	if len(missing) == 0 || g.Clock.Now().Sub(missing[0].since) < tolerance {
		return missing
	}
	u.avoidPeer()
	f.RequestList()
	return nil
}

// fetchNewerCopy fetches a copy that is newer than a revision from a peer.
func (g *Gateway) fetchNewerCopy(ctx context.Context, prefix string, revision storer.Point) (follower.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	version, current := func(r revisions) uint64 { return uint64(r.targets) }, uint64(revision)
	if prefix == g.Settings.ConfigPrefix {
		version, current = func(r revisions) uint64 { return r.config }, g.configVersion()
	}
	ctx, end := g.upstreamOf(prefix).interruptible(ctx)
	defer end()
	for _, m := range g.peersWithLaterVersion(version, current) {
		c, err := g.fetchCopy(ctx, m.PeerAddress, prefix)
		if err == nil && (c.Revision > revision || prefix == g.Settings.ConfigPrefix) {
			g.upstreamOf(prefix).setSource(&m)
			return c, true
		}
		g.Log.Debug().Err(err).Str("peer", m.Name).Str("prefix", prefix).Msg("peer has no newer copy")
	}
	return follower.Snapshot{}, false
}

// peersWithLaterVersion returns up to maxCopyPeers peers that have announced a later version than the current one, the newest
// first. An older copy may hold what was withdrawn since, such as a key, which must not come into force again after a
// restart.
func (g *Gateway) peersWithLaterVersion(version func(revisions) uint64, current uint64) []cataloger.Member {
	var out []cataloger.Member
	for _, m := range g.others() {
		if version(g.peerRevisions.of(m.Name)) > current {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b cataloger.Member) int {
		return cmp.Compare(version(g.peerRevisions.of(b.Name)), version(g.peerRevisions.of(a.Name)))
	})
	return out[:min(len(out), maxCopyPeers)]
}
