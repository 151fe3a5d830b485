package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// assess decides anew which keys are quarantined, after a change of the evidence; the caller holds mu.
func (q *Quarantiner) assess(now time.Time) {
	all := q.mostSpecificFirst()
	was := map[Key]bool{}
	for _, s := range all {
		was[s.evidence.Key] = s.quarantined
		s.quarantined = false
	}
	// A quarantined key explains the crashes that it was at, which then do not count against other keys. That may leave
	// another key as the only one to blame for the rest.
	explained := map[uint32]Key{}
	for changed := true; changed; {
		changed = false
		for _, s := range all {
			changed = q.assessKey(s, all, explained) || changed
		}
	}
	for _, s := range all {
		if s.quarantined != was[s.evidence.Key] {
			q.Log.Warn().Uint64("key", uint64(s.evidence.Key)).Bool("quarantined", s.quarantined).Int("crashes", s.crashes).Msg("quarantine changed")
		}
	}
	q.prune(now)
}

// assessKey decides whether a key is quarantined and reports whether it is now and was not before. It adds the crashes of a
// quarantined key to those that are explained.
func (q *Quarantiner) assessKey(s *suspect, all []*suspect, explained map[uint32]Key) bool {
	counted := q.countedCrashes(s, explained)
	var requests int
	s.crashes, requests = count(counted)
	s.doubtful = !s.evidence.isWhole() && requests == 1 && slices.ContainsFunc(counted, func(c Crash) bool {
		by, ok := explained[c.Target]
		return ok && by != s.evidence.Key
	})
	s.countedAt = time.Time{}
	if len(counted) == 0 {
		s.reported = 0
		return false
	}
	s.countedAt = counted[len(counted)-1].At
	if s.quarantined || s.crashes < s.evidence.needed() || hasRival(s, counted, all) ||
		s.crashes < s.evidence.needed()+certainCrashes && 2*s.crashes <= q.countCrashes(counted, explained) {
		return false
	}
	s.quarantined = true
	for _, c := range counted {
		if _, ok := explained[c.Target]; !ok {
			explained[c.Target] = s.evidence.Key
		}
	}
	return true
}

// countedCrashes returns the crashes that count against a key: those that no other key explains. A request as a whole does not
// explain the crashes of a part of it that was never answered, nor those of another request that was at more crashes than a quarantine needs: both may be to blame.
func (q *Quarantiner) countedCrashes(s *suspect, explained map[uint32]Key) []Crash {
	unanswered := s.evidence.unanswered()
	separate, _ := count(unanswered)
	isCertain := s.evidence.isWhole() && separate > s.evidence.needed()
	return slices.DeleteFunc(slices.Clone(unanswered), func(c Crash) bool {
		by, ok := explained[c.Target]
		if !ok || by == s.evidence.Key {
			return false
		}
		if isCertain && q.suspects[by].evidence.isWhole() {
			return false
		}
		return !s.evidence.AnsweredAt.IsZero() || !q.suspects[by].evidence.contains(s.evidence)
	})
}

// countCrashes returns the number of separate crashes from the first to the last of some, without those that are explained.
func (q *Quarantiner) countCrashes(span []Crash, explained map[uint32]Key) int {
	var all []Crash
	for target, at := range q.crashed {
		if _, ok := explained[target]; !ok && !at.Before(span[0].At) && !at.After(span[len(span)-1].At) {
			all = append(all, Crash{Target: target, At: at})
		}
	}
	slices.SortFunc(all, func(a, b Crash) int { return a.At.Compare(b.At) })
	separate, _ := count(all)
	return separate
}

// hasRival reports whether another key, as little proved harmless and shared by as few, was at all crashes that count against a
// key, with other requests and as many of them. A key that more requests share is blamed later, if crashes go on without this
// one: a quarantine of it would refuse more sound requests. A part that several requests had at all crashes of a request as a
// whole is blamed before that. Another request as a whole is no rival any more after a further crash: both may be to blame.
func hasRival(s *suspect, counted []Crash, all []*suspect) bool {
	_, requests := count(counted)
	return slices.ContainsFunc(all, func(o *suspect) bool {
		if o == s || o.evidence.needed() > s.evidence.needed() {
			return false
		}
		if s.evidence.isWhole() && !o.evidence.isWhole() {
			return isSharedAtAll(o, counted)
		}
		if s.evidence.isWhole() && s.crashes > s.evidence.needed() {
			return false
		}
		var shared []Crash
		for _, c := range counted {
			found := false
			for _, other := range o.evidence.unanswered() {
				if other.Target == c.Target && other.Request != c.Request && other.Depth >= c.Depth {
					shared, found = append(shared, other), true
				}
			}
			if !found {
				return false
			}
		}
		_, others := count(shared)
		return others >= requests
	})
}

// isSharedAtAll reports whether a part was at all of some crashes, in several requests.
func isSharedAtAll(part *suspect, crashes []Crash) bool {
	requests := map[uint32]bool{}
	for _, c := range crashes {
		found := false
		for _, o := range part.evidence.unanswered() {
			if o.Target == c.Target {
				found, requests[o.Request] = true, true
			}
		}
		if !found {
			return false
		}
	}
	return len(requests) > 1
}

// mostSpecificFirst returns the suspects in an order in which keys that fewer requests share come first, and of those the ones
// with more crashes.
func (q *Quarantiner) mostSpecificFirst() []*suspect {
	type rank struct {
		depth             uint32
		crashes, requests int
	}
	ranks := map[*suspect]rank{}
	all := make([]*suspect, 0, len(q.suspects))
	for _, s := range q.suspects {
		var r rank
		for _, c := range s.evidence.Crashes {
			r.depth = max(r.depth, c.Depth)
		}
		r.crashes, r.requests = count(s.evidence.unanswered())
		ranks[s] = r
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int {
		x, y := ranks[a], ranks[b]
		return cmp.Or(cmp.Compare(y.depth, x.depth), cmp.Compare(y.crashes, x.crashes), cmp.Compare(y.requests, x.requests),
			cmp.Compare(a.evidence.Key, b.evidence.Key))
	})
	return all
}

// prune drops evidence that no longer counts, and the oldest beyond maxSuspects, quarantined keys last.
func (q *Quarantiner) prune(now time.Time) {
	for k, s := range q.suspects {
		if s.expired(now) {
			delete(q.suspects, k)
		}
	}
	for len(q.suspects) > maxSuspects {
		var oldest *suspect
		for _, s := range q.suspects {
			if oldest == nil || s.isDroppedBefore(oldest) {
				oldest = s
			}
		}
		delete(q.suspects, oldest.evidence.Key)
	}
}
