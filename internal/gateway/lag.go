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
	// maxAsked bounds the peers that are asked for a copy while the store is away.
	maxAsked = 4
	// lagInterval is the time between two looks whether peers know more.
	lagInterval = 100 * time.Millisecond
	// lagPause is how long a change that a peer knows may be under way on a watch of the store, which gathers changes for as long.
	lagPause = 400 * time.Millisecond
	// peerLagPause is the same on the way through peers: a reader of the store that has missed a change needs lagPause to
	// notice and a list to make up for it, and leaving it sooner would only lead to another that lags as well.
	peerLagPause = 2 * lagPause
)

// revisions are what a daemon has in force.
type revisions struct {
	// config is the version inside the document.
	config uint64
	// targets is the last change of the list of targets.
	targets storer.Point
}

// heard is what peers have said that they have in force; its zero value is ready for use.
type heard struct {
	mu    sync.Mutex
	peers map[string]revisions
	// config is the newest configuration that any peer has named, first at configAt.
	config   uint64
	configAt time.Time
}

// note takes what a peer has, and tells whether its configuration is newer than any that was heard of before.
func (h *heard) note(peer string, r revisions, now time.Time) (newer bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers == nil {
		h.peers = map[string]revisions{}
	}
	known := h.peers[peer]
	h.peers[peer] = revisions{config: max(known.config, r.config), targets: max(known.targets, r.targets)}
	if r.config <= h.config {
		return false
	}
	h.config, h.configAt = r.config, now
	return true
}

// newestConfig returns the newest configuration that any peer has named, and when it was first named.
func (h *heard) newestConfig() (uint64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config, h.configAt
}

func (h *heard) forget(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.peers, peer)
}

// newest returns the newest that any peer has.
func (h *heard) newest() revisions {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out revisions
	for r := range maps.Values(h.peers) {
		out = revisions{config: max(out.config, r.config), targets: max(out.targets, r.targets)}
	}
	return out
}

// of returns what a peer has, as it was heard last.
func (h *heard) of(peer string) revisions {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[peer]
}

// watchLag notifies the other readers of the store of what this gateway has found, and has the followers list anew where a peer has known
// more for a while.
func (g *Gateway) watchLag(ctx context.Context) error {
	var configLag, targetsLag time.Time
	var sent sentRevisions
	for g.Clock.Sleep(ctx, lagInterval) == nil {
		g.notifyReaders(&sent)
		newest := g.heard.newest()
		revision, _ := g.listed.Revision()
		configLag = g.checkLag(newest.config > g.configVersion(), configLag, g.configs, g.configsUp)
		targetsLag = g.checkLag(newest.targets > revision, targetsLag, g.listed, g.listedUp)
	}
	return nil
}

// checkLag returns since when a follower lags, zero where it does not.
func (g *Gateway) checkLag(lags bool, since time.Time, f *follower.Follower, u *upstream) time.Time {
	now := g.Clock.Now()
	patience := lagPause
	if !u.readsStore() {
		patience = peerLagPause
	}
	switch {
	case !lags:
		return time.Time{}
	case since.IsZero():
		return now
	case now.Sub(since) >= patience:
		u.distrust()
		f.RequestList()
		return now
	}
	return since
}

// askPeers fetches the copy of a peer that knows more than a revision.
func (g *Gateway) askPeers(ctx context.Context, prefix string, revision storer.Point) (follower.Snapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	has, known := func(r revisions) uint64 { return uint64(r.targets) }, uint64(revision)
	if prefix == g.Settings.ConfigPrefix {
		has, known = func(r revisions) uint64 { return r.config }, g.configVersion()
	}
	for _, m := range g.newest(has, known) {
		c, err := g.fetchCopy(ctx, m.PeerAddress, prefix)
		if err == nil && (c.Revision > revision || prefix == g.Settings.ConfigPrefix) {
			g.upstreamOf(prefix).setSource(&m)
			return c, true
		}
		g.Log.Debug().Err(err).Str("peer", m.Name).Str("prefix", prefix).Msg("peer has no newer copy")
	}
	return follower.Snapshot{}, false
}

// newest returns up to maxAsked peers that were heard to have more than what is known, the newest first: what an older one has,
// such as a key that was withdrawn since, must not be in force again after a restart.
func (g *Gateway) newest(has func(revisions) uint64, known uint64) []cataloger.Member {
	var out []cataloger.Member
	for _, m := range g.others() {
		if has(g.heard.of(m.Name)) > known {
			out = append(out, m)
		}
	}
	slices.SortStableFunc(out, func(a, b cataloger.Member) int {
		return cmp.Compare(has(g.heard.of(b.Name)), has(g.heard.of(a.Name)))
	})
	return out[:min(len(out), maxAsked)]
}
