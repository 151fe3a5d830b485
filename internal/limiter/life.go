package limiter

import "time"

const (
	// lifePerLimit is the growth of the maximum life of a share with each limit in force, up to maxLife. The more limits
	// there are, the more bytes their reports take and the less a single limit matters.
	lifePerLimit = 30 * time.Millisecond
	maxLife      = time.Minute
	// lifeGrowth is the factor by which the life of a share grows when it is renewed without a change.
	lifeGrowth = 2
	// stableReports is the number of consecutive reports without a change before a workspace requests a longer life.
	stableReports = 3
)

// maxLifeFor returns the maximum life of a share for a number of limits in force.
func maxLifeFor(limits int) time.Duration {
	return min(max(TTL, time.Duration(limits)*lifePerLimit), maxLife)
}

// life is the maximum time for which shares may be used without a report.
type life struct {
	longest time.Duration
	// previous is a longer maximum that applies to earlier grants until previousEnds.
	previous     time.Duration
	previousEnds time.Time
}

// set changes the maximum.
func (l *life) set(now time.Time, longest time.Duration) {
	if longest < l.longest {
		l.previous = l.bound(now)
		l.previousEnds = now.Add(l.previous)
	}
	l.longest = longest
}

// bound returns the longest life of any share in use.
func (l *life) bound(now time.Time) time.Duration {
	if now.Before(l.previousEnds) {
		return max(l.longest, l.previous)
	}
	return l.longest
}
