package pacer

import "time"

const (
	// minInitialWindow and maxInitialWindow bound the window of a target that has just started or come back, over all daemons, and
	// minWindow any window.
	minInitialWindow = 4
	maxInitialWindow = 64
	minWindow        = 2
	// fullWindow is the window at which a target has caught up with its peers: more requests than wait for a first event at any time.
	fullWindow = 128
	// overflowFactor is how many times its window a target may get where no other has room, as a late answer is better than none.
	overflowFactor = 4
	// minTaken is the minimum share of the requests to which a target is open that are taken to be sent there.
	minTaken = 0.1
	// shrinkInterval is the minimum time between two reductions of a window, as requests that were sent together fail together.
	shrinkInterval = 500 * time.Millisecond
	// calmTime is the time without trouble after which a target is no longer paced.
	calmTime = 10 * time.Second
	// endedRetention is how long the counts of a target that has caught up are still reported, so that it ends on all daemons alike.
	endedRetention = 2 * time.Second
	// minSumLag is how old the sum over the fleet may be at least.
	minSumLag = 300 * time.Millisecond
	// inTimeFactor and lateFactor bound the waits for a first event that widen and narrow a window, in typical waits.
	inTimeFactor = 2
	lateFactor   = 4
)

// Verdict is whether a target may get a new request.
type Verdict int

// Verdicts.
const (
	// Open means that the target may be used like any other.
	Open Verdict = iota
	// HeldBack means that others are to be used as long as they have room.
	HeldBack
	// Full means that the target must not get another request.
	Full
)

// progress counts requests to a target.
type progress struct {
	// waiting is the number of requests that were sent and have no first event yet.
	waiting int
	// inTime and troubled count those that were answered about as fast as by other targets, and those that were rejected or late.
	inTime, troubled int
	// neutral counts those that ended otherwise.
	neutral int
}

// sent returns the number of requests that were sent.
func (p progress) sent() int { return p.waiting + p.inTime + p.troubled + p.neutral }

// ramp is the window of one incarnation of a target: the number of requests over all daemons that may wait there for a first event. It
// doubles with each round of answers in time, and halves with trouble. It is not safe for concurrent use.
type ramp struct {
	window float64
	// own is what this daemon has seen, others the last sum over the other daemons.
	own, others progress
	// beganAt and troubledAt are when the ramp began and when there was trouble last, shrunkAt when the window was last reduced.
	beganAt, troubledAt, shrunkAt time.Time
	// offers is the expected number of requests over the fleet to which the target was open, since sentBefore requests had been sent
	// there. recentOffers are those of which the sums do not show yet whether they were sent, as of observedAt.
	offers       float64
	recentOffers []offers
	sentBefore   int
	observedAt   time.Time
	// endedAt is when the target caught up.
	endedAt time.Time
}

// offers is an expected number of offers up to a time.
type offers struct {
	n  float64
	at time.Time
}

// newRamp returns a ramp that begins with a window, within bounds.
func newRamp(now time.Time, window float64) *ramp {
	return &ramp{window: boundInitial(window), beganAt: now, troubledAt: now, observedAt: now}
}

func boundInitial(window float64) float64 {
	return min(max(window, minInitialWindow), maxInitialWindow)
}

// restart begins a ramp again, as the target has got something new to serve.
func (r *ramp) restart(now time.Time, window float64) {
	r.window, r.beganAt, r.troubledAt, r.shrunkAt, r.endedAt = boundInitial(window), now, now, time.Time{}, time.Time{}
	r.forgetOffers(now)
}

// recordAnswer records the first event of a request after a wait, given the typical wait at all targets.
func (r *ramp) recordAnswer(now time.Time, wait, typical time.Duration) {
	switch {
	case wait <= inTimeFactor*typical:
		r.own.inTime++
		r.grow(now, 1)
	case isLate(wait, typical):
		r.recordTrouble(now)
	default:
		r.own.neutral++
	}
}

