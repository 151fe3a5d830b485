package journaler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// drawFunc draws a number below n.
type drawFunc func(n int, label string) int

// breakage names a safeguard that is disabled, to prove that the oracle detects it.
type breakage string

const (
	breakNothing      breakage = ""
	breakConditions   breakage = "the store ignores versions"
	breakEarlyPermit  breakage = "permits are given before the claim is durable"
	breakPermitTwice  breakage = "a permit is used each time it arrives"
	breakAssumeNotRun breakage = "a lost answer of a target counts as not-run"
	breakDropClaims   breakage = "a takeover drops claims without an outcome"
	breakNoProof      breakage = "not-run is reported before a write proves that the owner is not fenced"
	breakFalsePromise breakage = "a caller promises that an id has not run although it sent the id before"
)

const harnessWindow = time.Minute

// harness drives the daemons, entries, messages and store of one shard, and contains the oracle.
type harness struct {
	draw         drawFunc
	broken       breakage
	now          time.Time
	rng          *rand.Rand
	daemons      []*daemon
	entries      []*entryProcess
	store        *fuzzStore
	calls        []*fuzzCall
	messages     []func()
	delayedCalls []storeCall
	nextID       uint64
	// runs counts the runs on the oracle's target by request id, and payloads counts them by request id and payload.
	runs     map[string]int
	payloads map[request]int
	// arrivals counts the messages that daemons received.
	arrivals int
	faults   []string
}

// request identifies a request, for which no call may receive not-run once it ran.
type request struct {
	id      string
	payload byte
}

type daemon struct {
	shard       *shard
	incarnation uint64
	pending     *storeCall
	waiting     map[uint64]func(verdict)
	// lastOwned is the state when the daemon last owned the shard.
	lastOwned snapshot
}

// snapshot is the oracle's counts at one time.
type snapshot struct {
	runs     map[string]int
	payloads map[request]int
	arrivals int
}

func (h *harness) takeSnapshot() snapshot {
	return snapshot{runs: maps.Clone(h.runs), payloads: maps.Clone(h.payloads), arrivals: h.arrivals}
}

type entryProcess struct {
	name        string
	incarnation uint64
	nonce       uint64
	ownerView   int
	dead        map[uint64]bool
}

type callState string

const (
	callAsking   callState = "asking"
	callRunning  callState = "running"
	callVoiding  callState = "voiding"
	callFinished callState = "finished"
)

type fuzzCall struct {
	call
	entry      *entryProcess
	dispatcher Dispatcher
	payload    byte
	state      callState
	ran        bool
	refusal    *refuser.Refusal
	readOnly   bool
	// readNotRun is true if a read-only call received that the request did not run.
	readNotRun bool
	// refusedOnPromise is true if the call was refused as not-run only because its caller promised so.
	refusedOnPromise bool
	// ownerSnapshot is the latest state that the owner could have when it gave its verdict; askedAfterFencing is true if
	// the owner was asked after that.
	ownerSnapshot     snapshot
	askedAfterFencing bool
}

func newHarness(p drawFunc, broken breakage) *harness {
	h := &harness{
		draw:     p,
		broken:   broken,
		now:      time.UnixMilli(1_700_000_000_000),
		rng:      rand.New(rand.NewPCG(1, 2)),
		store:    &fuzzStore{objects: map[string][]version{}, ignoreVersions: broken == breakConditions},
		runs:     map[string]int{},
		payloads: map[request]int{},
	}
	for i := range 3 {
		h.daemons = append(h.daemons, &daemon{})
		h.start(i)
	}
	for i := range 2 {
		h.entries = append(h.entries, &entryProcess{name: fmt.Sprintf("e%d", i), incarnation: 1, dead: map[uint64]bool{}})
	}
	h.daemons[0].shard.setWanted(h.now, true)
	return h
}

func (h *harness) start(i int) {
	d := h.daemons[i]
	d.incarnation++
	limits := DefaultLimits()
	limits.Window = harnessWindow
	limits.MinWindow = harnessWindow / 8
	limits.MaxRecords = 8
	limits.UntimedShare = 0.25
	limits.SealBytes = 400
	limits.SegmentBytes = 900
	limits.FingerprintBatch = 3
	limits.AnswerMemory = 200
	d.shard = newShard(0, Dispatcher{Member: fmt.Sprintf("d%d", i), Incarnation: d.incarnation}, limits, h.rng)
	d.shard.alive = h.alive
	d.waiting = map[uint64]func(verdict){}
	d.pending = nil
}

func (h *harness) alive(d Dispatcher) bool {
	for _, e := range h.entries {
		if e.name == d.Member {
			return !e.dead[d.Incarnation]
		}
	}
	return false
}

