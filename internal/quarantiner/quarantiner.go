package quarantiner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// minCrashes is the number of separate crashes after which a key that was never answered is quarantined, and
	// minAnsweredCrashes that of one which was answered before them.
	minCrashes         = 2
	minAnsweredCrashes = 4
	// maxContentCrashes is the number of separate crashes of a request as a whole after which it is not tried again.
	maxContentCrashes = 6
	// certainCrashes is the number of further crashes after which it does not matter how many others there were meanwhile.
	certainCrashes = 2
	// jointCrashWindow is the time within which crashes of several targets count as one: they have a common cause, such as
	// a rack.
	jointCrashWindow = 50 * time.Millisecond
	// suspicionRetention is how long crashes count for a key that is not quarantined.
	suspicionRetention = 10 * time.Minute
	// quarantineRetention is how long a quarantine that has ended is remembered, so that the next one is longer.
	quarantineRetention = 48 * time.Hour
	// clearedRetention is how long a key that was proved harmless is reported to other daemons.
	clearedRetention = 10 * time.Second
	// recentChange is how long evidence that changed goes before other evidence in updates.
	recentChange = time.Second
	// trialTimeout is the time after which a trial without an outcome may be repeated, and trialStagger the time between the
	// daemons that may make it, as requests with the key may not come to the first one.
	trialTimeout = 10 * time.Second
	trialStagger = time.Second
	// skewTolerance is the difference up to which the times that two daemons name for one event are the same.
	skewTolerance = 500 * time.Millisecond
	// These bound the memory: keys with crashes, targets that crashed, those of them with one key, requests with it at one
	// crash, and keys that were answered.
	maxSuspects = 512
	maxCrashed  = 1024
	maxTargets  = 6
	maxRequests = 2
	maxAnswered = 8192
)

// quarantineTimes are the durations of a quarantine after the least number of crashes and after each further one.
var quarantineTimes = []time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute, 24 * time.Hour}

// doubtTime is the duration of the quarantine of a part that was never answered, while it may as well be the whole request that
// crashes targets: long enough for targets to restart.
const doubtTime = 5 * time.Second

// Verdict says how a request may be sent.
type Verdict int

const (
	// Clear means that the request may be sent.
	Clear Verdict = iota
	// Suspect means that the request may be sent once, but not repeated: it may crash its target.
	Suspect
	// Quarantined means that the request must not be sent.
	Quarantined
)

// Decision says how a request may be sent.
type Decision struct {
	Verdict Verdict
	// Wait is the time until a quarantined request may be sent again.
	Wait time.Duration
	// Trial is true for the request that is admitted to end a quarantine.
	Trial bool
	// Index is the position of the key that is quarantined or suspected among the keys of the request.
	Index int
}

// Quarantiner tracks keys with crashes; set its exported fields before use. It is safe for concurrent use.
type Quarantiner struct {
	Now func() time.Time
	// TrialRank returns the position of this daemon among those that may make a trial for a key; nil means that it is first.
	TrialRank func(k Key) int
	Log       zerolog.Logger

	mu       sync.Mutex
	suspects map[Key]*suspect
	answered answeredTimes
	// crashed holds when targets crashed, whatever they ran.
	crashed map[uint32]time.Time
}

// New returns a quarantiner without evidence.
func New(now func() time.Time) *Quarantiner {
	return &Quarantiner{Now: now, Log: zerolog.Nop(), suspects: map[Key]*suspect{}, crashed: map[uint32]time.Time{}}
}

// Admit decides how a request with keys may be sent. It admits one request as a trial after the end of a quarantine.
func (q *Quarantiner) Admit(keys []Key) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	d := q.check(keys, now)
	if d.Verdict != Suspect {
		return d
	}
	for _, k := range keys {
		if s := q.suspects[k]; s != nil && s.quarantined {
			d.Trial, s.evidence.TrialAt, s.changedAt = true, now, now
			q.Log.Info().Uint64("key", uint64(k)).Int("crashes", s.crashes).Msg("trial of a quarantined request")
		}
	}
	return d
}

// Check decides how a request with keys may be sent once more after it was admitted.
func (q *Quarantiner) Check(keys []Key) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.check(keys, q.Now())
}