// isLate reports whether a wait for a first event is far longer than the typical one.
func isLate(wait, typical time.Duration) bool { return wait > lateFactor*typical }

// recordTrouble records that the target rejected a request, or did not answer in time.
func (r *ramp) recordTrouble(now time.Time) {
	r.own.troubled++
	r.shrink(now)
}

// applyOthers takes over the sum over the other daemons. Sums fall when a daemon ends; only what is added counts.
func (r *ramp) applyOthers(now time.Time, sum progress) {
	answered, troubled := sum.inTime-r.others.inTime, sum.troubled-r.others.troubled
	r.others = sum
	if troubled > 0 {
		r.shrink(now)
		return
	}
	// A sum that was incomplete before adds no more than one round of answers.
	r.grow(now, min(float64(answered), r.window))
}

func (r *ramp) grow(now time.Time, answers float64) {
	if answers <= 0 {
		return
	}
	if r.window = min(r.window+answers, fullWindow); r.window == fullWindow && r.endedAt.IsZero() {
		r.endedAt = now
	}
}

func (r *ramp) shrink(now time.Time) {
	if !r.endedAt.IsZero() {
		return
	}
	r.troubledAt = now
	if r.shrunkAt.IsZero() || now.Sub(r.shrunkAt) >= shrinkInterval {
		r.window, r.shrunkAt = max(r.window/2, minWindow), now
	}
}

// hasEnded reports whether the target has caught up, which it does without answers too if there was no trouble for a time.
func (r *ramp) hasEnded(now time.Time) bool {
	if r.endedAt.IsZero() && now.Sub(r.troubledAt) >= calmTime {
		r.endedAt = now
	}
	return !r.endedAt.IsZero()
}

// isObsolete reports whether the ramp ended so long ago that no daemon needs its counts.
func (r *ramp) isObsolete(now time.Time) bool {
	return r.hasEnded(now) && now.Sub(r.endedAt) >= endedRetention
}

// load is what all daemons together do at a target, as far as known.
type load struct {
	// waiting is the number of requests that wait for a first event, and rate that of requests for the service, per second.
	waiting, rate float64
	// lag is how old the sums may be.
	lag time.Duration
}

// openness returns the probability with which a request finds room in a window. Requests within the lag of the sums are not known yet, so each
// may use the room with the probability at which all of them together are expected to fill it once.
func (r *ramp) openness(l load, window float64) float64 {
	room := window - l.waiting
	if room <= 0 {
		return 0
	}
	unknown := l.rate * l.lag.Seconds() * r.taken()
	if unknown <= room {
		return 1
	}
	return room / unknown
}

// verdict decides on one request, given a sample that is uniform in [0,1).
func (r *ramp) verdict(l load, draw float64) Verdict {
	switch {
	case draw < r.openness(l, r.window):
		return Open
	case draw < r.openness(l, overflowFactor*r.window):
		return HeldBack
	}
	return Full
}

// taken returns the share of the requests to which the target is open that are sent there, as others suit the rest better.
func (r *ramp) taken() float64 {
	sent := float64(r.own.sent() + r.others.sent() - r.sentBefore)
	return min(max((sent+1)/(r.offers+1), minTaken), 1)
}

// observe brings the expected number of offers up to date.
func (r *ramp) observe(now time.Time, l load) {
	n := l.rate * r.openness(l, r.window) * max(now.Sub(r.observedAt).Seconds(), 0)
	r.recentOffers = append(r.recentOffers, offers{n, now})
	for len(r.recentOffers) > 0 && now.Sub(r.recentOffers[0].at) >= l.lag {
		r.offers += r.recentOffers[0].n
		r.recentOffers = r.recentOffers[1:]
	}
	r.observedAt = now
}

// forgetOffers forgets the offers, as the target could not be used.
func (r *ramp) forgetOffers(now time.Time) {
	r.offers, r.recentOffers, r.sentBefore, r.observedAt = 0, nil, r.own.sent()+r.others.sent(), now
}
