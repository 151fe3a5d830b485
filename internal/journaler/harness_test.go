package journaler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
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
	// runs is what the oracle's target did, by request id.
	runs   map[string]int
	faults []string
}

type daemon struct {
	shard   *shard
	life    uint64
	pending *storeCall
	waiting map[uint64]func(verdict)
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
	// seen is how often the id had run when the owner gave its verdict; stale is true where that owner was fenced unknowingly.
	seen  int
	stale bool
}

type version struct {
	value   []byte
	version uint64
}

type fuzzStore struct {
	objects  map[string][]version
	revision uint64
	ignore   bool
}

func (st *fuzzStore) newest(key string) version {
	h := st.objects[key]
	if len(h) == 0 {
		return version{}
	}
	return h[len(h)-1]
}

func (st *fuzzStore) apply(c storeCall) storeResult {
	cur := st.newest(c.key)
	if c.typ == callGet {
		return getResult(c.key, cur)
	}
	if cur.version != c.expected && !st.ignore {
		return storeResult{err: storer.ErrConflict}
	}
	if len(c.value) > storer.MaxValueBytes {
		return storeResult{err: storer.ErrTooLarge}
	}
	st.revision++
	next := version{value: c.value, version: st.revision}
	if c.typ == callDelete {
		next = version{}
	}
	st.objects[c.key] = append(st.objects[c.key], next)
	return storeResult{version: st.revision}
}

func getResult(key string, v version) storeResult {
	if v.version == 0 {
		return storeResult{err: storer.ErrNotFound}
	}
	return storeResult{object: storer.Object{Key: key, Value: v.value, Version: v.version}}
}

