package limiter

import "time"

const (
	// refreshBefore is how long before its end a share is renewed, and the time between two looks at who owns its limit.
	refreshBefore = TTL / 2
	// idleFor is how long a workspace that holds a share for longer than TTL may be idle.
	idleFor = 15 * time.Second
	// keptDemand is the part of its last demand that a workspace goes on asking for, as demand goes up and down.
	keptDemand  = 0.8
	reportEvery = time.Second
	// slack is the part of a share that goes unused before the entry gives some back.
	slack = 0.5
)

// Holder decides when an entry reports its demand and which shares it may use; it does no I/O and is not safe for
// concurrent use.
type Holder struct {
	self string
	held map[Key]*holding
	// longest bounds how long a share is used without a report.
	longest time.Duration
}

// Owner is one process of a daemon that divides limits.
type Owner struct {
	Name  string
	Epoch uint64
}

type holding struct {
	share    Share
	expires  time.Time
	reported time.Time
	// seen is when the workspace asked for anything last.
	seen time.Time
	// life is how long the share was given for, and asked how long the last report would use it.
	life, asked time.Duration
	// demand is what was reported last, and calm how many reports in a row were alike.
	demand Demand
	calm   int
	// owner is who was asked last, and checked when that was compared with who owns the limit.
	owner   Owner
	checked time.Time
	// unreachable is true while the last report had no answer.
	unreachable bool
}

// NewHolder returns a holder without shares for the member self.
func NewHolder(self string) *Holder {
	return &Holder{self: self, held: map[Key]*holding{}, longest: TTL}
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
		s.seen = now
		if s.due(now, d) {
			due = append(due, h.report(now, s, d))
		}
	}
	return due
}

// report returns a report, and asks for a longer life of the share the longer demand has been steady.
func (h *Holder) report(now time.Time, s *holding, d Demand) Report {
	s.calm++
	if s.unreachable || d.outside(s.demand) {
		s.calm = 0
	}
	s.asked = max(min(s.life, h.longest), TTL)
	if s.calm >= calmReports {
		s.asked = max(min(lifeGrowth*s.asked, h.longest), TTL)
	}
	if s.unreachable || !now.Before(s.expires) {
		s.asked = TTL
	}
	if s.life > TTL && !d.below(s.demand) {
		d.Rate = max(d.Rate, keptDemand*s.demand.Rate)
		d.Wanted = max(d.Wanted, keptDemand*s.demand.Wanted)
	}
	s.reported = now
	s.demand = d
	return Report{Member: h.self, Demand: d, Held: s.usable(now), TTL: s.asked}
}

// outside tells whether a demand is less than a part of another one, or more than it by as much.
func (d Demand) outside(other Demand) bool {
	return d.below(other) || other.below(d)
}

func (d Demand) below(other Demand) bool {
	return d.Rate < slack*other.Rate-1 || d.Wanted < slack*other.Wanted-1
}

func (s *holding) usable(now time.Time) Share {
	if now.Before(s.expires) {
		return s.share
	}
	return Share{}
}

func (s *holding) due(now time.Time, d Demand) bool {
	since := now.Sub(s.reported)
	if since >= max(s.life, TTL)-refreshBefore || !now.Before(s.expires) && !s.unreachable {
		return true
	}
	if since < reportEvery {
		return false
	}
	more := d.Rate > s.share.Rate || d.Wanted > s.share.Concurrency
	return more || s.unreachable || s.surplus(d)
}

// surplus tells whether some of the share goes unused that others could use.
func (s *holding) surplus(d Demand) bool {
	if s.life > TTL {
		// It holds nothing beyond what it asked for.
		return d.below(s.demand)
	}
	return d.Rate < slack*s.share.Rate && s.share.Rate != Unlimited ||
		d.Wanted < slack*s.share.Concurrency && s.share.Concurrency != Unlimited
}

// Moved ends the shares given for long by a daemon that does not own the limit any more, so that the new owner hears of
// them as soon as of those given for TTL.
func (h *Holder) ExpireMoved(now time.Time, owner func(Key) Owner) {
	for key, s := range h.held {
		if s.life <= TTL || now.Sub(s.checked) < refreshBefore {
			continue
		}
		s.checked = now
		if owner(key) != s.owner {
			s.life = TTL
		}
	}
}

// Asked notes who is asked for a share.
func (h *Holder) RecordOwner(now time.Time, key Key, owner Owner) {
	if s := h.held[key]; s != nil {
		s.owner = owner
		s.checked = now
	}
}

// Release returns the reports that give back shares held for long whose workspaces have been idle, and the floors that
// take their place: the entry uses no more than that from then on, whether or not the report arrives.
func (h *Holder) Release(now time.Time, limits func(Key) (Limit, bool), members int) ([]Report, map[Key]Share) {
	var out []Report
	floors := map[Key]Share{}
	for key, s := range h.held {
		limit, ok := limits(key)
		if !ok || s.life <= TTL || !now.Before(s.expires) || now.Sub(s.seen) < idleFor {
			continue
		}
		s.share = Floor(limit, members)
		s.life, s.asked = TTL, TTL
		s.calm = 0
		s.demand = Demand{Key: key}
		s.reported = now
		floors[key] = s.share
		out = append(out, Report{Member: h.self, Demand: Demand{Key: key}, TTL: TTL})
	}
	return out, floors
}

// Answer takes the owner's answer to a report sent at sent.
func (h *Holder) ApplyAnswer(key Key, sent time.Time, share Share, ttl time.Duration) Share {
	s := h.held[key]
	if s == nil {
		return share
	}
	s.share = share
	s.life = min(ttl, max(s.asked, TTL))
	s.expires = sent.Add(s.life)
	s.unreachable = false
	return share
}

// Failed notes a report without an answer and returns the share to use, and whether it changed.
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

// Expire returns the shares that ran out: the fallback where the owner gave no answer to a late report, else the floor.
func (h *Holder) Expire(now time.Time, limits func(Key) (Limit, bool), members []string) map[Key]Share {
	changed := map[Key]Share{}
	for key, s := range h.held {
		if now.Before(s.expires) {
			continue
		}
		limit, ok := limits(key)
		idle := now.Sub(s.reported) >= TTL
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

// Forget drops the share of a key whose limit changed.
func (h *Holder) Forget(key Key) { delete(h.held, key) }
