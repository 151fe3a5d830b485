package limiter

import "time"

const (
	// renewBefore is how long before its end a share is renewed, and the interval of checks for a new owner of its limit.
	renewBefore = TTL / 2
	// idleTime is how long a workspace may be idle before a share with a life longer than TTL is released.
	idleTime = 15 * time.Second
	// retainedDemand is the fraction of its last demand that a workspace keeps requesting, because demand fluctuates.
	retainedDemand = 0.8
	reportInterval = time.Second
	// slack is the fraction of a share that must be used; below it the entry reports a smaller demand.
	slack = 0.5
)

// Holder decides when an entry reports its demand and which shares it may use; it does no I/O and is not safe for
// concurrent use.
type Holder struct {
	self string
	held map[Key]*holding
	// maxLife is the maximum time for which a share is used without a report.
	maxLife time.Duration
}

// Owner identifies one process of a daemon that divides limits.
type Owner struct {
	Name  string
	Epoch uint64
}

type holding struct {
	share      Share
	expires    time.Time
	reportedAt time.Time
	// lastDemandAt is when the workspace last had any demand.
	lastDemandAt time.Time
	// life is how long the share was granted for, requestedLife the life that the last report requested.
	life, requestedLife time.Duration
	// demand is the last reported demand, unchanged the number of consecutive similar reports.
	demand    Demand
	unchanged int
	// owner received the last report; ownerCheckedAt is when it was last compared with the current owner of the limit.
	owner          Owner
	ownerCheckedAt time.Time
	// unreachable is true if the last report got no answer.
	unreachable bool
}

// NewHolder returns a holder without shares for the member self.
func NewHolder(self string) *Holder {
	return &Holder{self: self, held: map[Key]*holding{}, maxLife: TTL}
}

// Due returns the reports to send now.
func (h *Holder) Due(now time.Time, demands []Demand) []Report {
	var due []Report
	for _, d := range demands {
		s := h.held[d.Key]
		if s == nil {
			s = &holding{}
			h.held[d.Key] = s
		}
		s.lastDemandAt = now
		if s.due(now, d) {
			due = append(due, h.report(now, s, d))
		}
	}
	return due
}

// report returns a report, which requests a longer life of the share the longer the demand has been stable.
func (h *Holder) report(now time.Time, s *holding, d Demand) Report {
	s.unchanged++
	if s.unreachable || d.differsFrom(s.demand) {
		s.unchanged = 0
	}
	s.requestedLife = max(min(s.life, h.maxLife), TTL)
	if s.unchanged >= stableReports {
		s.requestedLife = max(min(lifeGrowth*s.requestedLife, h.maxLife), TTL)
	}
	if s.unreachable || !now.Before(s.expires) {
		s.requestedLife = TTL
	}
	if s.life > TTL && !d.muchLessThan(s.demand) {
		d.Rate = max(d.Rate, retainedDemand*s.demand.Rate)
		d.Wanted = max(d.Wanted, retainedDemand*s.demand.Wanted)
	}
	s.reportedAt = now
	s.demand = d
	return Report{Member: h.self, Demand: d, Held: s.usable(now), TTL: s.requestedLife}
}

// differsFrom reports whether a demand is much less or much more than another one.
func (d Demand) differsFrom(other Demand) bool {
	return d.muchLessThan(other) || other.muchLessThan(d)
}

func (d Demand) muchLessThan(other Demand) bool {
	return d.Rate < slack*other.Rate-1 || d.Wanted < slack*other.Wanted-1
}

func (s *holding) usable(now time.Time) Share {
	if now.Before(s.expires) {
		return s.share
	}
	return Share{}
}

func (s *holding) due(now time.Time, d Demand) bool {
	since := now.Sub(s.reportedAt)
	if since >= max(s.life, TTL)-renewBefore || !now.Before(s.expires) && !s.unreachable {
		return true
	}
	if since < reportInterval {
		return false
	}
	more := d.Rate > s.share.Rate || d.Wanted > s.share.Concurrency
	return more || s.unreachable || s.hasSurplus(d)
}

