package journaler

import (
	"slices"
	"time"
)

// serveBoundMode opens the shard for bound mode: its records are held in memory only, so every change counts as stored
// immediately.
func (s *shard) serveBoundMode() {
	s.memoryOnly = true
	s.wanted = true
	s.phase = phaseOpen
	s.table = newTable(s.limits, func(d Dispatcher) bool { return s.alive(d) })
}

const (
	sweepsPerWindow = 24
	// nearlyFullSweepInterval is the minimum time between sweeps that free capacity.
	nearlyFullSweepInterval = 5 * time.Second
	// nearlyFullSweepDivisor sets the part of the ids that such a sweep drops: 1 in this many.
	nearlyFullSweepDivisor = 8
)

// sweep drops ids older than the window, or the oldest ids when the table is nearly full; ids that carry no time stay
// as fingerprints.
func (s *shard) sweep(now time.Time) {
	nearlyFull := s.nearlyFull()
	interval := s.limits.Window / sweepsPerWindow
	if nearlyFull {
		interval = nearlyFullSweepInterval
	}
	if now.Before(s.sweptAt.Add(interval)) {
		return
	}
	s.sweptAt = now
	cutoff := millis(now)
	if nearlyFull {
		cutoff = max(cutoff, s.earlyCutoff())
		cutoff = min(cutoff, millis(now.Add(s.limits.Window-s.limits.MinWindow)))
	}
	s.table.replaceWithFingerprints(cutoff, s.table.expiredUntimed(cutoff, len(s.table.records)))
	s.table.advanceHorizon(cutoff - s.limits.Window.Milliseconds())
}

// earlyCutoff returns the time by which the oldest part of the ids that carry a time has expired, in Unix milliseconds.
func (s *shard) earlyCutoff() int64 {
	var expires []int64
	for _, r := range s.table.records {
		if r.issued > 0 {
			expires = append(expires, r.expiresAt(s.limits.Window.Milliseconds()))
		}
	}
	if len(expires) == 0 {
		return 0
	}
	slices.Sort(expires)
	return expires[len(expires)/nearlyFullSweepDivisor]
}
