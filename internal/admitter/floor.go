package admitter

import "time"

// sheddingTime is how long a service counts as overloaded after a request was refused for lack of time.
const sheddingTime = 2 * time.Second

// floor is the minimum of the adaptive limit, which keeps the targets busy.
//
// normal applies while no request is refused for lack of time: more requests in progress than necessary even out their
// distribution over the targets. shedding applies while requests are refused: each further request in progress would
// then only delay all of them.
type floor struct {
	normal, shedding float64
	lastShed         time.Time
}

// recordShed records that a request was refused because the wait for a slot was too long.
func (s *Scheduler) recordShed(now time.Time) {
	s.floor.lastShed = now
	s.applyFloor(now)
}

// applyFloor sets the minimum of the adaptive limit to the floor that applies now.
func (s *Scheduler) applyFloor(now time.Time) {
	minLimit := s.floor.normal
	if !s.floor.lastShed.IsZero() && now.Sub(s.floor.lastShed) < sheddingTime {
		minLimit = s.floor.shedding
	}
	if minLimit > 0 && minLimit != s.limit.Min {
		s.limit.SetFloor(minLimit)
	}
}
