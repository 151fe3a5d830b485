package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/storer"
)

// TestNewestPeersAreAskedFirst: a daemon that starts while the store is down must take the newest copy of any peer, as
// older ones may still hold a withdrawn key or a removed target.
func TestNewestPeersAreAskedFirst(t *testing.T) {
	g := newTestGateway("m", 0)
	var all []cataloger.Member
	for i, version := range []uint64{3, 9, 0, 7, 9, 1, 8} {
		m := staying(string(rune('a' + i)))
		all = append(all, m)
		if version > 0 {
			g.peerRevisions.record(m.Name, revisions{config: version, targets: storer.Point(100 - version)}, time.Now())
		}
	}
	g.applyMembers(all)
	names := func(version func(revisions) uint64, current uint64) string {
		out := ""
		for _, m := range g.peersWithLaterVersion(version, current) {
			out += m.Name
		}
		return out
	}
	config := func(r revisions) uint64 { return r.config }
	require.Equal(t, "begd", names(config, 0))
	require.Equal(t, "beg", names(config, 7))
	require.Empty(t, names(config, 9))
	require.Equal(t, "fad", names(func(r revisions) uint64 { return uint64(r.targets) }, 92))

	require.Equal(t, revisions{config: 9, targets: 99}, g.peerRevisions.newest())
	g.handleUpdate("b", &peerv1.GatewayUpdate{Epoch: 1, ConfigVersion: 4})
	require.Equal(t, uint64(9), g.peerRevisions.of("b").config, "the versions of a peer never decrease")
	g.removePeer("b")
	g.removePeer("e")
	require.Equal(t, uint64(8), g.peerRevisions.newest().config, "of the remaining peers")
}

// TestSteadyChangesAreNoLag: while thousands of targets start, peers are always ahead by some changes; only one that does not arrive in
// time is missing.
func TestSteadyChangesAreNoLag(t *testing.T) {
	now := time.Unix(1000, 0)
	var missing missingRevisions
	for tick := range uint64(100) {
		missing = missing.update(200+20*tick, 140+20*tick, now)
		require.LessOrEqual(t, len(missing), 3)
		require.LessOrEqual(t, now.Sub(missing[0].since), 200*time.Millisecond)
		now = now.Add(lagInterval)
	}
	since := missing[0].since
	for range 4 {
		missing = missing.update(5000, missing[0].revision-1, now)
		now = now.Add(lagInterval)
	}
	require.Equal(t, since, missing[0].since, "the oldest missing one counts")
	require.Empty(t, missing.update(10, 5, now)[1:], "those of a peer that is gone do not")
	require.Empty(t, missing.update(5000, 5000, now))
}
