package throttler

import (
	"time"
)

const (
	// endDelay is how long after an answer that named a limit one without a limit ends it, as answers on different connections
	// may overtake each other.
	endDelay = 300 * time.Millisecond
	// endRetention is how long the end of a limit is kept, so that older news of a peer does not restore the limit.
	endRetention = 10 * time.Second
	// maxLimits bounds the targets whose limits are kept; the one heard longest ago is dropped first.
	maxLimits = 8192
)

// Limit is the number of requests per second that a target accepts from all daemons together.
type Limit struct {
	Rate float64
	// Set is false if the target accepts any number of requests.
	Set bool
}

// Change says what an answer changed about the limit of a target.
type Change int

// Changes of a limit.
const (
	// ChangeNone means that the target still has the same limit, or still none.
	ChangeNone Change = iota
	// ChangeBegan means that the target had no limit before.
	ChangeBegan
	// ChangeRate means that the target has another limit than before.
	ChangeRate
	// ChangeEnded means that the target had a limit before.
	ChangeEnded
)

// Target identifies one incarnation of a target.
type Target struct {
	Name        string
	Incarnation uint64
}

// News is what a daemon knows of the limit of a target.
type News struct {
	Target Target
	Limit  Limit
	// HeardAt is when the target last said so to any daemon.
	HeardAt time.Time
}

// limits holds what is known of the limits of targets, by the name of the target. It is not safe for concurrent use.
type limits map[string]News

// observe records what an answer of a target said, and returns what it changed.
func (l limits) observe(n News) Change {
	old, known := l[n.Target.Name]
	if !known && !n.Limit.Set || known && old.Target.Incarnation > n.Target.Incarnation {
		return ChangeNone
	}
	if known && old.Target.Incarnation < n.Target.Incarnation {
		old, known = News{}, false
	}
	if known && old.Limit.Set && !n.Limit.Set && n.HeardAt.Sub(old.HeardAt) < endDelay {
		return ChangeNone
	}
	return l.store(n, old)
}

// merge records what a peer knows, and returns what it changed.
func (l limits) merge(n News) Change {
	old, known := l[n.Target.Name]
	switch {
	case !known && !n.Limit.Set:
		return ChangeNone
	case !known || old.Target.Incarnation < n.Target.Incarnation:
		return l.store(n, News{})
	case old.Target.Incarnation > n.Target.Incarnation || !n.HeardAt.After(old.HeardAt):
		return ChangeNone
	}
	return l.store(n, old)
}

func (l limits) store(n, old News) Change {
	if len(l) >= maxLimits && l[n.Target.Name] == (News{}) {
		l.dropOldest()
	}
	l[n.Target.Name] = n
	switch {
	case n.Limit.Set && !old.Limit.Set:
		return ChangeBegan
	case !n.Limit.Set && old.Limit.Set:
		return ChangeEnded
	case n.Limit != old.Limit:
		return ChangeRate
	}
	return ChangeNone
}

func (l limits) dropOldest() {
	oldest := ""
	for name, n := range l {
		if oldest == "" || n.HeardAt.Before(l[oldest].HeardAt) {
			oldest = name
		}
	}
	delete(l, oldest)
}

// get returns the limit of an incarnation of a target.
func (l limits) get(t Target) Limit {
	n := l[t.Name]
	if n.Target.Incarnation != t.Incarnation {
		return Limit{}
	}
	return n.Limit
}
