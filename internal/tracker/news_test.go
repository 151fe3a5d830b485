package tracker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

func TestDelegateRelaysNewsFromAnySource(t *testing.T) {
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
				require.Empty(t, newsRecipients(m.Receive(n.now, "r002", news(false))), "only delegates relay")
			}
			require.ElementsMatch(t, []string{"r002:1", "r004:1"}, newsRecipients(m.Receive(n.now, "r003", news(true))))
			require.Empty(t, newsRecipients(m.Receive(n.now, "r005", news(true))), "it is relayed immediately, and only once")
			repeated := 0
			for d := 100 * time.Millisecond; d <= time.Second; d += 100 * time.Millisecond {
				repeated += len(newsRecipients(m.Tick(n.now + d)))
			}
			require.Equal(t, 2*newsRepeats, repeated)
		})
	}
}

// A joining daemon must not announce the member that it contacted: the fleet has that one already, and learns of the joining
// daemon from it.
func TestJoiningDaemonAnnouncesNoNews(t *testing.T) {
	n := newNetwork(1)
	n.grow(12, 3)
	n.run(5 * time.Second)
	joining := n.add("r012", "dc00", "", 1, "r000:1")
	m, contact := joining.m, n.order[0]
	var recipients []string
	for _, msg := range m.Tick(n.now) {
		require.Equal(t, contact.address, msg.To)
		for _, answer := range contact.m.Receive(n.now, joining.name, msg.Gossip) {
			if answer.To == joining.address {
				recipients = append(recipients, newsRecipients(m.Receive(n.now, contact.name, answer.Gossip))...)
			}
		}
	}
	require.Contains(t, m.members, contact.name)
	recipients = append(recipients, newsRecipients(m.Tick(n.now+100*time.Millisecond))...)
	require.Empty(t, recipients)
	n.run(3 * time.Second)
	require.Equal(t, map[cataloger.State]int{cataloger.StateLive: 12}, n.states(joining.name))
}

// newsRecipients returns the addresses to which messages carry news.
func newsRecipients(out []Message) []string {
	var to []string
	for _, msg := range out {
		if msg.Gossip.Kind == peerv1.GossipKind_GOSSIP_KIND_NEWS {
			to = append(to, msg.To)
		}
	}
	return to
}
