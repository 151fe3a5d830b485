package drainer

import "time"

// Phase is how far a shutdown has come.
type Phase string

// Phases in their order.
const (
	// Serving takes all work.
	Serving Phase = "serving"
	// Announced is out of new answers to Resolve and still takes work, until earlier answers have expired.
	Announced Phase = "announced"
	// Refusing hands leases and shards over and takes no new work.
	Refusing Phase = "refusing"
	// Finishing waits for the requests in progress.
	Finishing Phase = "finishing"
	// Done has nothing left in progress.
	Done Phase = "done"
)

// Limits bound the phases.
type Limits struct {
	// Announce is the time for which callers may still hold an answer that names this daemon.
	Announce time.Duration
	// HandOver bounds the hand-over of leases and shards.
	HandOver time.Duration
	// Finish bounds the wait for requests in progress; 0 waits for as long as they take.
	Finish time.Duration
}

// Event is what may move a shutdown on.
type Event struct {
	// Drain asks for a shutdown.
	Drain bool
	// HandedOver says that every hand-over has returned.
	HandedOver bool
	// InProgress is the number of requests in progress.
	InProgress int
	// Force ends the shutdown at once and cuts what is in progress.
	Force bool
}

// State is the state of a shutdown; the zero value has to be made by NewState.
type State struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// HandedOver is true once leases and shards have been handed over or their time was up.
	HandedOver bool
	// Cut is the number of requests that were in progress when the shutdown ended.
	Cut int
}

// NewState returns the state of a daemon that serves.
func NewState(now time.Time) State { return State{Phase: Serving, Since: now} }

// Next returns the state after an event at a time; phases never go back.
func (s State) Next(now time.Time, e Event, l Limits) State {
	for {
		next := s.step(now, e, l)
		if next == s {
			return s
		}
		s = next
	}
}

func (s State) step(now time.Time, e Event, l Limits) State {
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

// Accepts tells whether new work is taken.
func (s State) Accepts() bool { return s.Phase == Serving || s.Phase == Announced }

// spread is how long it may take until every daemon has heard that this one leaves.
const spread = 2 * time.Second

// AnnounceFor returns Limits.Announce for a time to live of the answers to Resolve: the last answer that names this daemon may be given just before another daemon hears of the shutdown.
func AnnounceFor(timeToLive time.Duration) time.Duration { return timeToLive + spread }
