package gossiper

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

// Method is the name of the peer handler for updates.
const Method = "update"

const (
	// Interval is the time between two rounds.
	Interval = 250 * time.Millisecond
	// MeshSize is the maximum number of peers at which a fleet counts as small: all peers then get full updates in turn,
	// meshFanOut of them in each round.
	MeshSize   = 12
	meshFanOut = 3
	// fanOut is how many randomly chosen peers a round notifies in a larger fleet; urgent updates do not wait for rounds.
	fanOut = 1
	// urgentFanOut is how many peers are notified immediately of an urgent change, and relayFanOut how many each peer that
	// did not have it yet relays it to: its neighbors, so that no peer is left out, and random ones, so that it takes few hops.
	urgentFanOut = 12
	relayFanOut  = 6
)

// Gossiper sends updates to peers; set its exported fields before Run.
type Gossiper struct {
	// Self is the name of this daemon.
	Self string
	// Peers returns the live peers, sorted by name; FullUpdatePeers those among them that get a full update in each round, however large the
	// fleet is.
	Peers           func() []cataloger.Member
	FullUpdatePeers func() []cataloger.Member
	// Update returns this daemon's update, with its complete state if full is set.
	Update func(full bool) *peerv1.GatewayUpdate
	// Receive applies the update of a peer, and reports whether it held an urgent change that this daemon did not have yet.
	Receive func(peer string, u *peerv1.GatewayUpdate) (urgent bool)
	// Send sends a message to the handler of a method at a peer address.
	Send  func(address, method string, msg proto.Message) error
	Clock timer.Clock
	Log   zerolog.Logger

	// nextIndex selects the next peers of a small fleet; only Run uses it.
	nextIndex int
}

// Run sends updates every Interval until ctx is done, and returns nil.
func (g *Gossiper) Run(ctx context.Context) error {
	for g.Clock.Sleep(ctx, Interval) == nil {
		g.sendRound()
	}
	return nil
}

// sendRound sends a full update to the next peers of a small fleet; in a larger one it notifies a random peer.
func (g *Gossiper) sendRound() {
	if peers := g.Peers(); len(peers) <= MeshSize {
		g.sendTo(g.nextPeers(peers), true)
		return
	}
	g.notify(func(peers []cataloger.Member) []cataloger.Member { return sample(peers, fanOut) })
}

// nextPeers returns the next up to meshFanOut peers of a small fleet.
func (g *Gossiper) nextPeers(peers []cataloger.Member) []cataloger.Member {
	var out []cataloger.Member
	for i := range min(meshFanOut, len(peers)) {
		out = append(out, peers[(g.nextIndex+i)%len(peers)])
	}
	g.nextIndex += len(out)
	return out
}

// NotifyUrgent sends an update immediately: to all peers of a small fleet, else to FullUpdatePeers and urgentFanOut
// others.
func (g *Gossiper) NotifyUrgent() {
	g.notify(func(peers []cataloger.Member) []cataloger.Member { return g.relays(peers, urgentFanOut) })
}

// Mesh reports whether the fleet is so small that every peer gets full updates.
func (g *Gossiper) Mesh() bool { return len(g.Peers()) <= MeshSize }

// notify sends a full update to all peers of a small fleet; in a larger one to FullUpdatePeers, and an update to those that choose
// returns.
func (g *Gossiper) notify(choose func(peers []cataloger.Member) []cataloger.Member) {
	peers := g.Peers()
	if len(peers) <= MeshSize {
		g.sendTo(peers, true)
		return
	}
	if fullPeers := g.FullUpdatePeers(); len(fullPeers) > 0 {
		g.sendTo(fullPeers, true)
	}
	g.sendTo(choose(peers), false)
}

// relays returns n of the peers of a fleet larger than MeshSize: the two neighbors of this daemon in the ring of names, and others at
// random.
func (g *Gossiper) relays(peers []cataloger.Member, n int) []cataloger.Member {
	next, _ := slices.BinarySearchFunc(peers, g.Self, func(m cataloger.Member, name string) int { return cmp.Compare(m.Name, name) })
	ring := func(i int) cataloger.Member { return peers[(next+i)%len(peers)] }
	last := len(peers) - 1
	out := []cataloger.Member{ring(0), ring(last)}
	for _, i := range rand.Perm(last - 1)[:n-2] {
		out = append(out, ring(1+i))
	}
	return out
}

// sample returns up to n of the peers at random.
func sample(peers []cataloger.Member, n int) []cataloger.Member {
	out := make([]cataloger.Member, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(n, len(peers))] {
		out = append(out, peers[i])
	}
	return out
}

func (g *Gossiper) sendTo(peers []cataloger.Member, full bool) {
	if len(peers) == 0 {
		return
	}
	update := g.Update(full)
	for _, p := range peers {
		if err := g.Send(p.PeerAddress, Method, update); err != nil {
			g.Log.Debug().Err(err).Str("peer", p.Name).Msg("update not sent")
		}
	}
}

// Handle applies the update of a peer, relays it if it was urgent and new, and returns an error if it cannot be decoded; it
// is a linker.Handler.
func (g *Gossiper) Handle(_ context.Context, peer string, body []byte) (proto.Message, error) {
	u := &peerv1.GatewayUpdate{}
	if err := proto.Unmarshal(body, u); err != nil {
		return nil, errors.Wrap(err, "decode gossip update")
	}
	if !g.Receive(peer, u) {
		return nil, nil
	}
	if peers := g.Peers(); len(peers) > MeshSize {
		g.sendTo(g.relays(peers, relayFanOut), false)
	}
	return nil, nil
}