func (q *Quarantiner) check(keys []Key, now time.Time) Decision {
	d := Decision{}
	for i, k := range keys {
		s := q.suspects[k]
		if s == nil {
			continue
		}
		if s.quarantined {
			if wait := q.untilTrial(s, now); wait > 0 {
				return Decision{Verdict: Quarantined, Wait: wait, Index: i}
			}
		}
		if s.verdict(now) != Clear && (d.Verdict == Clear || !s.evidence.isWhole()) {
			d = Decision{Verdict: Suspect, Index: i}
		}
	}
	return d
}

// MayRepeat reports whether a request with keys may be sent a second time after a crash. One that is only suspected as a whole
// may be, after its first crash: most requests that a target had not answered are not to blame.
func (q *Quarantiner) MayRepeat(keys []Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	return !slices.ContainsFunc(keys, func(k Key) bool {
		s := q.suspects[k]
		return s != nil && s.verdict(now) != Clear && (!s.evidence.isWhole() || s.evidence.targets() > 1)
	})
}

// IsQuarantined reports whether a request with keys must not be sent now.
func (q *Quarantiner) IsQuarantined(keys []Key) bool { return q.Check(keys).Verdict == Quarantined }

// untilTrial returns the time until this daemon may send a request with a quarantined key.
func (q *Quarantiner) untilTrial(s *suspect, now time.Time) time.Duration {
	from := s.countedAt.Add(s.quarantineTime())
	if s.evidence.isWhole() && s.crashes >= maxContentCrashes {
		from = from.Add(quarantineRetention)
	}
	if now.Before(from) {
		return from.Sub(now)
	}
	if q.TrialRank != nil {
		from = from.Add(time.Duration(q.TrialRank(s.evidence.Key)) * trialStagger)
	}
	if !s.evidence.TrialAt.IsZero() {
		if again := s.evidence.TrialAt.Add(trialTimeout); again.After(from) {
			from = again
		}
	}
	return max(from.Sub(now), 0)
}

// needed returns the number of separate crashes after which the key is quarantined.
func (e Evidence) needed() int {
	if e.AnsweredAt.IsZero() {
		return minCrashes
	}
	return minAnsweredCrashes
}

// RecordAnswered records that a request with keys was answered, which proves all of them harmless.
func (q *Quarantiner) RecordAnswered(keys []Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	for _, k := range keys {
		q.answered.set(k, now)
	}
	q.clear(keys, now)
}

// RecordContentAnswered is RecordAnswered for a request whose last key is that of the request as a whole. Answered requests are
// not remembered by that key unless they are suspected, as there is one for each.
func (q *Quarantiner) RecordContentAnswered(keys []Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	for _, k := range keys[:len(keys)-1] {
		q.answered.set(k, now)
	}
	q.clear(keys, now)
}

// clear records that keys with crashes are harmless; the caller holds mu.
func (q *Quarantiner) clear(keys []Key, now time.Time) {
	changed := false
	for _, k := range keys {
		if s := q.suspects[k]; s != nil && len(s.evidence.unanswered()) > 0 {
			s.evidence.AnsweredAt, s.changedAt, changed = now, now, true
		}
	}
	if changed {
		q.assess(now)
	}
}

// RecordCrash records the crash of a target while it ran a request with keys that had not been answered, the keys in the
// order in which fewer and fewer requests share them. It reports whether other daemons must be told without delay.
func (q *Quarantiner) RecordCrash(keys []Key, target, request uint32) bool {
	return q.recordCrash(keys, target, request, func(i int) uint32 { return uint32(i) })
}

// RecordContentCrash is RecordCrash for a request whose last key is that of the request as a whole; begun is true if the target
// had begun its answer, without an event yet.
func (q *Quarantiner) RecordContentCrash(keys []Key, target, request uint32, begun bool) bool {
	return q.recordCrash(keys, target, request, func(i int) uint32 {
		switch {
		case i < len(keys)-1:
			return uint32(i)
		case begun:
			return begunDepth
		}
		return contentDepth
	})
}

func (q *Quarantiner) recordCrash(keys []Key, target, request uint32, depth func(i int) uint32) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	changed := q.recordTarget(target, now, now)
	for i, k := range keys {
		changed = q.addCrash(k, Crash{Target: target, Request: request, Depth: depth(i), At: now}, now) || changed
	}
	if !changed {
		return false
	}
	q.assess(now)
	news := false
	for _, k := range keys {
		news = q.suspects[k].takeNews() || news
	}
	return news
}

