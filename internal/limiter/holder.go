package limiter

import "time"

const (
	refreshAfter = TTL / 2
	reportEvery  = time.Second
	// slack is the part of a share that goes unused before the entry gives some back.
	slack = 0.5
)

// Holder decides when an entry reports its demand and which shares it may use; it does no I/O and is not safe for
// concurrent use.
type Holder struct {
	self string
	held map[Key]*holding
}

type holding struct {
	share    Share
	expires  time.Time
	reported time.Time
	// unreachable is true while the last report had no answer.
	unreachable bool
}

// NewHolder returns a holder without shares for the member self.
func NewHolder(self string) *Holder { return &Holder{self: self, held: map[Key]*holding{}} }

// Due returns the reports to send now.
func (h *Holder) Due(now time.Time, demands []Demand) []Report {
	var due []Report
	for _, d := range demands {
		s := h.held[d.Key]
		if s == nil {
			s = &holding{}
			h.held[d.Key] = s
		}
		if !s.due(now, d) {
			continue
		}
		s.reported = now
		due = append(due, Report{Member: h.self, Demand: d, Held: s.usable(now)})
	}
	return due
}

func (s *holding) usable(now time.Time) Share {
	if now.Before(s.expires) {
		return s.share
	}
	return Share{}
}

func (s *holding) due(now time.Time, d Demand) bool {
	since := now.Sub(s.reported)
	if since >= refreshAfter || !now.Before(s.expires) && !s.unreachable {
		return true
	}
	if since < reportEvery {
		return false
	}
	more := d.Rate > s.share.Rate || d.Wanted > s.share.Concurrency
	less := d.Rate < slack*s.share.Rate && s.share.Rate != Unlimited ||
		d.Wanted < slack*s.share.Concurrency && s.share.Concurrency != Unlimited
	return more || less || s.unreachable
}

// Answer takes the owner's answer to a report sent at sent.
func (h *Holder) Answer(key Key, sent time.Time, share Share, ttl time.Duration) Share {
	s := h.held[key]
	if s == nil {
		return share
	}
	s.share = share
	s.expires = sent.Add(ttl)
	s.unreachable = false
	return share
}

// Failed notes a report without an answer and returns the share to use, and whether it changed.
func (h *Holder) Failed(now time.Time, key Key, limit Limit, members []string) (Share, bool) {
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
