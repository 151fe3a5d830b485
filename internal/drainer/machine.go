package drainer

import "time"

// Phase is a phase of a shutdown.
type Phase string

// Phases in their order.
const (
	// Serving accepts all work.
	Serving Phase = "serving"
	// Announced is no longer named in new answers to Resolve and still accepts work until earlier answers have expired.
	Announced Phase = "announced"
	// Refusing hands over leases and shards and refuses new work.
	Refusing Phase = "refusing"
	// Finishing waits for the requests in progress.
	Finishing Phase = "finishing"
	// Done is the end of the shutdown; requests still in progress are cut.
	Done Phase = "done"
)

// Limits bound the durations of the phases.
type Limits struct {
	// Announce is how long callers may still use an answer to Resolve that names this daemon.
	Announce time.Duration
	// HandOver bounds the hand-over of leases and shards.
	HandOver time.Duration
	// Finish bounds the wait for requests in progress; 0 means no bound.
	Finish time.Duration
}

// Event is the input that may advance a shutdown to its next phase.
type Event struct {
	// Drain requests a shutdown.
	Drain bool
	// HandedOver is true once every hand-over has returned.
	HandedOver bool
	// InProgress is the number of requests in progress.
	InProgress int
	// Force ends the shutdown immediately and cuts the requests in progress.
	Force bool
}

// State is the state of a shutdown; create it with NewState.
type State struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// HandedOver is true if the hand-overs of leases and shards returned before the phase Finishing began.
	HandedOver bool
	// Cut is the number of requests that were in progress when the shutdown ended.
	Cut int
}

// NewState returns the state of a daemon that is serving.
func NewState(now time.Time) State { return State{Phase: Serving, Since: now} }

// Next returns the state after an event at time now; phases never go back.
func (s State) Next(now time.Time, e Event, l Limits) State {
	for {
		next := s.advance(now, e, l)
		if next == s {
			return s
		}
		s = next
	}
}

func (s State) advance(now time.Time, e Event, l Limits) State {
	elapsed := now.Sub(s.Since)
	if e.Force && s.Phase != Done {
		s.Cut = e.InProgress
		return s.enter(Done, now)
	}
	switch s.Phase {
	case Serving:
		if e.Drain {
			return s.enter(Announced, now)
		}
	case Announced:
		if elapsed >= l.Announce {
			return s.enter(Refusing, now)
		}
	case Refusing:
		if e.HandedOver || elapsed >= l.HandOver {
			s.HandedOver = e.HandedOver
			return s.enter(Finishing, now)
		}
	case Finishing:
		if e.InProgress == 0 {
			return s.enter(Done, now)
		}
		if l.Finish > 0 && elapsed >= l.Finish {
			s.Cut = e.InProgress
			return s.enter(Done, now)
		}
	}
	return s
}

func (s State) enter(p Phase, now time.Time) State {
	s.Phase = p
	s.Since = now
	return s
}

// Accepts reports whether new work is accepted.
func (s State) Accepts() bool { return s.Phase == Serving || s.Phase == Announced }

// maxPropagation is the maximum time until every daemon has received the announcement that this one leaves.
const maxPropagation = 2 * time.Second

// AnnounceFor returns Limits.Announce for a time to live of the answers to Resolve. It adds the propagation time, since the last
// answer that names this daemon may be given just before another daemon receives the announcement.
func AnnounceFor(timeToLive time.Duration) time.Duration { return timeToLive + maxPropagation }