// hasSurplus reports whether part of the share is unused and could be granted to others.
func (s *holding) hasSurplus(d Demand) bool {
	if s.life > TTL {
		// A long-lived share does not exceed the reported demand.
		return d.muchLessThan(s.demand)
	}
	return d.Rate < slack*s.share.Rate && s.share.Rate != Unlimited ||
		d.Wanted < slack*s.share.Concurrency && s.share.Concurrency != Unlimited
}

// ExpireMoved shortens the life of long-lived shares to TTL if their limit has a new owner, so that the new owner learns
// of them as early as of shares granted for TTL.
func (h *Holder) ExpireMoved(now time.Time, owner func(Key) Owner) {
	for key, s := range h.held {
		if s.life <= TTL || now.Sub(s.ownerCheckedAt) < renewBefore {
			continue
		}
		s.ownerCheckedAt = now
		if owner(key) != s.owner {
			s.life = TTL
		}
	}
}

// RecordOwner records the owner to which a report is sent.
func (h *Holder) RecordOwner(now time.Time, key Key, owner Owner) {
	if s := h.held[key]; s != nil {
		s.owner = owner
		s.ownerCheckedAt = now
	}
}

// Release returns the reports that release long-lived shares of idle workspaces, and the floors that replace these shares.
// The entry uses only the floors from then on, even if the report does not arrive.
func (h *Holder) Release(now time.Time, limits func(Key) (Limit, bool), members int) ([]Report, map[Key]Share) {
	var out []Report
	floors := map[Key]Share{}
	for key, s := range h.held {
		limit, ok := limits(key)
		if !ok || s.life <= TTL || !now.Before(s.expires) || now.Sub(s.lastDemandAt) < idleTime {
			continue
		}
		s.share = Floor(limit, members)
		s.life, s.requestedLife = TTL, TTL
		s.unchanged = 0
		s.demand = Demand{Key: key}
		s.reportedAt = now
		floors[key] = s.share
		out = append(out, Report{Member: h.self, Demand: Demand{Key: key}, TTL: TTL})
	}
	return out, floors
}

// ApplyAnswer applies the owner's answer to a report sent at sent and returns the share to use.
func (h *Holder) ApplyAnswer(key Key, sent time.Time, share Share, ttl time.Duration) Share {
	s := h.held[key]
	if s == nil {
		return share
	}
	s.share = share
	s.life = min(ttl, max(s.requestedLife, TTL))
	s.expires = sent.Add(s.life)
	s.unreachable = false
	return share
}

// RecordFailure records that a report got no answer and returns the share to use and whether it changed.
func (h *Holder) RecordFailure(now time.Time, key Key, limit Limit, members []string) (Share, bool) {
	s := h.held[key]
	if s == nil {
		return Share{}, false
	}
	s.unreachable = true
	if now.Before(s.expires) {
		return s.share, false
	}
	return Fallback(key, limit, members, h.self), true
}

// Expire returns the replacements of expired shares: the fallback if the owner did not answer a recent report, else the
// floor.
func (h *Holder) Expire(now time.Time, limits func(Key) (Limit, bool), members []string) map[Key]Share {
	changed := map[Key]Share{}
	for key, s := range h.held {
		if now.Before(s.expires) {
			continue
		}
		limit, ok := limits(key)
		idle := now.Sub(s.reportedAt) >= TTL
		switch {
		case !ok:
			delete(h.held, key)
		case idle:
			delete(h.held, key)
			changed[key] = Floor(limit, len(members))
		case s.unreachable && !s.expires.IsZero():
			s.expires = time.Time{}
			changed[key] = Fallback(key, limit, members, h.self)
		}
	}
	return changed
}

// Forget removes the share of a key whose limit changed.
func (h *Holder) Forget(key Key) { delete(h.held, key) }
