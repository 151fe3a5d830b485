package journaler

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// claim requests the permit to dispatch a request, or only reads its state.
type claim struct {
	key        Key
	payload    [keyBytes]byte
	issued     int64
	dispatcher Dispatcher
	deadline   time.Time
	readOnly   bool
}

// report is the outcome of a claimed request.
type report struct {
	key        Key
	dispatcher Dispatcher
	result     result
	deadline   time.Time
}

// table holds the records of one shard and the rules by which they change; it does no I/O.
type table struct {
	limits  Limits
	records map[Key]*record
	// untimed counts the records of ids that carry no time, of which at least a fingerprint is kept forever.
	untimed int
	// horizon is the latest time, in Unix milliseconds, whose ids are refused along with all earlier ones.
	horizon int64
	// answerBytes is the size of the answers kept in memory.
	answerBytes int
	// answers lists the keys of kept answers, oldest first.
	answerKeys  []Key
	alive       func(Dispatcher) bool
	memberNames map[string]string
}

func newTable(limits Limits, alive func(Dispatcher) bool) *table {
	return &table{limits: limits, records: map[Key]*record{}, alive: alive, memberNames: map[string]string{}}
}

// step is how the table proceeds with a claim.
type step uint8

const (
	// stepAnswer gives the verdict immediately.
	stepAnswer step = iota
	// stepAwaitDurable waits until the claim is durable.
	stepAwaitDurable
	// stepAwaitOutcome waits for the outcome of another dispatcher.
	stepAwaitOutcome
)

// claim decides on a claim; changed reports whether a record must be stored.
func (t *table) claim(now time.Time, c claim) (next step, v verdict, changed bool) {
	ms := millis(now)
	if v := t.ageVerdict(ms, c.issued); v != verdictNone {
		return stepAnswer, verdict{kind: v}, false
	}
	r, ok := t.records[c.key]
	if !ok {
		if c.readOnly {
			return stepAnswer, verdict{kind: verdictUnknown}, false
		}
		if t.full(c.issued) {
			return stepAnswer, verdict{kind: verdictFull}, false
		}
		r = &record{}
		t.add(c.key, r, c.issued)
		t.setClaimed(r, ms, c)
		return stepAwaitDurable, verdict{}, true
	}
	if c.readOnly {
		return stepAnswer, t.inspect(ms, r), false
	}
	if r.state == stateFingerprint {
		return stepAnswer, r.outcomeVerdict(ms), false
	}
	if r.payload != c.payload {
		return stepAnswer, verdict{kind: verdictReused}, false
	}
	return t.claimAgain(ms, r, c)
}

// full reports whether there is no capacity for a new id; ids without a time may use only UntimedShare of it.
func (t *table) full(issued int64) bool {
	if issued == 0 && t.untimed >= max(1, int(t.limits.UntimedShare*float64(t.limits.MaxRecords))) {
		return true
	}
	return len(t.records) >= t.limits.MaxRecords
}

func (t *table) add(key Key, r *record, issued int64) {
	t.records[key] = r
	if issued == 0 {
		t.untimed++
	}
}

// claimAgain decides on a claim of an id that has a record.
func (t *table) claimAgain(ms int64, r *record, c claim) (step, verdict, bool) {
	switch r.state {
	case stateClaimed:
		if r.dispatcher == c.dispatcher {
			return stepAwaitDurable, verdict{}, false
		}
		if !t.alive(r.dispatcher) {
			return stepAnswer, r.outcomeVerdict(ms), false
		}
		return stepAwaitOutcome, verdict{}, false
	case stateNotRun:
		if r.dispatcher.sameProcess(c.dispatcher) && c.dispatcher.Nonce <= r.dispatcher.Nonce {
			return stepAnswer, verdict{kind: verdictVoided}, false
		}
		t.setClaimed(r, ms, c)
		return stepAwaitDurable, verdict{}, true
	}
	return stepAnswer, r.outcomeVerdict(ms), false
}

func (t *table) setClaimed(r *record, ms int64, c claim) {
	name, ok := t.memberNames[c.dispatcher.Member]
	if !ok {
		name = c.dispatcher.Member
		t.memberNames[name] = name
	}
	c.dispatcher.Member = name
	r.payload = c.payload
	r.state = stateClaimed
	r.dispatcher = c.dispatcher
	r.issued = c.issued
	r.claimed = ms
	r.result = nil
	r.granted = false
	r.changes++
}

