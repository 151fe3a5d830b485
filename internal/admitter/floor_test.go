package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/documenter"
)

// TestFloorFollowsShedding holds the limit to the lower floor for as long as requests are refused for want of time.
func TestFloorFollowsShedding(t *testing.T) {
	const calm, shedding = 8, 4
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(calm), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, wholeShare)
	s.floor = floor{calm: calm, shedding: shedding}
	offer := func(deadline time.Duration) *Ticket {
		return s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(deadline), Expected: time.Second})
	}
	for range calm {
		require.Equal(t, TicketGranted, offer(time.Minute).State)
	}
	waiting := offer(3 * time.Second)
	require.Equal(t, TicketWaiting, waiting.State)
	require.Equal(t, calm, s.Limit(), "waiting alone loses nothing")

	now = now.Add(3 * time.Second)
	s.Advance(now)
	require.Equal(t, TicketRefused, waiting.State)
	require.Equal(t, shedding, s.Limit())

	now = now.Add(sheddingTime)
	offer(time.Minute)
	require.Equal(t, calm, s.Limit())
}
