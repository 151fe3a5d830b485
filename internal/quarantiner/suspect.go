package quarantiner

import (
	"cmp"
	"time"
)

// suspect is a key with crashes.
type suspect struct {
	evidence Evidence
	// changedAt is when the evidence last changed.
	changedAt time.Time
	// crashes are the separate crashes that count against the key, and countedAt the time of the last one.
	crashes   int
	countedAt time.Time
	// reported is the largest number of crashes that other daemons were told of without delay.
	reported int
	// doubtful is true for a part whose crashes are all those of one request that is blamed as a whole.
	doubtful bool
	// quarantined is true once the crashes are enough for a quarantine.
	quarantined bool
}

// takeNews reports whether other daemons must be told of the crashes without delay, once for each number of crashes.
func (s *suspect) takeNews() bool {
	if s == nil || s.crashes <= s.reported {
		return false
	}
	s.reported = s.crashes
	return true
}

// verdict returns how a request with the key may be sent, apart from the time of a quarantine.
func (s *suspect) verdict(now time.Time) Verdict {
	switch {
	case s.quarantined, s.crashes > 0 && s.evidence.AnsweredAt.IsZero() && now.Sub(s.countedAt) < suspicionRetention:
		return Suspect
	}
	return Clear
}

func (s *suspect) quarantineTime() time.Duration {
	if s.doubtful {
		return doubtTime
	}
	n := s.crashes - s.evidence.needed()
	return quarantineTimes[min(max(n, 0), len(quarantineTimes)-1)]
}

// expired reports whether the evidence no longer counts. The crashes themselves decide, so that it does not return from
// daemons that drop it later.
func (s *suspect) expired(now time.Time) bool {
	switch {
	case s.quarantined:
		return now.Sub(s.countedAt) > s.quarantineTime()+quarantineRetention
	case len(s.evidence.unanswered()) == 0:
		return now.Sub(s.changedAt) > clearedRetention
	}
	return now.Sub(s.evidence.lastCrash()) > suspicionRetention
}

// isWeak reports whether little speaks against the key: it was answered, or is that of one of the many requests at a single crash.
func (s *suspect) isWeak() bool {
	return len(s.evidence.unanswered()) == 0 || s.evidence.isWhole() && s.evidence.targets() < 2
}

func (s *suspect) isDroppedBefore(o *suspect) bool {
	if s.quarantined != o.quarantined {
		return o.quarantined
	}
	if s.isWeak() != o.isWeak() {
		return s.isWeak()
	}
	return cmp.Or(s.evidence.lastCrash().Compare(o.evidence.lastCrash()), cmp.Compare(s.evidence.Key, o.evidence.Key)) < 0
}
