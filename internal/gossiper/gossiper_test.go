package gossiper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/timer"
)

// sent is a message that a gossiper sent.
type sent struct {
	to   string
	full bool
}

// newTestGossiper returns a gossiper with n peers that appends what it sends to out.
func newTestGossiper(n int, out *[]sent) *Gossiper {
	var peers []cataloger.Member
	for i := range n {
		peers = append(peers, cataloger.Member{Name: fmt.Sprint(i), PeerAddress: fmt.Sprint(i)})
	}
	return &Gossiper{
		Peers:           func() []cataloger.Member { return peers },
		FullUpdatePeers: func() []cataloger.Member { return nil },
		Update: func(full bool) *peerv1.GatewayUpdate {
			n := &peerv1.GatewayUpdate{}
			if full {
				n.ConfigVersion = 1
			}
			return n
		},
		Receive: func(string, *peerv1.GatewayUpdate) bool { return false },
		Send: func(address, method string, msg proto.Message) error {
			*out = append(*out, sent{address, msg.(*peerv1.GatewayUpdate).GetConfigVersion() == 1})
			return nil
		},
		Clock: timer.System{}, Log: zerolog.Nop(),
	}
}

// The number of messages that a daemon sends must not grow with the fleet.
func TestMessagesStayBounded(t *testing.T) {
	for _, n := range []int{0, 1, 3, MeshSize, MeshSize + 1, 118, 400} {
		var out []sent
		g := newTestGossiper(n, &out)
		for range 10 {
			g.sendRound()
		}
		require.LessOrEqual(t, len(out), 10*meshFanOut, "%d peers", n)
		out = nil
		g.NotifyUrgent()
		require.LessOrEqual(t, len(out), urgentFanOut, "%d peers", n)
		require.GreaterOrEqual(t, len(out), min(n, urgentFanOut), "%d peers", n)
	}
}

func TestSmallFleetGetsEverythingInTurn(t *testing.T) {
	for _, n := range []int{1, 2, 3, 5, MeshSize} {
		var out []sent
		g := newTestGossiper(n, &out)
		for range (n + meshFanOut - 1) / meshFanOut {
			g.sendRound()
		}
		recipients := map[string]bool{}
		for _, s := range out {
			require.True(t, s.full)
			recipients[s.to] = true
		}
		require.Len(t, recipients, n)
	}
}

func TestFullUpdatePeersAlwaysGetEverything(t *testing.T) {
	var out []sent
	g := newTestGossiper(30, &out)
	g.FullUpdatePeers = func() []cataloger.Member { return g.Peers()[:2] }
	g.sendRound()
	require.Equal(t, []sent{{"0", true}, {"1", true}}, out[:2])
	require.Len(t, out, 2+fanOut)
	require.False(t, out[2].full)
}

// TestUrgentUpdateReachesAllDaemons guards against a daemon that learns of a crash or a departure in a later round only, as none of
// those that relay it chose that daemon. No message is lost here.
func TestUrgentUpdateReachesAllDaemons(t *testing.T) {
	for _, n := range []int{MeshSize + 2, 31, 118, 400} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			for range 50 {
				require.Equal(t, n, spreadUrgently(t, n))
			}
		})
	}
}

// spreadUrgently returns how many of n daemons know an urgent change after all relaying, without a round.
func spreadUrgently(t *testing.T, n int) int {
	body, err := proto.Marshal(&peerv1.GatewayUpdate{})
	require.NoError(t, err)
	var all []cataloger.Member
	for i := range n {
		name := fmt.Sprintf("front-%03d", i)
		all = append(all, cataloger.Member{Name: name, PeerAddress: name})
	}
	daemons, known := map[string]*Gossiper{}, map[string]bool{}
	var inFlight []string
	for i, m := range all {
		var ignored []sent
		g := newTestGossiper(0, &ignored)
		g.Self = m.Name
		g.Peers = func() []cataloger.Member { return slices.Concat(all[:i], all[i+1:]) }
		g.Receive = func(string, *peerv1.GatewayUpdate) bool {
			isNew := !known[m.Name]
			known[m.Name] = true
			return isNew
		}
		g.Send = func(address, _ string, _ proto.Message) error {
			inFlight = append(inFlight, address)
			return nil
		}
		daemons[m.Name] = g
	}
	first := all[rand.IntN(n)].Name
	known[first] = true
	daemons[first].NotifyUrgent()
	for len(inFlight) > 0 {
		to := inFlight[0]
		inFlight = inFlight[1:]
		_, err := daemons[to].Handle(t.Context(), first, body)
		require.NoError(t, err)
	}
	return len(known)
}

// Each daemon relays an urgent update only if it did not have it yet, and only in large fleets, where not all peers were
// notified.
func TestUrgentUpdatesAreRelayedOnce(t *testing.T) {
	body, err := proto.Marshal(&peerv1.GatewayUpdate{})
	require.NoError(t, err)
	for n, want := range map[int]int{MeshSize: 0, 40: relayFanOut} {
		var out []sent
		g := newTestGossiper(n, &out)
		urgent := true
		g.Receive = func(string, *peerv1.GatewayUpdate) bool { return urgent }
		_, err := g.Handle(t.Context(), "0", body)
		require.NoError(t, err)
		require.Len(t, out, want)
		urgent = false
		_, err = g.Handle(t.Context(), "1", body)
		require.NoError(t, err)
		require.Len(t, out, want)
	}
	var out []sent
	_, err = newTestGossiper(3, &out).Handle(t.Context(), "0", []byte{0xff})
	require.Error(t, err)
}
