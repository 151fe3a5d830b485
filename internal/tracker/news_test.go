package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestDelegatePassesNewsOnHoweverItLearnedIt(t *testing.T) {
	for _, learnsFrom := range []string{"the publisher", "another delegate"} {
		t.Run(learnsFrom, func(t *testing.T) {
			n := newNetwork(1)
			n.grow(6, 2)
			n.run(5 * time.Second)
			m := n.order[0].m
			entry := proto.Clone(m.members["r001"].proto(n.now)).(*peerv1.MemberEntry)
			entry.Status = peerv1.MemberStatus_MEMBER_STATUS_SUSPECT
			news := func(relay bool) *peerv1.Gossip {
				return &peerv1.Gossip{Kind: peerv1.GossipKind_GOSSIP_KIND_NEWS, Relay: relay, Members: []*peerv1.MemberEntry{entry}}
			}
			if learnsFrom == "another delegate" {
				require.Empty(t, tellings(m.Receive(n.now, "r002", news(false))), "only delegates pass on")
			}
			require.ElementsMatch(t, []string{"r002:1", "r004:1"}, tellings(m.Receive(n.now, "r003", news(true))))
			require.Empty(t, tellings(m.Receive(n.now, "r005", news(true))), "it is passed on at once but once only")
			again := 0
			for d := 100 * time.Millisecond; d <= time.Second; d += 100 * time.Millisecond {
				again += len(tellings(m.Tick(n.now + d)))
			}
			require.Equal(t, 2*newsRepeats, again)
		})
	}
}

// The fleet has to hear of a daemon that joins, but not of the one that it asked.
func TestJoiningDaemonTellsNoNews(t *testing.T) {
	n := newNetwork(1)
	n.grow(12, 3)
	n.run(5 * time.Second)
	joining := n.add("r012", "dc00", "", 1, "r000:1")
	m, contact := joining.m, n.order[0]
	var told []string
	for _, msg := range m.Tick(n.now) {
		require.Equal(t, contact.address, msg.To)
		for _, answer := range contact.m.Receive(n.now, joining.name, msg.Gossip) {
			if answer.To == joining.address {
				told = append(told, tellings(m.Receive(n.now, contact.name, answer.Gossip))...)
			}
		}
	}
	require.Contains(t, m.members, contact.name)
	told = append(told, tellings(m.Tick(n.now+100*time.Millisecond))...)
	require.Empty(t, told)
	n.run(3 * time.Second)
	require.Equal(t, map[cataloger.State]int{cataloger.StateLive: 12}, n.states(joining.name))
}

// tellings returns whom messages tell news.
func tellings(out []Message) []string {
	var to []string
	for _, msg := range out {
		if msg.Gossip.Kind == peerv1.GossipKind_GOSSIP_KIND_NEWS {
			to = append(to, msg.To)
		}
	}
	return to
}
