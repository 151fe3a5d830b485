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

// pick draws a number below n.
type pick func(n int, label string) int

// breakage switches off one safeguard, to show that the oracle notices.
type breakage string

const (
	breakNothing      breakage = ""
	breakConditions   breakage = "the store ignores versions"
	breakEarlyPermit  breakage = "permits before the claim is durable"
	breakPermitTwice  breakage = "a permit is used as often as it comes"
	breakEagerNotRun  breakage = "a target's lost answer is taken for not-run"
	breakForgetClaims breakage = "a takeover drops claims without outcome"
	breakNoProof      breakage = "not-run is said before a write shows that the owner is not fenced"
	breakPromise      breakage = "a caller promises that an id has not run though it sent it before"
)

const harnessWindow = time.Minute

// harness drives daemons, entries, messages and a store of one shard, and holds the oracle.
type harness struct {
	pick    pick
	broken  breakage
	now     time.Time
	rng     *rand.Rand
	daemons []*daemon
	entries []*entryProcess
	store   *fuzzStore
	calls   []*fuzzCall
	mail    []func()
	late    []storeCall
	nextID  uint64
	// runs is what the oracle's target did, by request id, and payloads by request id and payload.
	runs     map[string]int
	payloads map[request]int
	// arrivals counts the messages that daemons received.
	arrivals int
	faults   []string
}

// request is what a caller must not be told not-run of once it ran.
type request struct {
	id      string
	payload byte
}

type daemon struct {
	shard   *shard
	life    uint64
	pending *storeCall
	waiting map[uint64]func(verdict)
	// fence is the last moment at which the daemon owned the shard.
	fence moment
}

// moment is what had happened at one time.
type moment struct {
	runs     map[string]int
	payloads map[request]int
	arrivals int
}

func (h *harness) moment() moment {
	return moment{runs: maps.Clone(h.runs), payloads: maps.Clone(h.payloads), arrivals: h.arrivals}
}

type entryProcess struct {
	name  string
	life  uint64
	nonce uint64
	view  int
	dead  map[uint64]bool
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
	// looked is true where a reading call was told that the request did not run.
	looked bool
	// promised is true where the call was refused as not-run on its caller's promise alone.
	promised bool
	// known is the last moment that the owner could know of when it gave its verdict; late is true where the owner was
	// asked after that.
	known moment
	late  bool
}

func newHarness(p pick, broken breakage) *harness {
	h := &harness{
		pick:     p,
		broken:   broken,
		now:      time.UnixMilli(1_700_000_000_000),
		rng:      rand.New(rand.NewPCG(1, 2)),
		store:    &fuzzStore{objects: map[string][]version{}, ignore: broken == breakConditions},
		runs:     map[string]int{},
		payloads: map[request]int{},
	}
	for i := range 3 {
		h.daemons = append(h.daemons, &daemon{})
		h.start(i)
	}
	for i := range 2 {
		h.entries = append(h.entries, &entryProcess{name: fmt.Sprintf("e%d", i), life: 1, dead: map[uint64]bool{}})
	}
	h.daemons[0].shard.want(h.now, true)
	return h
}

