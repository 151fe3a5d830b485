package tracker

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestMembersFindEachOther(t *testing.T) {
	for _, size := range []int{1, 2, 4, 40} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNetwork(1)
			n.grow(size, 3)
			n.run(10 * time.Second)
			for _, nd := range n.order {
				require.Len(t, Live(nd.m.Fleet(func(time.Duration) time.Time { return time.Time{} }).Members), size, nd.name)
				require.Equal(t, n.order[0].m.Digest(), nd.m.Digest())
			}
		})
	}
}

func TestLostMemberIsNotLiveAfterTwoSeconds(t *testing.T) {
	for _, size := range []int{3, 4, 12, 40} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d/%d", size, seed), func(t *testing.T) {
				n := newNetwork(seed + 1)
				n.grow(size, 3)
				n.run(10 * time.Second)
				lost := n.order[size-1]
				lost.alive = false
				n.run(2 * time.Second)
				require.Zero(t, n.states(lost.name)[cataloger.StateLive])
				n.run(10 * time.Second)
				require.Equal(t, size-1, n.states(lost.name)[cataloger.StateDead])
			})
		}
	}
}

func TestMessageLossBarelyDelaysDetection(t *testing.T) {
	for _, size := range []int{4, 40} {
		for _, loss := range []float64{0.01, 0.05, 0.2} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d/%g/%d", size, loss, seed), func(t *testing.T) {
					n := newNetwork(seed + 1)
					n.grow(size, 3)
					n.run(10 * time.Second)
					n.loss = loss
					n.run(10 * time.Second)
					for _, nd := range n.order {
						require.Equal(t, size-1, n.states(nd.name)[cataloger.StateLive], "nobody is suspected")
					}
					lost := n.order[size-1]
					lost.alive = false
					n.run(2 * time.Second)
					require.Zero(t, n.states(lost.name)[cataloger.StateLive])
				})
			}
		}
	}
}

func TestViewsShareTheListOfTargets(t *testing.T) {
	n := newNetwork(1)
	m := n.add("a", "dc", "", 1).m
	at := func(time.Duration) time.Time { return time.Time{} }
	m.SetVMs(n.now, engineVM("a", false), func(cataloger.VM) string { return "" })
	before := m.Fleet(at).Targets
	m.SetLoad(n.now, 0.5)
	require.Same(t, &before[0], &m.Fleet(at).Targets[0])
	m.ReportTarget(n.now, "t", TargetReport{State: cataloger.StateLive})
	require.Equal(t, cataloger.StateLive, m.Fleet(at).Targets[0].State)
	require.Equal(t, cataloger.StateJoining, before[0].State, "earlier views do not change")
}

// otherProcessNews returns the announcement of another process of the same name.
func otherProcessNews(name string, incarnation, epoch uint64) *peerv1.Gossip {
	return &peerv1.Gossip{
		Kind:    peerv1.GossipKind_GOSSIP_KIND_NEWS,
		Members: []*peerv1.MemberEntry{{Name: name, Incarnation: incarnation, Epoch: epoch, Address: "b:80", PeerAddress: "b:1"}},
	}
}

func TestOnlyTheLaterOfTwoProcessesKeepsTheName(t *testing.T) {
	for _, later := range []bool{true, false} {
		n := newNetwork(1)
		m := n.add("a", "dc", "", 5).m
		other := m.self.epoch + 1
		if later {
			other = m.self.epoch - 1
		}
		for range maxNameContests + 1 {
			require.False(t, m.Superseded())
			m.Receive(n.now, "x", otherProcessNews("a", m.Incarnation()+1, other))
		}
		require.Equal(t, !later, m.Superseded())
		require.Equal(t, !later, m.Leaving())
		if !later {
			require.Empty(t, m.Leave(n.now), "a superseded process sends nothing under the name")
		}
	}
}

func TestVMListMarksLeaversByAddressAndNeverRestoresThem(t *testing.T) {
	n := newNetwork(1)
	n.grow(3, 1)
	n.run(5 * time.Second)
	list := func(address string, leaving bool) {
		vms := []cataloger.VM{{Name: "r002", Role: cataloger.RoleEntry, Address: address, Leaving: leaving}}
		n.post(n.order[0], n.order[0].m.SetVMs(n.now, vms, func(cataloger.VM) string { return "" }))
		n.run(time.Second)
	}
	list("replaced:80", true)
	require.Equal(t, 2, n.states("r002")[cataloger.StateLive], "the mark belongs to another VM")
	list("r002:80", true)
	require.Equal(t, 2, n.states("r002")[cataloger.StateLeaving])
	require.True(t, n.order[2].m.Leaving())
	list("r002:80", false)
	n.run(10 * time.Second)
	require.Equal(t, 2, n.states("r002")[cataloger.StateLeaving])
	n.add("r002", "dc00", "", 9, "r000:1")
	n.run(5 * time.Second)
	require.Equal(t, 2, n.states("r002")[cataloger.StateLive])
}

func TestLoadIsSentWithinTheDataCentre(t *testing.T) {
	n := newNetwork(1)
	n.grow(4, 2)
	n.run(5 * time.Second)
	sendLoad := func(load float64) int {
		out := n.order[0].m.SetLoad(n.now, load)
		n.post(n.order[0], out)
		n.run(time.Second)
		return len(out)
	}
	load := func(i int) float64 { return n.order[i].m.members["r000"].load }
	require.Equal(t, 1, sendLoad(0.4))
	require.Equal(t, 0.4, load(2))
	require.Zero(t, load(1), "not sent to the other data centre")
	require.Zero(t, sendLoad(0.45), "a small change is not sent")
	n.run(10 * time.Second)
	require.Equal(t, 1, sendLoad(0.45), "sent again after the refresh interval")
}

func TestStarvedDaemonDelaysItsChecks(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond} {
		n := newNetwork(1)
		n.grow(4, 1)
		n.run(5 * time.Second)
		m := n.order[0].m
		m.Tick(n.now)
		asked := time.Duration(0)
		for d := gap; d < 1500*time.Millisecond && asked == 0; d += gap {
			for _, msg := range m.Tick(n.now + d) {
				if msg.Gossip.Kind == peerv1.GossipKind_GOSSIP_KIND_QUERY {
					asked = d
				}
			}
		}
		if gap > starvedTicks*m.options.TickInterval {
			require.Zero(t, asked, "a daemon whose ticks are late does not check others yet")
			continue
		}
		require.NotZero(t, asked)
		require.LessOrEqual(t, asked, m.options.SilenceTimeout+2*gap)
	}
}
