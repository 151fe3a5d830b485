package journaler

import (
	"slices"
	"strings"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// finishRun ends a run with one of the possible results of a target.
func (h *harness) finishRun() {
	running := h.liveCalls(callRunning)
	if len(running) == 0 {
		return
	}
	c := running[h.draw(len(running), "run")]
	switch h.draw(4, "how") {
	case 0, 1:
		h.run(c)
		body := answerOf(c.id, c.payload)
		h.report(c, result{fact: refuser.FactRan, answer: body, kept: true, keepUntil: millis(h.now.Add(time.Hour))})
		h.finishRan(c, Outcome{Answer: Answer{Body: body}})
	case 2:
		if h.draw(2, "effect") == 0 {
			h.run(c)
		}
		if h.broken == breakAssumeNotRun {
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
	for _, refused := range h.calls[slices.Index(h.calls, c):] {
		if refused.id == c.id && refused.refusedOnPromise {
			h.addFault("%s: ran after a later call was refused with %s", c.id, refused.refusal)
		}
	}
	h.runs[c.id]++
	h.payloads[request{c.id, c.payload}]++
	if h.runs[c.id] > 1 {
		h.addFault("%s: ran %d times", c.id, h.runs[c.id])
	}
}

func (h *harness) liveCalls(state callState) []*fuzzCall {
	var out []*fuzzCall
	for _, c := range h.calls {
		if c.state == state && c.entry.incarnation == c.dispatcher.Incarnation {
			out = append(out, c)
		}
	}
	return out
}

// deliver delivers, drops or duplicates one message, in any order.
func (h *harness) deliver() {
	if len(h.messages) == 0 {
		return
	}
	i := h.draw(min(len(h.messages), 4), "message")
	m := h.messages[i]
	how := h.draw(16, "fate")
	if how != 1 {
		h.messages = append(h.messages[:i:i], h.messages[i+1:]...)
	}
	if how != 0 {
		m()
	}
}

func (h *harness) resend() {
	if asking := h.liveCalls(callAsking); len(asking) > 0 {
		h.send(asking[h.draw(len(asking), "call")])
	}
}

func (h *harness) tick() {
	h.now = h.now.Add(time.Duration(1+h.draw(100, "tick")) * time.Millisecond)
	h.abandonOverdue()
}

// skipAhead lets a long time pass.
func (h *harness) skipAhead() {
	steps := []time.Duration{time.Second, 3 * time.Second, harnessWindow / 2}
	h.now = h.now.Add(steps[h.draw(len(steps), "leap")])
	h.abandonOverdue()
}

func (h *harness) abandonOverdue() {
	for _, c := range append(h.liveCalls(callAsking), h.liveCalls(callVoiding)...) {
		if h.now.After(c.deadline.Add(2 * time.Second)) {
			if c.state == callVoiding {
				h.finishRefused(c, refuser.New(refuser.OutcomeUncertain, ""))
			} else {
				h.perform(c, c.abandon(refuser.DeadlineExceeded))
			}
		}
	}
}

// storeStep lets one daemon make or finish a store call, with or without a fault.
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
	d := busy[h.draw(len(busy), "daemon")]
	if d.pending == nil {
		if call, ok, _ := d.shard.next(h.now); ok {
			d.pending = &call
		}
		h.collect(d)
		return
	}
	call := *d.pending
	d.pending = nil
	res := h.applyWithFault(call)
	d.shard.handleStoreResult(h.now, call, res)
	if h.broken == breakDropClaims && d.shard.phase == phaseOpen && call.purpose != purposeCommit {
		for key, r := range d.shard.table.records {
			if r.granted && r.state == stateClaimed && len(d.shard.byKey[key]) == 0 {
				delete(d.shard.table.records, key)
			}
		}
	}
	h.collect(d)
}

func (h *harness) applyWithFault(call storeCall) storeResult {
	switch h.draw(16, "store") {
	case 0:
		return storeResult{err: storer.ErrUnavailable}
	case 1:
		h.apply(call)
		return storeResult{err: storer.ErrUncertain}
	case 2:
		h.delayedCalls = append(h.delayedCalls, call)
		return storeResult{err: storer.ErrUncertain}
	case 3:
		if history := h.store.objects[call.key]; call.typ == callGet && len(history) > 1 {
			return getResult(call.key, history[len(history)-1-h.draw(min(len(history), 4), "stale")])
		}
	}
	return h.apply(call)
}

func (h *harness) applyDelayed() {
	if len(h.delayedCalls) > 0 {
		i := h.draw(len(h.delayedCalls), "late")
		h.apply(h.delayedCalls[i])
		h.delayedCalls = append(h.delayedCalls[:i:i], h.delayedCalls[i+1:]...)
	}
}

func (h *harness) kill() {
	i := h.draw(len(h.daemons), "daemon")
	if p := h.daemons[i].pending; p != nil {
		h.delayedCalls = append(h.delayedCalls, *p)
	}
	wanted := h.daemons[i].shard.wanted
	h.start(i)
	h.daemons[i].shard.setWanted(h.now, wanted)
}

func (h *harness) killEntry() {
	e := h.entries[h.draw(len(h.entries), "entry")]
	for _, c := range h.liveCalls(callRunning) {
		if c.entry == e && h.draw(2, "effect") == 0 {
			h.run(c)
		}
	}
	e.dead[e.incarnation] = true
	e.incarnation++
	e.nonce = 0
}

func (h *harness) suspectEntry() {
	e := h.entries[h.draw(len(h.entries), "entry")]
	e.dead[e.incarnation] = !e.dead[e.incarnation]
}

// handover makes another daemon the owner; the old one and the entries may or may not learn of it.
func (h *harness) handover() {
	next := h.draw(len(h.daemons), "owner")
	for i, d := range h.daemons {
		if i == next {
			d.shard.setWanted(h.now, true)
		} else if h.draw(2, "hears") == 0 {
			d.shard.setWanted(h.now, false)
		}
		h.collect(d)
	}
	for _, e := range h.entries {
		if h.draw(4, "hears") > 0 {
			e.ownerView = next
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
		{"leap", 1, h.skipAhead},
		{"late", 2, h.applyDelayed},
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
	n := h.draw(total, "move")
	for _, m := range h.moves() {
		if n < m.weight {
			m.do()
			return
		}
		n -= m.weight
	}
}

func (h *harness) faultText() string { return strings.Join(h.faults, "; ") }
