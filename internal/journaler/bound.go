package journaler

import "time"

// bind makes the shard serve bound mode: it holds its records in memory only, so that every change is stored at once.
func (s *shard) bind() {
	s.volatile = true
	s.wanted = true
	s.phase = phaseOpen
	s.table = newTable(s.limits, func(d Dispatcher) bool { return s.alive(d) })
}

const boundSweeps = 24

// sweep drops what is older than the window; ids that carry no time stay as fingerprints.
func (s *shard) sweep(now time.Time) {
	if now.Before(s.compactedAt.Add(s.limits.Window / boundSweeps)) {
		return
	}
	s.compactedAt = now
	s.table.forget(millis(now), s.table.expired(millis(now), len(s.table.records)))
	s.table.advance(millis(now) - s.limits.Window.Milliseconds())
}