func (t *table) ageVerdict(ms, issued int64) verdictKind {
	switch {
	case issued == 0:
		return verdictNone
	case issued <= t.horizon || issued <= ms-t.limits.Window.Milliseconds():
		return verdictExpired
	case issued > ms+t.limits.MaxSkew.Milliseconds():
		return verdictFuture
	}
	return verdictNone
}

// inspect returns the verdict on a record without changing it.
func (t *table) inspect(ms int64, r *record) verdict {
	if r.state == stateClaimed && t.alive(r.dispatcher) {
		return verdict{kind: verdictRunning}
	}
	return r.outcomeVerdict(ms)
}

// report records an outcome; changed reports whether the record must be stored.
func (t *table) report(rep report) (v verdictKind, changed bool) {
	r, ok := t.records[rep.key]
	if !ok || r.dispatcher != rep.dispatcher {
		return verdictMismatch, false
	}
	next := stateUncertain
	switch rep.result.fact {
	case refuser.FactRan:
		next = stateRan
	case refuser.FactNotRun:
		next = stateNotRun
	}
	if r.state == next {
		return verdictNone, false
	}
	if r.state != stateClaimed && r.state != stateUncertain {
		return verdictMismatch, false
	}
	r.state = next
	r.changes++
	if next == stateRan {
		t.keepResult(rep.key, r, rep.result)
	}
	return verdictNone, true
}

// void ends a claim as not-run; it returns false if the permit may have been given.
func (t *table) void(r *record) bool {
	if r.state != stateClaimed || r.granted {
		return false
	}
	r.state = stateNotRun
	r.changes++
	return true
}

// keepResult stores the result in the record and drops the oldest answers while they exceed AnswerMemory.
func (t *table) keepResult(key Key, r *record, res result) {
	if len(res.answer) > t.limits.MaxAnswerBytes {
		res = res.withoutAnswer()
	}
	r.result = &res
	if !res.kept || len(res.answer) == 0 {
		return
	}
	t.answerKeys = append(t.answerKeys, key)
	t.answerBytes += len(res.answer)
	for t.answerBytes > t.limits.AnswerMemory && len(t.answerKeys) > 0 {
		t.dropAnswer(t.answerKeys[0])
		t.answerKeys = t.answerKeys[1:]
	}
}

func (t *table) dropAnswer(key Key) {
	r, ok := t.records[key]
	if !ok || r.result == nil || !r.result.kept {
		return
	}
	t.answerBytes -= len(r.result.answer)
	without := r.result.withoutAnswer()
	r.result = &without
}

// load adds a record read from the store; a later one of the same key replaces it.
func (t *table) load(key Key, r *record) {
	if r.issued > 0 && r.issued <= t.horizon {
		return
	}
	if old, ok := t.records[key]; ok && old.result != nil {
		t.dropAnswer(key)
	}
	r.granted = true
	r.changes = 1
	r.storedChanges = 1
	if _, ok := t.records[key]; ok {
		t.records[key] = r
	} else {
		t.add(key, r, r.issued)
	}
	if r.result != nil {
		res := *r.result
		t.keepResult(key, r, res)
	}
}

// expiredUntimed returns up to limit ids without a time that are older than the window and not yet fingerprints.
func (t *table) expiredUntimed(ms int64, limit int) []Key {
	var keys []Key
	for key, r := range t.records {
		if r.issued == 0 && r.state != stateFingerprint && r.expiresAt(t.limits.Window.Milliseconds()) <= ms {
			keys = append(keys, key)
			if len(keys) == limit {
				break
			}
		}
	}
	return keys
}

// replaceWithFingerprints replaces records with fingerprints; those that did not run are dropped, and those claimed
// again meanwhile stay.
func (t *table) replaceWithFingerprints(ms int64, keys []Key) {
	for _, key := range keys {
		r, ok := t.records[key]
		if !ok || r.expiresAt(t.limits.Window.Milliseconds()) > ms {
			continue
		}
		t.dropAnswer(key)
		if r.state == stateNotRun {
			delete(t.records, key)
			t.untimed--
			continue
		}
		*r = record{state: stateFingerprint, granted: true, queued: r.queued, changes: r.changes, storedChanges: r.changes}
	}
}

// advanceHorizon sets a later horizon and drops the records of ids issued up to it.
func (t *table) advanceHorizon(horizon int64) {
	if horizon <= t.horizon {
		return
	}
	t.horizon = horizon
	for key, r := range t.records {
		if r.issued > 0 && r.issued <= horizon {
			t.dropAnswer(key)
			delete(t.records, key)
		}
	}
}
