package admitter

import "time"

// sheddingTime is how long after a request was refused for want of time the service counts as overloaded.
const sheddingTime = 2 * time.Second

// floor keeps the adaptive limit from falling under what keeps the targets busy.
//
// Calm holds as long as no work is lost: more in progress than is needed evens out how requests fall on the targets.
// Shedding holds while requests are refused for want of time: each one more in progress then only makes all of them late.
type floor struct {
	calm, shedding float64
	shed           time.Time
}

// shed notes that a request was refused as the wait for a slot was too long.
func (s *Scheduler) shed(now time.Time) {
	s.floor.shed = now
	s.followFloor(now)
}

// followFloor puts the floor into force that holds now.
func (s *Scheduler) followFloor(now time.Time) {
	in := s.floor.calm
	if !s.floor.shed.IsZero() && now.Sub(s.floor.shed) < sheddingTime {
		in = s.floor.shedding
	}
	if in > 0 && in != s.limit.Min {
		s.limit.SetFloor(in)
	}
}
