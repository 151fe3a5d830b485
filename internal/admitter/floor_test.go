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

// TestFloorFollowsShedding checks that the lower floor applies while requests are refused for lack of time.
func TestFloorFollowsShedding(t *testing.T) {
	const normal, shedding = 8, 4
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(normal), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, fullShare)
	s.floor = floor{normal: normal, shedding: shedding}
	offer := func(deadline time.Duration) *Ticket {
		return s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(deadline), Expected: time.Second})
	}
	for range normal {
		require.Equal(t, TicketGranted, offer(time.Minute).State)
	}
	waiting := offer(3 * time.Second)
	require.Equal(t, TicketWaiting, waiting.State)
	require.Equal(t, normal, s.Limit(), "a waiting request alone is not shed")

	now = now.Add(3 * time.Second)
	s.Advance(now)
	require.Equal(t, TicketRefused, waiting.State)
	require.Equal(t, shedding, s.Limit())

	now = now.Add(sheddingTime)
	offer(time.Minute)
	require.Equal(t, normal, s.Limit())
}

// TestIdleServiceIgnoresEstimatesFromOverload checks that estimates from a past overload refuse no requests.
func TestIdleServiceIgnoresEstimatesFromOverload(t *testing.T) {
	const normal = 8
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(normal), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, fullShare)
	s.limit.SetFloor(normal)
	offer := func(expected time.Duration) *Ticket {
		return s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(8 * time.Second), Expected: expected})
	}
	for range 2 * normal {
		var running []*Ticket
		for range normal {
			running = append(running, offer(time.Second))
		}
		now = now.Add(time.Second)
		for _, r := range running {
			s.Finish(now, r, Result{OK: true})
		}
	}
	for range int(lightLoadShare * normal) {
		require.Equal(t, TicketGranted, offer(time.Minute).State, "without a queue the request meets its deadline")
	}
	require.Equal(t, refuser.DeadlineTooShort, offer(time.Minute).Refusal.Code, "the targets may have a queue")
}

// TestRequestEndedAtDeadlineCountsAsLate checks that the estimator counts a request that its caller cancelled at the
// deadline, although the cancellation arrives shortly before the deadline here.
func TestRequestEndedAtDeadlineCountsAsLate(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewScheduler(Settings{}, breaker.NewLimit(1), rand.New(rand.NewPCG(1, 1)))
	s.Configure(now, Settings{}, []documenter.Workspace{{Name: "a"}}, fullShare)
	run := func(took time.Duration) {
		ticket := s.Offer(now, Request{Workspace: "a", Cost: 1, Deadline: now.Add(8 * time.Second), Expected: 4 * time.Second})
		now = now.Add(took)
		s.Finish(now, ticket, Result{})
	}
	run(6 * time.Second)
	require.Zero(t, s.estimator.mean, "an early cancellation is not counted")
	run(8*time.Second - time.Millisecond)
	require.InDelta(t, 2, s.estimator.mean, 0.01)
}