func newHarness(p pick, broken breakage) *harness {
	h := &harness{
		pick:   p,
		broken: broken,
		now:    time.UnixMilli(1_700_000_000_000),
		rng:    rand.New(rand.NewPCG(1, 2)),
		store:  &fuzzStore{objects: map[string][]version{}, ignore: broken == breakConditions},
		runs:   map[string]int{},
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
	limits.SealBytes = 400
	limits.SegmentBytes = 900
	limits.ForgetBatch = 3
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
	h.calls = append(h.calls, c)
	h.send(c)
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
	cl := claim{key: keyOf("w", c.id), issued: issuedMillis(c.id), dispatcher: c.dispatcher, deadline: c.deadline}
	cl.payload[0] = c.payload
	h.nextID++
	d.waiting[h.nextID] = func(v verdict) {
		seen, stale := h.runs[c.id], h.stale(d)
		h.mail = append(h.mail, func() {
			c.seen, c.stale = seen, stale
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
		d.waiting[h.nextID] = func(v verdict) {
			seen, stale := h.runs[c.id], h.stale(d)
			h.mail = append(h.mail, func() {
				c.seen, c.stale = seen, stale
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

// stale tells whether another daemon fenced this one without its knowledge.
func (h *harness) stale(d *daemon) bool {
	head, _, err := decodeHead(h.store.newest(d.shard.headKey()).value)
	return err != nil || head.Owner != d.shard.self.Member || head.Incarnation != d.shard.self.Incarnation
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
	// Another payload under the id may have run, and an owner that is cut off cannot know a successor's claims.
	if r.Code != refuser.RequestIDReused && !c.stale && c.seen > 0 {
		h.fault("%s: told %s, had run %d times", c.id, r, c.seen)
	}
}

// finishRun ends a run in one of the ways that a target can.
func (h *harness) finishRun() {
	running := h.in(callRunning)
	if len(running) == 0 {
		return
	}
	c := running[h.pick(len(running), "run")]
	switch h.pick(4, "how") {
	case 0, 1:
		h.run(c)
		body := answerOf(c.id, c.payload)
		h.report(c, result{fact: refuser.FactRan, answer: body, kept: true, keepUntil: millis(h.now.Add(time.Hour))})
		h.finishRan(c, Outcome{Answer: Answer{Body: body}})
	case 2:
		if h.pick(2, "effect") == 0 {
			h.run(c)
		}
		if h.broken == breakEagerNotRun {
			h.report(c, result{fact: refuser.FactNotRun})
			h.finishRefused(c, refuser.New(refuser.TargetRefused, ""))
			return
		}
		h.report(c, result{fact: refuser.FactMayHaveRun})
		h.finishRefused(c, refuser.New(refuser.TargetFailed, ""))
	case 3:
		c.state = callVoiding
		c.refusal = refuser.New(refuser.TargetRefused, "")
		h.report(c, result{fact: refuser.FactNotRun})
	}
}

func (h *harness) run(c *fuzzCall) {
	c.ran = true
	h.runs[c.id]++
	if h.runs[c.id] > 1 {
		h.fault("%s: ran %d times", c.id, h.runs[c.id])
	}
}

func (h *harness) in(state callState) []*fuzzCall {
	var out []*fuzzCall
	for _, c := range h.calls {
		if c.state == state && c.entry.life == c.dispatcher.Incarnation {
			out = append(out, c)
		}
	}
	return out
}

// deliver passes on, drops or doubles one message, in any order.
func (h *harness) deliver() {
	if len(h.mail) == 0 {
		return
	}
	i := h.pick(min(len(h.mail), 4), "message")
	m := h.mail[i]
	how := h.pick(16, "fate")
	if how != 1 {
		h.mail = append(h.mail[:i:i], h.mail[i+1:]...)
	}
	if how != 0 {
		m()
	}
}

func (h *harness) resend() {
	if asking := h.in(callAsking); len(asking) > 0 {
		h.send(asking[h.pick(len(asking), "call")])
	}
}

func (h *harness) tick() {
	h.now = h.now.Add(time.Duration(1+h.pick(100, "tick")) * time.Millisecond)
	h.giveUp()
}

// leap lets long time pass.
func (h *harness) leap() {
	steps := []time.Duration{time.Second, 3 * time.Second, harnessWindow / 2}
	h.now = h.now.Add(steps[h.pick(len(steps), "leap")])
	h.giveUp()
}

func (h *harness) giveUp() {
	for _, c := range append(h.in(callAsking), h.in(callVoiding)...) {
		if h.now.After(c.deadline.Add(2 * time.Second)) {
			if c.state == callVoiding {
				h.finishRefused(c, refuser.New(refuser.OutcomeUncertain, ""))
			} else {
				h.act(c, c.giveUp(refuser.DeadlineExceeded))
			}
		}
	}
}

// storeStep lets one daemon make or finish a store call, with a fault or without.
func (h *harness) storeStep() {
	var busy []*daemon
	for _, d := range h.daemons {
		if d.pending != nil || d.shard.wanted {
			busy = append(busy, d)
		}
	}
	if len(busy) == 0 {
		return
	}
	d := busy[h.pick(len(busy), "daemon")]
	if d.pending == nil {
		if call, ok, _ := d.shard.next(h.now); ok {
			d.pending = &call
		}
		h.collect(d)
		return
	}
	call := *d.pending
	d.pending = nil
	res := h.fate(call)
	d.shard.done(h.now, call, res)
	if h.broken == breakForgetClaims && d.shard.phase == phaseOpen && call.purpose != purposeCommit {
		for key, r := range d.shard.table.records {
			if r.granted && r.state == stateClaimed && len(d.shard.byKey[key]) == 0 {
				delete(d.shard.table.records, key)
			}
		}
	}
	h.collect(d)
}

func (h *harness) fate(call storeCall) storeResult {
	switch h.pick(16, "store") {
	case 0:
		return storeResult{err: storer.ErrUnavailable}
	case 1:
		h.store.apply(call)
		return storeResult{err: storer.ErrUncertain}
	case 2:
		h.late = append(h.late, call)
		return storeResult{err: storer.ErrUncertain}
	case 3:
		if past := h.store.objects[call.key]; call.typ == callGet && len(past) > 1 {
			return getResult(call.key, past[len(past)-1-h.pick(min(len(past), 4), "stale")])
		}
	}
	return h.store.apply(call)
}

func (h *harness) applyLate() {
	if len(h.late) > 0 {
		i := h.pick(len(h.late), "late")
		h.store.apply(h.late[i])
		h.late = append(h.late[:i:i], h.late[i+1:]...)
	}
}

func (h *harness) kill() {
	i := h.pick(len(h.daemons), "daemon")
	if p := h.daemons[i].pending; p != nil {
		h.late = append(h.late, *p)
	}
	wanted := h.daemons[i].shard.wanted
	h.start(i)
	h.daemons[i].shard.want(h.now, wanted)
}

func (h *harness) killEntry() {
	e := h.entries[h.pick(len(h.entries), "entry")]
	for _, c := range h.in(callRunning) {
		if c.entry == e && h.pick(2, "effect") == 0 {
			h.run(c)
		}
	}
	e.dead[e.life] = true
	e.life++
	e.nonce = 0
}

func (h *harness) suspectEntry() {
	e := h.entries[h.pick(len(h.entries), "entry")]
	e.dead[e.life] = !e.dead[e.life]
}

// handover makes another daemon the owner; the old one and the entries may or may not hear of it.
func (h *harness) handover() {
	next := h.pick(len(h.daemons), "owner")
	for i, d := range h.daemons {
		if i == next {
			d.shard.want(h.now, true)
		} else if h.pick(2, "hears") == 0 {
			d.shard.want(h.now, false)
		}
		h.collect(d)
	}
	for _, e := range h.entries {
		if h.pick(4, "hears") > 0 {
			e.view = next
		}
	}
}

type move struct {
	name   string
	weight int
	do     func()
}

func (h *harness) moves() []move {
	return []move{
		{"submit", 6, h.submit},
		{"deliver", 24, h.deliver},
		{"store", 36, h.storeStep},
		{"finish run", 8, h.finishRun},
		{"resend", 4, h.resend},
		{"tick", 24, h.tick},
		{"leap", 1, h.leap},
		{"late", 2, h.applyLate},
		{"kill", 1, h.kill},
		{"kill entry", 1, h.killEntry},
		{"suspect entry", 1, h.suspectEntry},
		{"handover", 2, h.handover},
	}
}

// step makes one move, drawn by weight.
func (h *harness) step() {
	total := 0
	for _, m := range h.moves() {
		total += m.weight
	}
	n := h.pick(total, "move")
	for _, m := range h.moves() {
		if n < m.weight {
			m.do()
			return
		}
		n -= m.weight
	}
}

func (h *harness) verdictText() string { return strings.Join(h.faults, "; ") }
