package limiter

import "time"

const (
	// lifePerLimit is by how much the longest life of a share grows with each limit in force, up to mostLife: the more
	// limits, the more bytes their reports take and the less a single one matters.
	lifePerLimit = 30 * time.Millisecond
	mostLife     = time.Minute
	// lifeGrowth is how many times longer the next life of a share is that was renewed without a change.
	lifeGrowth = 2
	// calmReports is how many reports in a row without a change a workspace makes before it asks for a longer life.
	calmReports = 3
)

// longestLife returns the longest life of a share where so many limits are in force.
func longestLife(limits int) time.Duration {
	return min(max(TTL, time.Duration(limits)*lifePerLimit), mostLife)
}

// life is how long shares may be used without a report.
type life struct {
	longest time.Duration
	// earlier is a longer bound from before, which grants of then may use until earlierEnds.
	earlier     time.Duration
	earlierEnds time.Time
}

// set takes on another bound.
func (l *life) set(now time.Time, longest time.Duration) {
	if longest < l.longest {
		l.earlier = l.bound(now)
		l.earlierEnds = now.Add(l.earlier)
	}
	l.longest = longest
}

// bound returns the longest life of any share that is in use.
func (l *life) bound(now time.Time) time.Duration {
	if now.Before(l.earlierEnds) {
		return max(l.longest, l.earlier)
	}
	return l.longest
}
