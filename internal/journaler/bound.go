package journaler

import (
	"slices"
	"time"
)

// bind makes the shard serve bound mode: it holds its records in memory only, so that every change is stored at once.
func (s *shard) bind() {
	s.volatile = true
	s.wanted = true
	s.phase = phaseOpen
	s.table = newTable(s.limits, func(d Dispatcher) bool { return s.alive(d) })
}

const (
	boundSweeps = 24
	// crowdedSweepInterval is the least time between sweeps that make room.
	crowdedSweepInterval = 5 * time.Second
	// crowdedSweepPart is the part of the ids that one of them drops, as 1 in so many.
	crowdedSweepPart = 8
)

// sweep drops what is older than the window, or the oldest ids where there is no room; ids that carry no time stay as
// fingerprints.
func (s *shard) sweep(now time.Time) {
	crowded := s.crowdedTable()
	pause := s.limits.Window / boundSweeps
	if crowded {
		pause = crowdedSweepInterval
	}
	if now.Before(s.sweptAt.Add(pause)) {
		return
	}
	s.sweptAt = now
	to := millis(now)
	if crowded {
		to = max(to, s.oldest())
		to = min(to, millis(now.Add(s.limits.Window-s.limits.MinWindow)))
	}
	s.table.forget(to, s.table.expired(to, len(s.table.records)))
	s.table.advance(to - s.limits.Window.Milliseconds())
}

// oldest returns when the oldest part of the ids that carry their time is expired, in Unix milliseconds.
func (s *shard) oldest() int64 {
	var expires []int64
	for _, r := range s.table.records {
		if r.issued > 0 {
			expires = append(expires, r.expires(s.limits.Window.Milliseconds()))
		}
	}
	if len(expires) == 0 {
		return 0
	}
	slices.Sort(expires)
	return expires[len(expires)/crowdedSweepPart]
}