// newID draws an id, with a time or without.
func (h *harness) newID() string {
	kind := h.draw(6, "id")
	if kind < 3 {
		return fmt.Sprintf("plain-%d", kind)
	}
	ms := h.now.Add(-time.Duration(h.draw(3, "age")) * harnessWindow / 2).Truncate(20 * time.Second).UnixMilli()
	hex := fmt.Sprintf("%012x", ms)
	return fmt.Sprintf("%s-%s-7000-8000-00000000000%d", hex[:8], hex[8:], kind)
}

func (h *harness) submit() {
	e := h.entries[h.draw(len(h.entries), "entry")]
	e.nonce++
	c := &fuzzCall{entry: e, state: callAsking, dispatcher: Dispatcher{Member: e.name, Incarnation: e.incarnation, Nonce: e.nonce}}
	c.id = h.newID()
	c.deadline = h.now.Add(time.Duration(1+h.draw(4, "deadline")) * time.Second)
	if h.draw(12, "payload") == 0 {
		c.payload = 1
	}
	c.readOnly = h.draw(8, "read") == 0
	c.notRunBefore = !c.readOnly && h.promisesNotRun(c.id)
	h.calls = append(h.calls, c)
	if !c.readOnly && h.draw(8, "refuse") == 0 {
		// The entry drains or has no capacity, and asks no owner.
		h.perform(c, c.refuseWithoutVerdict(refuser.Draining))
		return
	}
	h.send(c)
}

// promisesNotRun reports whether a caller promises that an id has not run: it never sent the id, or was refused as
// not-run each time.
func (h *harness) promisesNotRun(id string) bool {
	for _, c := range h.calls {
		refused := c.state == callFinished && c.refusal != nil && c.refusal.Fact == refuser.FactNotRun
		if c.id == id && !c.readOnly && !refused && h.broken != breakFalsePromise {
			return false
		}
	}
	return true
}

func (h *harness) send(c *fuzzCall) {
	to := c.entry.ownerView
	incarnation := h.daemons[to].incarnation
	h.messages = append(h.messages, func() { h.receiveClaim(to, incarnation, c) })
}

func (h *harness) receiveClaim(to int, incarnation uint64, c *fuzzCall) {
	d := h.daemons[to]
	if d.incarnation != incarnation {
		return
	}
	cl := claim{key: keyOf("w", c.id), issued: issuedMillis(c.id), dispatcher: c.dispatcher, deadline: c.deadline, readOnly: c.readOnly}
	cl.payload[0] = c.payload
	h.nextID++
	h.arrivals++
	arrival := h.arrivals
	d.waiting[h.nextID] = func(v verdict) {
		latest := h.ownerSnapshot(d)
		h.messages = append(h.messages, func() {
			c.ownerSnapshot, c.askedAfterFencing = latest, arrival > latest.arrivals
			h.receiveVerdict(c, v)
		})
	}
	id := h.nextID
	if h.broken == breakEarlyPermit {
		d.shard.submitClaim(h.now, id, cl)
		if _, waits := d.shard.tickets[id]; waits && d.shard.phase == phaseOpen {
			h.messages = append(h.messages, func() { h.receiveVerdict(c, verdict{kind: verdictPermit}) })
		}
	} else {
		d.shard.submitClaim(h.now, id, cl)
	}
	if t, waits := d.shard.tickets[id]; waits && t.kind == waitProof && h.broken == breakNoProof {
		d.shard.finish(t, t.verdict)
	}
	h.collect(d)
}

func (h *harness) collect(d *daemon) {
	for _, r := range d.shard.takeReplies() {
		if done, ok := d.waiting[r.ticket]; ok {
			delete(d.waiting, r.ticket)
			done(r.verdict)
		}
	}
}

func (h *harness) receiveVerdict(c *fuzzCall, v verdict) {
	if h.broken == breakPermitTwice && v.kind == verdictPermit && c.state == callRunning {
		h.runs[c.id]++
	}
	if c.state != callAsking || c.entry.incarnation != c.dispatcher.Incarnation {
		return
	}
	if c.readOnly && v.kind != verdictNotOwner {
		h.finishRead(c, v)
		return
	}
	h.perform(c, c.decide(h.now, v))
}

func (h *harness) perform(c *fuzzCall, d decision) {
	switch d.action {
	case actionSendClaim:
		h.send(c)
	case actionRun:
		c.state = callRunning
	case actionAnswer:
		h.finishRan(c, d.outcome)
	case actionRefuse:
		h.finishRefused(c, d.refusal)
	case actionVoid:
		c.state = callVoiding
		c.refusal = d.refusal
		h.report(c, result{fact: refuser.FactNotRun})
	}
}

