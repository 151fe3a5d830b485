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

// Method is the name of the handler that takes news.
const Method = "news"

const (
	// Interval is the time between two rounds.
	Interval = 250 * time.Millisecond
	// MeshSize is how many peers are all told everything in turn, meshFanOut of them in each round.
	MeshSize   = 12
	meshFanOut = 3
	// fanOut is how many peers, drawn anew, a round tells in a larger fleet. News that are passed on by fanOut daemons each
	// reach 400 in some six rounds; what is urgent does not wait for these.
	fanOut = 1
	// urgentFanOut is how many peers are told at once of what is urgent, and relayFanOut how many each of those passes it on to
	// where it is new to them.
	urgentFanOut = 12
	relayFanOut  = 6
)

// Gossiper tells peers the news; set its exported fields before Run.
type Gossiper struct {
	// Peers returns the peers that are there; Close those among them that are told everything in each round, however large the
	// fleet is.
	Peers func() []cataloger.Member
	Close func() []cataloger.Member
	// News returns what this daemon has to tell; all is for those that are told everything.
	News func(all bool) *peerv1.GatewayNews
	// Receive takes the news of a peer, and tells whether there was something urgent among them that this daemon did not know.
	Receive func(peer string, n *peerv1.GatewayNews) (urgent bool)
	// Notify sends a message to the handler of a method at an address.
	Notify func(address, method string, msg proto.Message) error
	Clock  timer.Clock
	Log    zerolog.Logger

	// turn is the next of a small fleet's peers; only Run uses it.
	turn int
}

// Run tells the news until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	for g.Clock.Sleep(ctx, Interval) == nil {
		g.round()
	}
	return nil
}

// round tells the peers whose turn it is.
func (g *Gossiper) round() {
	if peers := g.Peers(); len(peers) <= MeshSize {
		g.send(g.next(peers), true)
		return
	}
	g.tell(fanOut)
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

// Tell tells something urgent at once.
func (g *Gossiper) Tell() { g.tell(urgentFanOut) }

// Mesh tells whether the fleet is so small that everybody is told everything.
func (g *Gossiper) Mesh() bool { return len(g.Peers()) <= MeshSize }

// tell tells everything to those that are close, and the news to n others.
func (g *Gossiper) tell(n int) {
	peers := g.Peers()
	if len(peers) <= MeshSize {
		g.send(peers, true)
		return
	}
	if near := g.Close(); len(near) > 0 {
		g.send(near, true)
	}
	g.send(draw(peers, n), false)
}

// draw returns n of the peers at random.
func draw(peers []cataloger.Member, n int) []cataloger.Member {
	out := make([]cataloger.Member, 0, n)
	for _, i := range rand.Perm(len(peers))[:min(n, len(peers))] {
		out = append(out, peers[i])
	}
	return out
}

func (g *Gossiper) send(peers []cataloger.Member, all bool) {
	if len(peers) == 0 {
		return
	}
	news := g.News(all)
	for _, p := range peers {
		if err := g.Notify(p.PeerAddress, Method, news); err != nil {
			g.Log.Debug().Err(err).Str("peer", p.Name).Msg("news not sent")
		}
	}
}

// Handle takes the news of a peer; it is a linker.Handler.
func (g *Gossiper) Handle(_ context.Context, peer string, body []byte) (proto.Message, error) {
	n := &peerv1.GatewayNews{}
	if err := proto.Unmarshal(body, n); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	if g.Receive(peer, n) && !g.Mesh() {
		g.send(draw(g.Peers(), relayFanOut), false)
	}
	return nil, nil
}
