package throttler

import "time"

const (
	// permitLife is how long permits that are not used at once stay valid.
	permitLife = 250 * time.Millisecond
	// batchTime is the time whose requests are granted together at high rates.
	batchTime = 100 * time.Millisecond
	maxBatch  = 64
	// fallbackShare is the share of a limit that all daemons together use without permits while they do not reach the owner. It
	// comes on top of what the owner grants to others.
	fallbackShare = 0.4
)

// holding is what this daemon may send to one incarnation of a target. It is not safe for concurrent use.
type holding struct {
	target  Target
	permits int
	expires time.Time
	// blockedUntil is when the daemon may ask for a permit again.
	blockedUntil time.Time
	// fill is the share of the target's burst that was used at filledAt.
	fill     float64
	filledAt time.Time
	// used counts the requests since countedAt, and usedBefore those of the batchTime before.
	used, usedBefore int
	countedAt        time.Time
	// fallback is the bucket used while the owner does not answer; nil if it does.
	fallback *bucket
}

// count counts a request and returns how many permits to ask for.
func (h *holding) count(now time.Time) int {
	switch elapsed := now.Sub(h.countedAt); {
	case elapsed >= 2*batchTime:
		h.used, h.usedBefore, h.countedAt = 0, 0, now
	case elapsed >= batchTime:
		h.used, h.usedBefore, h.countedAt = 0, h.used, now
	}
	h.used++
	return min(max(h.usedBefore, 1), maxBatch)
}

// use uses a permit that was granted earlier, if there is one.
func (h *holding) use(now time.Time) bool {
	if h.permits == 0 || !now.Before(h.expires) {
		h.permits = 0
		return false
	}
	h.permits--
	return true
}

// apply applies the owner's answer and reports whether it granted a permit for the request that asked.
func (h *holding) apply(now time.Time, g grant) bool {
	h.fallback = nil
	h.fill, h.filledAt = g.fill, now
	if g.permits == 0 {
		h.blockedUntil = now.Add(g.wait)
		return false
	}
	h.permits, h.expires = h.permits+g.permits-1, now.Add(permitLife)
	return true
}

// useFallback is used in place of an answer of the owner: it reports whether the request may be sent within this daemon's part of
// fallbackShare.
func (h *holding) useFallback(now time.Time, limit Limit, daemons int) bool {
	if h.fallback == nil {
		h.fallback = newBucket(h.target, now)
	}
	g := h.fallback.take(now, fallbackShare*limit.Rate/float64(max(daemons, 1)), 1, 0)
	h.fill, h.filledAt = g.fill, now
	if g.permits == 0 {
		h.blockedUntil = now.Add(g.wait)
	}
	return g.permits > 0
}

// currentFill returns the share of the target's burst that is used, as far as this daemon can tell.
func (h *holding) currentFill(now time.Time, rate float64) float64 {
	return max(h.fill-now.Sub(h.filledAt).Seconds()*rate/burst(rate), 0)
}