func (h *harness) report(c *fuzzCall, res result) {
	to := c.entry.ownerView
	incarnation := h.daemons[to].incarnation
	h.messages = append(h.messages, func() {
		d := h.daemons[to]
		if d.incarnation != incarnation {
			return
		}
		h.nextID++
		h.arrivals++
		arrival := h.arrivals
		d.waiting[h.nextID] = func(v verdict) {
			latest := h.ownerSnapshot(d)
			h.messages = append(h.messages, func() {
				c.ownerSnapshot, c.askedAfterFencing = latest, arrival > latest.arrivals
				h.receiveReportVerdict(c, v)
			})
		}
		d.shard.submitReport(h.now, h.nextID, report{
			key: keyOf("w", c.id), dispatcher: c.dispatcher, result: res, deadline: h.now.Add(time.Second),
		})
		h.collect(d)
	})
}

func (h *harness) receiveReportVerdict(c *fuzzCall, v verdict) {
	if c.state != callVoiding || c.entry.incarnation != c.dispatcher.Incarnation {
		return
	}
	if v.kind == verdictRecorded {
		h.finishRefused(c, c.refusal)
	} else {
		h.finishRefused(c, refuser.New(refuser.OutcomeUncertain, ""))
	}
}

// ownerSnapshot returns the latest state that a daemon can have: the current one while it owns the shard, else that at
// which it was fenced.
func (h *harness) ownerSnapshot(d *daemon) snapshot {
	if h.owns(d) {
		return h.takeSnapshot()
	}
	return d.lastOwned
}

func (h *harness) owns(d *daemon) bool {
	head, _, err := decodeHead(h.store.latest(d.shard.headKey()).value)
	return err == nil && head.Owner == d.shard.self.Member && head.Incarnation == d.shard.self.Incarnation
}

// apply makes a store call take effect, and records the snapshot for a daemon that it fences.
func (h *harness) apply(call storeCall) storeResult {
	var owner *daemon
	for _, d := range h.daemons {
		if h.owns(d) {
			owner = d
		}
	}
	res := h.store.apply(call)
	if owner != nil && !h.owns(owner) {
		owner.lastOwned = h.takeSnapshot()
	}
	return res
}

func (h *harness) addFault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

func answerOf(id string, payload byte) []byte {
	return []byte(fmt.Sprintf("answer of %s/%d", id, payload))
}

func (h *harness) finishRan(c *fuzzCall, o Outcome) {
	c.state = callFinished
	if h.runs[c.id] != 1 {
		h.addFault("%s: reported ran, ran %d times", c.id, h.runs[c.id])
	}
	if string(o.Answer.Body) != string(answerOf(c.id, c.payload)) {
		h.addFault("%s: received the answer %q", c.id, o.Answer.Body)
	}
}

func (h *harness) finishRefused(c *fuzzCall, r *refuser.Refusal) {
	c.state = callFinished
	c.refusal = r
	if r.Fact == refuser.FactRan && h.runs[c.id] != 1 {
		h.addFault("%s: reported ran by %s, ran %d times", c.id, r, h.runs[c.id])
	}
	if r.Fact != refuser.FactNotRun {
		return
	}
	if c.ran {
		h.addFault("%s: refused with %s by a call that ran it", c.id, r)
	}
	if strings.Contains(r.Message, "could not be asked") {
		c.refusedOnPromise = true
		h.checkPromised(c)
		return
	}
	h.checkNotRun(c, r.Code.String())
}

// checkNotRun checks a not-run against the latest state that the owner could have; an owner that was fenced before it
// was asked cannot prove not-run.
func (h *harness) checkNotRun(c *fuzzCall, refusal string) {
	if c.askedAfterFencing {
		h.addFault("%s: received %s from an owner that was fenced before it was asked", c.id, refusal)
	}
	runs := c.ownerSnapshot.payloads[request{c.id, c.payload}]
	if c.refusal == nil || c.refusal.Code != refuser.RequestIDReused {
		runs = c.ownerSnapshot.runs[c.id]
	}
	if runs > 0 {
		h.addFault("%s: received %s, had run %d times", c.id, refusal, runs)
	}
}

// checkPromised checks a not-run that rests on a promise: no call up to the refused one ran or may run.
func (h *harness) checkPromised(refused *fuzzCall) {
	for _, c := range h.calls[:slices.Index(h.calls, refused)+1] {
		if c.id == refused.id && c.ran {
			h.addFault("%s: refused with %s, and an earlier call ran it", refused.id, refused.refusal)
		}
	}
}

// finishRead ends a read-only call; an unknown id counts as not-run.
func (h *harness) finishRead(c *fuzzCall, v verdict) {
	c.state = callFinished
	o, err := outcomeOf(v, c.id)
	if err == nil && !o.Running && (o.Fact == refuser.FactUnspecified || o.Fact == refuser.FactNotRun) {
		c.readNotRun = true
		h.checkNotRun(c, "not-run on reading")
	}
}