// recordTarget records that a target crashed and reports whether this is new; the caller holds mu.
func (q *Quarantiner) recordTarget(target uint32, at, now time.Time) bool {
	if _, ok := q.crashed[target]; ok || now.Sub(at) >= suspicionRetention {
		return false
	}
	if len(q.crashed) >= maxCrashed {
		maps.DeleteFunc(q.crashed, func(_ uint32, at time.Time) bool { return now.Sub(at) > suspicionRetention })
	}
	if len(q.crashed) >= maxCrashed {
		clear(q.crashed)
	}
	q.crashed[target] = at
	return true
}

// addCrash adds a crash to the evidence against a key and reports whether it is new; the caller holds mu.
func (q *Quarantiner) addCrash(k Key, c Crash, now time.Time) bool {
	s := q.suspects[k]
	if s == nil {
		s = &suspect{evidence: Evidence{Key: k}}
	}
	evidence, added := s.evidence.addCrash(c)
	if !added {
		return false
	}
	if answered := q.answered.get(k); answered.After(evidence.AnsweredAt) {
		evidence.AnsweredAt = answered
	}
	s.evidence, s.changedAt = evidence, now
	q.suspects[k] = s
	return true
}

// Merge adds the evidence of another daemon and reports whether further daemons must be told of it without delay.
func (q *Quarantiner) Merge(e Evidence) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, changed, trial := q.Now(), false, false
	for _, c := range e.Crashes {
		changed = q.recordTarget(c.Target, c.At, now) || changed
	}
	s := q.suspects[e.Key]
	if s == nil && len(e.unanswered()) == 0 {
		// A key that was proved harmless is of no interest to daemons that did not suspect it.
		return false
	}
	for _, c := range e.Crashes {
		changed = q.addCrash(e.Key, c, now) || changed
	}
	s = q.suspects[e.Key]
	if len(s.evidence.unanswered()) > 0 && later(s.evidence.AnsweredAt, e.AnsweredAt) {
		s.evidence.AnsweredAt, s.changedAt, changed = e.AnsweredAt, now, true
		q.answered.set(e.Key, e.AnsweredAt)
	}
	if later(s.evidence.TrialAt, e.TrialAt) {
		// The daemon next in rank makes a trial of its own if it does not hear of this one within trialStagger.
		s.evidence.TrialAt, s.changedAt, trial = e.TrialAt, now, now.Sub(e.TrialAt) < trialTimeout
	}
	if changed {
		q.assess(now)
	}
	return q.suspects[e.Key].takeNews() || trial
}

// later reports whether the time that another daemon names is later than the known one, and not the same event.
func later(known, named time.Time) bool {
	return !named.IsZero() && (known.IsZero() || named.Sub(known) > skewTolerance)
}

// Evidence returns what other daemons must know, up to n keys: the quarantined ones first, then those that changed within
// recentChange, those with the most crashes and the latest first, then any others, in every second update those without an answer
// first, so that in time all are told.
func (q *Quarantiner) Evidence(n int) []Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	var found []*suspect
	for _, s := range q.suspects {
		if !s.expired(now) {
			found = append(found, s)
		}
	}
	unansweredFirst := rand.IntN(2) == 0
	rank := func(s *suspect) int {
		switch {
		case s.quarantined:
			return 0
		case now.Sub(s.changedAt) < recentChange:
			return 1
		case unansweredFirst && len(s.evidence.unanswered()) == 0:
			return 3
		}
		return 2
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b *suspect) int {
		if r := cmp.Compare(rank(a), rank(b)); r != 0 || rank(a) != 1 {
			return r
		}
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), b.changedAt.Compare(a.changedAt))
	})
	var out []Evidence
	for _, s := range found[:min(n, len(found))] {
		out = append(out, s.evidence)
	}
	return out
}

// Quarantines returns the number of keys that are quarantined now.
func (q *Quarantiner) Quarantines() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, n := q.Now(), 0
	for _, s := range q.suspects {
		if s.quarantined && q.untilTrial(s, now) > 0 {
			n++
		}
	}
	return n
}

// Crashes returns the last n targets that crashed, the latest first.
func (q *Quarantiner) Crashes(n int) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Now()
	var out []Crash
	for target, at := range q.crashed {
		if now.Sub(at) < suspicionRetention {
			out = append(out, Crash{Target: target, At: at})
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target)) })
	return out[:min(n, len(out))]
}

// MergeCrashes adds targets that another daemon knows to have crashed.
func (q *Quarantiner) MergeCrashes(crashes []Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, changed := q.Now(), false
	for _, c := range crashes {
		changed = q.recordTarget(c.Target, c.At, now) || changed
	}
	if changed {
		q.assess(now)
	}
}