func (h *harness) start(i int) {
	d := h.daemons[i]
	d.life++
	limits := DefaultLimits()
	limits.Window = harnessWindow
	limits.MinWindow = harnessWindow / 8
	limits.MaxRecords = 8
	limits.UntimedShare = 0.25
	limits.SealBytes = 400
	limits.SegmentBytes = 900
	limits.FingerprintBatch = 3
	limits.AnswerMemory = 200
	d.shard = newShard(0, Dispatcher{Member: fmt.Sprintf("d%d", i), Incarnation: d.life}, limits, h.rng)
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

// ids mix ids that carry their time and ids that do not.
func (h *harness) newID() string {
	n := h.pick(6, "id")
	if n < 3 {
		return fmt.Sprintf("plain-%d", n)
	}
	ms := h.now.Add(-time.Duration(h.pick(3, "age")) * harnessWindow / 2).Truncate(20 * time.Second).UnixMilli()
	hex := fmt.Sprintf("%012x", ms)
	return fmt.Sprintf("%s-%s-7000-8000-00000000000%d", hex[:8], hex[8:], n)
}

func (h *harness) submit() {
	e := h.entries[h.pick(len(h.entries), "entry")]
	e.nonce++
	c := &fuzzCall{entry: e, state: callAsking, dispatcher: Dispatcher{Member: e.name, Incarnation: e.life, Nonce: e.nonce}}
	c.id = h.newID()
	c.deadline = h.now.Add(time.Duration(1+h.pick(4, "deadline")) * time.Second)
	if h.pick(12, "payload") == 0 {
		c.payload = 1
	}
	c.readOnly = h.pick(8, "read") == 0
	c.notRunBefore = !c.readOnly && h.promises(c.id)
	h.calls = append(h.calls, c)
	if !c.readOnly && h.pick(8, "refuse") == 0 {
		// The entry drains or has no room, and asks nobody.
		h.act(c, c.unconsulted(refuser.Draining))
		return
	}
	h.send(c)
}

// promises tells whether a caller promises that an id has not run: it sent it never, or was refused as not-run each time.
func (h *harness) promises(id string) bool {
	for _, c := range h.calls {
		refused := c.state == callFinished && c.refusal != nil && c.refusal.Fact == refuser.FactNotRun
		if c.id == id && !c.readOnly && !refused && h.broken != breakPromise {
			return false
		}
	}
	return true
}

func (h *harness) send(c *fuzzCall) {
	to := c.entry.view
	life := h.daemons[to].life
	h.mail = append(h.mail, func() { h.receiveClaim(to, life, c) })
}

func (h *harness) receiveClaim(to int, life uint64, c *fuzzCall) {
	d := h.daemons[to]
	if d.life != life {
		return
	}
	cl := claim{key: keyOf("w", c.id), issued: issuedMillis(c.id), dispatcher: c.dispatcher, deadline: c.deadline, readOnly: c.readOnly}
	cl.payload[0] = c.payload
	h.nextID++
	h.arrivals++
	arrival := h.arrivals
	d.waiting[h.nextID] = func(v verdict) {
		known := h.known(d)
		h.mail = append(h.mail, func() {
			c.known, c.late = known, arrival > known.arrivals
			h.receiveVerdict(c, v)
		})
	}
	id := h.nextID
	if h.broken == breakEarlyPermit {
		d.shard.submitClaim(h.now, id, cl)
		if _, waits := d.shard.tickets[id]; waits && d.shard.phase == phaseOpen {
			h.mail = append(h.mail, func() { h.receiveVerdict(c, verdict{kind: verdictPermit}) })
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
	if c.state != callAsking || c.entry.life != c.dispatcher.Incarnation {
		return
	}
	if c.readOnly && v.kind != verdictNotOwner {
		h.finishLooked(c, v)
		return
	}
	h.act(c, c.verdict(h.now, v))
}

func (h *harness) act(c *fuzzCall, d decision) {
	switch d.action {
	case actionAsk:
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
	target := c.entry.view
	life := h.daemons[target].life
	h.mail = append(h.mail, func() {
		d := h.daemons[target]
		if d.life != life {
			return
		}
		h.nextID++
		h.arrivals++
		arrival := h.arrivals
		d.waiting[h.nextID] = func(v verdict) {
			known := h.known(d)
			h.mail = append(h.mail, func() {
				c.known, c.late = known, arrival > known.arrivals
				h.receiveReceipt(c, v)
			})
		}
		d.shard.submitReport(h.now, h.nextID, report{
			key: keyOf("w", c.id), dispatcher: c.dispatcher, result: res, deadline: h.now.Add(time.Second),
		})
		h.collect(d)
	})
}

func (h *harness) receiveReceipt(c *fuzzCall, v verdict) {
	if c.state != callVoiding || c.entry.life != c.dispatcher.Incarnation {
		return
	}
	if v.kind == verdictRecorded {
		h.finishRefused(c, c.refusal)
	} else {
		h.finishRefused(c, refuser.New(refuser.OutcomeUncertain, ""))
	}
}

// known returns the last moment that a daemon can know of: now while it owns the shard, else when it was fenced.
func (h *harness) known(d *daemon) moment {
	if h.owns(d) {
		return h.moment()
	}
	return d.fence
}

func (h *harness) owns(d *daemon) bool {
	head, _, err := decodeHead(h.store.newest(d.shard.headKey()).value)
	return err == nil && head.Owner == d.shard.self.Member && head.Incarnation == d.shard.self.Incarnation
}

// apply makes a store call take effect, and notes the moment for a daemon that it fences.
func (h *harness) apply(call storeCall) storeResult {
	var owner *daemon
	for _, d := range h.daemons {
		if h.owns(d) {
			owner = d
		}
	}
	res := h.store.apply(call)
	if owner != nil && !h.owns(owner) {
		owner.fence = h.moment()
	}
	return res
}

func (h *harness) fault(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

func answerOf(id string, payload byte) []byte {
	return []byte(fmt.Sprintf("answer of %s/%d", id, payload))
}

func (h *harness) finishRan(c *fuzzCall, o Outcome) {
	c.state = callFinished
	if h.runs[c.id] != 1 {
		h.fault("%s: told ran, ran %d times", c.id, h.runs[c.id])
	}
	if string(o.Answer.Body) != string(answerOf(c.id, c.payload)) {
		h.fault("%s: got the answer %q", c.id, o.Answer.Body)
	}
}

func (h *harness) finishRefused(c *fuzzCall, r *refuser.Refusal) {
	c.state = callFinished
	c.refusal = r
	if r.Fact == refuser.FactRan && h.runs[c.id] != 1 {
		h.fault("%s: told ran by %s, ran %d times", c.id, r, h.runs[c.id])
	}
	if r.Fact != refuser.FactNotRun {
		return
	}
	if c.ran {
		h.fault("%s: told %s by a call that ran it", c.id, r)
	}
	if strings.Contains(r.Message, "could not be asked") {
		c.promised = true
		h.checkPromised(c)
		return
	}
	h.checkNotRun(c, r.Code.String())
}

// checkNotRun holds not-run against what had happened when the owner could still know; an owner that was fenced before
// it was asked cannot know anything.
func (h *harness) checkNotRun(c *fuzzCall, told string) {
	if c.late {
		h.fault("%s: told %s by an owner that was fenced before it was asked", c.id, told)
	}
	runs := c.known.payloads[request{c.id, c.payload}]
	if c.refusal == nil || c.refusal.Code != refuser.RequestIDReused {
		runs = c.known.runs[c.id]
	}
	if runs > 0 {
		h.fault("%s: told %s, had run %d times", c.id, told, runs)
	}
}

// checkPromised holds not-run on a promise against every call up to the one that was told: none of them ran or may run.
func (h *harness) checkPromised(told *fuzzCall) {
	for _, c := range h.calls[:slices.Index(h.calls, told)+1] {
		if c.id == told.id && c.ran {
			h.fault("%s: told %s, and an earlier call ran it", told.id, told.refusal)
		}
	}
}

// finishLooked ends a reading call; an id that is unknown is one that did not run.
func (h *harness) finishLooked(c *fuzzCall, v verdict) {
	c.state = callFinished
	o, err := got(v, c.id)
	if err == nil && !o.Running && (o.Fact == refuser.FactUnspecified || o.Fact == refuser.FactNotRun) {
		c.looked = true
		h.checkNotRun(c, "not-run on looking")
	}
}
