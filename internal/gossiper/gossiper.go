package gossiper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

// Method is the name of the handler that takes updates.
const Method = "update"

const (
	// Interval is the time between two rounds.
	Interval = 250 * time.Millisecond
	// MeshSize is up to how many peers are all sent everything in turn, to meshFanOut of them in each round.
	MeshSize   = 12
	meshFanOut = 3
	// fanOut is how many peers, drawn at random, a round notifies in a larger fleet; what is urgent does not wait for rounds.
	fanOut = 1
	// urgentFanOut is how many peers are notified at once of what is urgent, and relayFanOut how many each of them passes it on
	// to where it did not know of it.
	urgentFanOut = 12
	relayFanOut  = 6
)

// Gossiper sends updates to peers; set its exported fields before Run.
type Gossiper struct {
	// Peers returns the live peers; Always those among them that get everything in each round, however large the fleet is.
	Peers           func() []cataloger.Member
	FullUpdatePeers func() []cataloger.Member
	// Update returns this daemon's update; all is the one with everything.
	Update func(all bool) *peerv1.GatewayUpdate
	// Receive takes the update of a peer, and tells whether it held something urgent that this daemon did not know.
	Receive func(peer string, u *peerv1.GatewayUpdate) (urgent bool)
	// Send sends a message to the handler of a method at an address.
	Send  func(address, method string, msg proto.Message) error
	Clock timer.Clock
	Log   zerolog.Logger

	// turn is the next of a small fleet's peers; only Run uses it.
	turn int
}

// Run sends updates until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	for g.Clock.Sleep(ctx, Interval) == nil {
		g.round()
	}
	return nil
}

// round notifies the peers whose turn it is.
func (g *Gossiper) round() {
	if peers := g.Peers(); len(peers) <= MeshSize {
		g.sendTo(g.next(peers), true)
		return
	}
	g.notify(fanOut)
}

// next returns the next of a small fleet's peers.
func (g *Gossiper) next(peers []cataloger.Member) []cataloger.Member {
	var out []cataloger.Member
	for i := range min(meshFanOut, len(peers)) {
		out = append(out, peers[(g.turn+i)%len(peers)])
	}
	g.turn += len(out)
	return out
}

// NotifyUrgent notifies many peers at once.
func (g *Gossiper) NotifyUrgent() { g.notify(urgentFanOut) }

// Mesh tells whether the fleet is so small that every peer gets everything.
func (g *Gossiper) Mesh() bool { return len(g.Peers()) <= MeshSize }

// notify sends everything to those that always get it, and the update to n others.
func (g *Gossiper) notify(n int) {
	peers := g.Peers()
	if len(peers) <= MeshSize {
		g.sendTo(peers, true)
		return
	}
	if always := g.FullUpdatePeers(); len(always) > 0 {
		g.sendTo(always, true)
	}
	g.sendTo(draw(peers, n), false)
}

// draw returns n of the peers at random.
func draw(peers []cataloger.Member, n int) []cataloger.Member {
	out := make([]cataloger.Member, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(n, len(peers))] {
		out = append(out, peers[i])
	}
	return out
}

func (g *Gossiper) sendTo(peers []cataloger.Member, all bool) {
	if len(peers) == 0 {
		return
	}
	update := g.Update(all)
	for _, p := range peers {
		if err := g.Send(p.PeerAddress, Method, update); err != nil {
			g.Log.Debug().Err(err).Str("peer", p.Name).Msg("update not sent")
		}
	}
}

// Handle takes the update of a peer; it is a linker.Handler.
func (g *Gossiper) Handle(_ context.Context, peer string, body []byte) (proto.Message, error) {
	u := &peerv1.GatewayUpdate{}
	if err := proto.Unmarshal(body, u); err != nil {
		return nil, errors.Wrap(err, "decode update")
	}
	if g.Receive(peer, u) && !g.Mesh() {
		g.sendTo(draw(g.Peers(), relayFanOut), false)
	}
	return nil, nil
}
