package tunneler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minLostLinks is how many links must be lost for a daemon to be cut off, if none has worked since.
	minLostLinks = 2
	// lostRetention is how long a link counts as lost after a peer last reached its target: by then a target that has ended is no
	// longer used.
	lostRetention = 10 * time.Second
	// unreachedTime is how long peers are not asked again for a target that they did not reach either.
	unreachedTime = time.Second
)

// lostLink is a link over which this daemon does not reach a target that another daemon reaches.
type lostLink struct {
	since time.Time
	// confirmedAt is when a peer last reached the target.
	confirmedAt time.Time
}

// links tracks this daemon's own links to targets, by the address of the target. It is not safe for concurrent use.
type links struct {
	lost map[string]lostLink
	// unreached holds the targets that peers did not reach either.
	unreached map[string]time.Time
	// workedAt is when a connection was last opened directly.
	workedAt time.Time
	// cutSince is when the daemon was cut off from the targets; zero if it is not.
	cutSince time.Time
}

func newLinks() links { return links{lost: map[string]lostLink{}, unreached: map[string]time.Time{}} }

// recordDirect records that a connection to a target was opened directly, and reports whether this ended a cut. After a cut all
// links are tried again.
func (l *links) recordDirect(now time.Time, address string) (cutEnded bool) {
	l.workedAt = now
	delete(l.lost, address)
	delete(l.unreached, address)
	if l.cutSince.IsZero() {
		return false
	}
	l.cutSince = time.Time{}
	clear(l.lost)
	return true
}

// recordDetour records that a peer reached a target that this daemon did not, and reports whether the link is newly lost and whether
// the daemon is newly cut off.
func (l *links) recordDetour(now time.Time, address string) (linkLost, cutOff bool) {
	link, known := l.lost[address]
	if !known {
		link.since = now
	}
	link.confirmedAt = now
	l.lost[address] = link
	delete(l.unreached, address)
	if known || !l.cutSince.IsZero() {
		return !known, false
	}
	recent := 0
	for _, other := range l.lost {
		if other.since.After(l.workedAt) {
			recent++
		}
	}
	if recent < minLostLinks {
		return true, false
	}
	l.cutSince = now
	return true, true
}

// recordUnreached records that peers did not reach a target either.
func (l *links) recordUnreached(now time.Time, address string) {
	for other, at := range l.unreached {
		if now.Sub(at) >= unreachedTime {
			delete(l.unreached, other)
		}
	}
	l.unreached[address] = now
}

// isUnreached reports whether peers did not reach a target lately.
func (l *links) isUnreached(now time.Time, address string) bool {
	at, ok := l.unreached[address]
	return ok && now.Sub(at) < unreachedTime
}

// lostSince returns when the link to a target was lost, and whether it is.
func (l *links) lostSince(address string) (time.Time, bool) {
	if link, ok := l.lost[address]; ok {
		return link.since, true
	}
	return l.cutSince, !l.cutSince.IsZero()
}

// toProbe returns a lost link to try again, or false if none is lost. It drops those whose targets were not reached by anybody for a
// while.
func (l *links) toProbe(now time.Time) (string, bool) {
	maps.DeleteFunc(l.lost, func(_ string, link lostLink) bool { return now.Sub(link.confirmedAt) >= lostRetention })
	if len(l.lost) == 0 {
		l.cutSince = time.Time{}
		return "", false
	}
	addresses := slices.Collect(maps.Keys(l.lost))
	return addresses[rand.IntN(len(addresses))], true
}
