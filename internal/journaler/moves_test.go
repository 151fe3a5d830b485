package journaler

import (
	"slices"
	"strings"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

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
	for _, told := range h.calls[slices.Index(h.calls, c):] {
		if told.id == c.id && told.promised {
			h.fault("%s: ran after %s was told of a call after it", c.id, told.refusal)
		}
	}
	h.runs[c.id]++
	h.payloads[request{c.id, c.payload}]++
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
		h.apply(call)
		return storeResult{err: storer.ErrUncertain}
	case 2:
		h.late = append(h.late, call)
		return storeResult{err: storer.ErrUncertain}
	case 3:
		if past := h.store.objects[call.key]; call.typ == callGet && len(past) > 1 {
			return getResult(call.key, past[len(past)-1-h.pick(min(len(past), 4), "stale")])
		}
	}
	return h.apply(call)
}

func (h *harness) applyLate() {
	if len(h.late) > 0 {
		i := h.pick(len(h.late), "late")
		h.apply(h.late[i])
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
