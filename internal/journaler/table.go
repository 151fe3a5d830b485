package journaler

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// claim is a request for the permit to dispatch.
type claim struct {
	key        Key
	payload    [keyBytes]byte
	issued     int64
	dispatcher Dispatcher
	deadline   time.Time
	readOnly   bool
}

// report says how a claimed request ended.
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
	// untimed counts the records of ids that carry no time, of which something is kept for ever.
	untimed int
	// horizon is the time up to which issued ids are refused, in Unix milliseconds.
	horizon int64
	// answerBytes is the size of the answers kept in memory.
	answerBytes int
	// answers lists the keys of kept answers, oldest first.
	answers []Key
	alive   func(Dispatcher) bool
	names   map[string]string
}

func newTable(limits Limits, alive func(Dispatcher) bool) *table {
	return &table{limits: limits, records: map[Key]*record{}, alive: alive, names: map[string]string{}}
}

// step is what the table does about a claim.
type step uint8

const (
	// stepAnswer gives the verdict at once.
	stepAnswer step = iota
	// stepClaimed waits until the claim is durable.
	stepClaimed
	// stepDuplicate waits for the outcome of another dispatcher.
	stepDuplicate
)

// claim decides about a claim; changed tells whether a record must be stored.
func (t *table) claim(now time.Time, c claim) (s step, v verdict, changed bool) {
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
		t.take(r, ms, c)
		return stepClaimed, verdict{}, true
	}
	if c.readOnly {
		return stepAnswer, t.look(ms, r), false
	}
	if r.state == stateForgotten {
		return stepAnswer, r.known(ms), false
	}
	if r.payload != c.payload {
		return stepAnswer, verdict{kind: verdictReused}, false
	}
	return t.again(ms, r, c)
}

// full tells whether there is no room for a new id; ids without a time leave most of it to others.
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

// again decides about a claim of an id that has a record.
func (t *table) again(ms int64, r *record, c claim) (step, verdict, bool) {
	switch r.state {
	case stateClaimed:
		if r.dispatcher == c.dispatcher {
			return stepClaimed, verdict{}, false
		}
		if !t.alive(r.dispatcher) {
			return stepAnswer, r.known(ms), false
		}
		return stepDuplicate, verdict{}, false
	case stateNotRun:
		if r.dispatcher.sameProcess(c.dispatcher) && c.dispatcher.Nonce <= r.dispatcher.Nonce {
			return stepAnswer, verdict{kind: verdictVoided}, false
		}
		t.take(r, ms, c)
		return stepClaimed, verdict{}, true
	}
	return stepAnswer, r.known(ms), false
}

func (t *table) take(r *record, ms int64, c claim) {
	name, ok := t.names[c.dispatcher.Member]
	if !ok {
		name = c.dispatcher.Member
		t.names[name] = name
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

// look returns what is known of a record without changing it.
func (t *table) look(ms int64, r *record) verdict {
	if r.state == stateClaimed && t.alive(r.dispatcher) {
		return verdict{kind: verdictRunning}
	}
	return r.known(ms)
}

// report records an outcome; changed tells whether the record must be stored.
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
		t.keep(rep.key, r, rep.result)
	}
	return verdictNone, true
}

// void ends a claim whose permit was not given; it reports false where the permit may be out.
func (t *table) void(r *record) bool {
	if r.state != stateClaimed || r.granted {
		return false
	}
	r.state = stateNotRun
	r.changes++
	return true
}

// keep holds the result and lets the oldest answers go where there are too many bytes.
func (t *table) keep(key Key, r *record, res result) {
	if len(res.answer) > t.limits.MaxAnswerBytes {
		res = res.withoutAnswer()
	}
	r.result = &res
	if !res.kept || len(res.answer) == 0 {
		return
	}
	t.answers = append(t.answers, key)
	t.answerBytes += len(res.answer)
	for t.answerBytes > t.limits.AnswerMemory && len(t.answers) > 0 {
		t.release(t.answers[0])
		t.answers = t.answers[1:]
	}
}

func (t *table) release(key Key) {
	r, ok := t.records[key]
	if !ok || r.result == nil || !r.result.kept {
		return
	}
	t.answerBytes -= len(r.result.answer)
	without := r.result.withoutAnswer()
	r.result = &without
}

// load takes a record from the store; a later one of the same key replaces it.
func (t *table) load(key Key, r *record) {
	if r.issued > 0 && r.issued <= t.horizon {
		return
	}
	if old, ok := t.records[key]; ok && old.result != nil {
		t.release(key)
	}
	r.granted = true
	r.changes = 1
	r.stored = 1
	if _, ok := t.records[key]; ok {
		t.records[key] = r
	} else {
		t.add(key, r, r.issued)
	}
	if r.result != nil {
		res := *r.result
		t.keep(key, r, res)
	}
}

// expired lists up to limit ids without a time that are older than the window and not yet fingerprints.
func (t *table) expired(ms int64, limit int) []Key {
	var keys []Key
	for key, r := range t.records {
		if r.issued == 0 && r.state != stateForgotten && r.expires(t.limits.Window.Milliseconds()) <= ms {
			keys = append(keys, key)
			if len(keys) == limit {
				break
			}
		}
	}
	return keys
}

// forget turns records into fingerprints; those that did not run are dropped, and those claimed anew stay.
func (t *table) forget(ms int64, keys []Key) {
	for _, key := range keys {
		r, ok := t.records[key]
		if !ok || r.expires(t.limits.Window.Milliseconds()) > ms {
			continue
		}
		t.release(key)
		if r.state == stateNotRun {
			delete(t.records, key)
			t.untimed--
			continue
		}
		*r = record{state: stateForgotten, granted: true, queued: r.queued, changes: r.changes, stored: r.changes}
	}
}

// advance drops the records of ids issued up to the horizon.
func (t *table) advance(horizon int64) {
	if horizon <= t.horizon {
		return
	}
	t.horizon = horizon
	for key, r := range t.records {
		if r.issued > 0 && r.issued <= horizon {
			t.release(key)
			delete(t.records, key)
		}
	}
}
