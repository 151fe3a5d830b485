package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/pkg/refuser"
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

// TestIdleServiceIsNotHeldToBusierTimes refuses nothing for an estimate from an overload that is over.
func TestIdleServiceIsNotHeldToBusierTimes(t *testing.T) {
	const calm = 8
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(calm), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, wholeShare)
	s.limit.SetFloor(calm)
	offer := func(expected time.Duration) *Ticket {
		return s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(8 * time.Second), Expected: expected})
	}
	for range 2 * calm {
		var running []*Ticket
		for range calm {
			running = append(running, offer(time.Second))
		}
		now = now.Add(time.Second)
		for _, r := range running {
			s.Finish(now, r, Result{OK: true})
		}
	}
	for range int(calmShare * calm) {
		require.Equal(t, TicketGranted, offer(time.Minute).State, "what it takes without a queue is in time")
	}
	require.Equal(t, refuser.DeadlineTooShort, offer(time.Minute).Refusal.Code, "the targets may have a queue")
}

// TestCutByTheCallerCountsAsLate learns from requests that their callers ended at the deadline, a little before it here.
func TestCutByTheCallerCountsAsLate(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(1), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, wholeShare)
	run := func(took time.Duration) {
		ticket := s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(8 * time.Second), Expected: 4 * time.Second})
		now = now.Add(took)
		s.Finish(now, ticket, Result{})
	}
	run(6 * time.Second)
	require.Zero(t, s.estimator.mean, "a caller that gave up early tells nothing")
	run(8*time.Second - time.Millisecond)
	require.InDelta(t, 2, s.estimator.mean, 0.01)
}
