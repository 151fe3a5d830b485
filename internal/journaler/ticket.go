package journaler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// ticketKind is what a waiting call waits for.
type ticketKind uint8

const (
	// waitOpen waits for the takeover.
	waitOpen ticketKind = iota
	// waitClaim waits until a claim is durable.
	waitClaim
	// waitOutcome waits for the outcome of another dispatcher's claim.
	waitOutcome
	// waitReport waits until a report is durable.
	waitReport
	// waitProof waits until a write proves that no other owner had taken the shard when the verdict was requested.
	waitProof
)

// ticket is a waiting call.
type ticket struct {
	id       uint64
	kind     ticketKind
	key      Key
	claim    *claim
	report   *report
	change   uint32
	deadline time.Time
	// verdict is the verdict to give once the write with the number commit has taken effect.
	verdict verdict
	commit  uint64
}

// reply ends a call.
type reply struct {
	ticket  uint64
	verdict verdict
}

// takeReplies returns the verdicts given since the last call.
func (s *shard) takeReplies() []reply {
	r := s.replies
	s.replies = nil
	return r
}

func (s *shard) answer(id uint64, v verdict) {
	s.replies = append(s.replies, reply{ticket: id, verdict: v})
}

func (s *shard) addTicket(now time.Time, t *ticket) {
	if len(s.tickets) >= s.limits.MaxWaiting {
		s.answer(t.id, verdict{kind: verdictBusy})
		if t.kind == waitClaim {
			s.voidAndRetryDuplicates(now, t)
		}
		return
	}
	s.tickets[t.id] = t
	s.byKey[t.key] = append(s.byKey[t.key], t)
	if s.earliestDeadline.IsZero() || t.deadline.Before(s.earliestDeadline) {
		s.earliestDeadline = t.deadline
	}
}

func (s *shard) finish(t *ticket, v verdict) {
	s.remove(t)
	s.answer(t.id, v)
}

func (s *shard) remove(t *ticket) {
	delete(s.tickets, t.id)
	rest := slices.DeleteFunc(s.byKey[t.key], func(o *ticket) bool { return o == t })
	if len(rest) == 0 {
		delete(s.byKey, t.key)
		return
	}
	s.byKey[t.key] = rest
}

// sortedTickets returns the waiting calls in the order of their arrival.
func (s *shard) sortedTickets() []*ticket {
	return slices.SortedFunc(maps.Values(s.tickets), func(a, b *ticket) int { return cmp.Compare(a.id, b.id) })
}

// cancelCall drops a call whose caller is gone.
func (s *shard) cancelCall(now time.Time, id uint64) {
	t, ok := s.tickets[id]
	if !ok {
		return
	}
	s.remove(t)
	if t.kind == waitClaim {
		s.voidAndRetryDuplicates(now, t)
	}
}

// submitClaim handles a claim; the verdict comes with the ticket's number, at most voidGrace after the claim's deadline.
func (s *shard) submitClaim(now time.Time, id uint64, c claim) {
	switch {
	case !s.wanted:
		s.answer(id, verdict{kind: verdictNotOwner})
		return
	case s.phase != phaseOpen && s.outage(now):
		s.answer(id, verdict{kind: verdictNotLoaded})
		return
	case s.phase != phaseOpen:
		s.addTicket(now, &ticket{id: id, kind: waitOpen, key: c.key, claim: &c, deadline: c.deadline})
		return
	}
	if s.outage(now) && !c.readOnly {
		r, ok := s.table.records[c.key]
		if (!ok || r.state == stateNotRun) && s.table.ageVerdict(millis(now), c.issued) == verdictNone {
			s.answer(id, verdict{kind: verdictStoreDown})
			return
		}
	}
	step, v, changed := s.table.claim(now, c)
	r := s.table.records[c.key]
	if changed {
		s.stats.Claims++
		s.markDirty(now, c.key, r, true)
	}
	switch step {
	case stepAnswer:
		s.answerOnceProven(now, &ticket{id: id, key: c.key, claim: &c, deadline: c.deadline}, v)
	case stepAwaitOutcome:
		s.addTicket(now, &ticket{id: id, kind: waitOutcome, key: c.key, claim: &c, deadline: c.deadline})
	case stepAwaitDurable:
		if r.storedChanges >= r.changes {
			r.granted = true
			s.answer(id, verdict{kind: verdictPermit})
			return
		}
		s.addTicket(now, &ticket{id: id, kind: waitClaim, key: c.key, claim: &c, change: r.changes, deadline: c.deadline})
	}
}

// submitReport handles an outcome; verdictRecorded says that it is durable.
func (s *shard) submitReport(now time.Time, id uint64, rep report) {
	switch {
	case !s.wanted:
		s.answer(id, verdict{kind: verdictNotOwner})
		return
	case s.phase != phaseOpen:
		s.addTicket(now, &ticket{id: id, kind: waitOpen, key: rep.key, report: &rep, deadline: rep.deadline})
		return
	}
	v, changed := s.table.report(rep)
	if v != verdictNone {
		s.answer(id, verdict{kind: v})
		return
	}
	r := s.table.records[rep.key]
	if changed {
		s.stats.Outcomes++
		s.markDirty(now, rep.key, r, r.state == stateNotRun)
	}
	switch {
	case r.storedChanges < r.changes:
		s.addTicket(now, &ticket{id: id, kind: waitReport, key: rep.key, report: &rep, change: r.changes, deadline: rep.deadline})
	case r.state == stateNotRun:
		s.answerOnceProven(now, &ticket{id: id, key: rep.key, report: &rep, deadline: rep.deadline}, verdict{kind: verdictRecorded})
	default:
		s.answer(id, verdict{kind: verdictRecorded})
	}
	if changed {
		s.retryDuplicates(now, rep.key)
	}
}

// impliesNotRun reports whether a caller may conclude from a verdict that the request has not run.
func (v verdict) impliesNotRun() bool {
	switch v.kind {
	case verdictVoided, verdictReused, verdictFuture, verdictFull, verdictUnknown, verdictRecorded:
		return true
	case verdictOutcome:
		return v.result.fact == refuser.FactNotRun
	}
	return false
}

// answerOnceProven gives a verdict, but one that implies not-run only once a write that starts later has taken effect:
// until then another owner may have taken the shard and let the request run.
func (s *shard) answerOnceProven(now time.Time, t *ticket, v verdict) {
	switch {
	case s.memoryOnly || !v.impliesNotRun():
		s.answer(t.id, v)
	case s.outage(now):
		s.answer(t.id, verdict{kind: verdictNotLoaded})
	default:
		s.awaitProof(now, t, v, s.head.Commit+1)
	}
}

func (s *shard) awaitProof(now time.Time, t *ticket, v verdict, commit uint64) {
	t.kind = waitProof
	t.verdict = v
	t.commit = commit
	s.waitingForProof = append(s.waitingForProof, t)
	s.addTicket(now, t)
}

// answerProofs gives the verdicts that waited for a write up to the number commit.
func (s *shard) answerProofs(commit uint64) {
	if len(s.waitingForProof) == 0 {
		return
	}
	waiting := s.waitingForProof
	s.waitingForProof = nil
	for _, t := range waiting {
		switch {
		case s.tickets[t.id] != t:
		case t.commit > commit:
			s.waitingForProof = append(s.waitingForProof, t)
		default:
			s.finish(t, t.verdict)
		}
	}
}

// retryDuplicates claims again for the calls that wait for the outcome of an id, since its record has changed.
func (s *shard) retryDuplicates(now time.Time, key Key) {
	for _, t := range slices.Clone(s.byKey[key]) {
		if t.kind == waitOutcome {
			s.remove(t)
			s.submitClaim(now, t.id, *t.claim)
		}
	}
}

// settleTickets answers the calls whose changes are now stored.
func (s *shard) settleTickets(now time.Time, key Key) {
	r := s.table.records[key]
	for _, t := range slices.Clone(s.byKey[key]) {
		if t.kind != waitClaim && t.kind != waitReport {
			continue
		}
		switch {
		case r == nil:
			s.finish(t, verdict{kind: verdictNotOwner})
		case r.storedChanges < t.change:
		case t.kind == waitReport:
			s.finish(t, verdict{kind: verdictRecorded})
		case r.state != stateClaimed || r.dispatcher != t.claim.dispatcher:
			s.finish(t, verdict{kind: verdictVoided})
		case !now.Before(t.deadline):
			s.voidAndRetryDuplicates(now, t)
			s.finish(t, verdict{kind: verdictVoided})
		default:
			r.granted = true
			s.finish(t, verdict{kind: verdictPermit})
		}
	}
}

// voidAndRetryDuplicates voids the claim of a call that gets no permit, and lets waiting duplicates claim again. It
// returns whether the claim could be voided.
func (s *shard) voidAndRetryDuplicates(now time.Time, t *ticket) bool {
	if !s.voidClaim(t) {
		return false
	}
	s.markDirty(now, t.key, s.table.records[t.key], false)
	s.retryDuplicates(now, t.key)
	return true
}

func (s *shard) voidClaim(t *ticket) bool {
	r, ok := s.table.records[t.key]
	if !ok || r.dispatcher != t.claim.dispatcher || !s.table.void(r) {
		return false
	}
	s.stats.Voided++
	return true
}

// expireTickets ends the calls whose deadline has passed.
func (s *shard) expireTickets(now time.Time) {
	if s.earliestDeadline.IsZero() || now.Before(s.earliestDeadline) {
		return
	}
	s.earliestDeadline = time.Time{}
	for _, t := range s.sortedTickets() {
		if now.Before(t.deadline) {
			if s.earliestDeadline.IsZero() || t.deadline.Before(s.earliestDeadline) {
				s.earliestDeadline = t.deadline
			}
			continue
		}
		if s.tickets[t.id] == t {
			s.expireTicket(now, t)
		}
	}
}

func (s *shard) expireTicket(now time.Time, t *ticket) {
	switch t.kind {
	case waitOpen:
		s.finish(t, verdict{kind: verdictNotLoaded})
	case waitOutcome:
		s.finish(t, verdict{kind: verdictRunning})
	case waitReport, waitProof:
		s.finish(t, verdict{kind: verdictNotLoaded})
	case waitClaim:
		s.finishWithoutPermit(now, t)
	}
}

// finishWithoutPermit refuses a call whose claim is not known to be durable. Unless its dispatcher may already have the
// permit, the claim is voided, and the call receives verdictVoided once a write proves it.
func (s *shard) finishWithoutPermit(now time.Time, t *ticket) {
	s.remove(t)
	switch {
	case !s.voidAndRetryDuplicates(now, t) && !s.isVoided(t):
		s.answer(t.id, verdict{kind: verdictRunning})
	case s.outage(now):
		s.answer(t.id, verdict{kind: verdictStoreDown})
	default:
		t.deadline = now.Add(voidGrace)
		s.awaitProof(now, t, verdict{kind: verdictVoided}, s.commitNumberFor(t))
	}
}

// commitNumberFor returns the number of the write in progress if it holds the call's claim, else of the next one.
func (s *shard) commitNumberFor(t *ticket) uint64 {
	holds := func(c change) bool { return c.key == t.key && c.count >= t.change }
	if s.commit != nil && slices.ContainsFunc(s.commit.batch, holds) {
		return s.commit.head.Commit
	}
	return s.head.Commit + 1
}

func (s *shard) isVoided(t *ticket) bool {
	r, ok := s.table.records[t.key]
	return ok && r.state == stateNotRun && r.dispatcher == t.claim.dispatcher
}

// refuseInOutage ends the calls that wait for the store once it has failed for at least OutageGrace.
func (s *shard) refuseInOutage(now time.Time) {
	if !s.outage(now) {
		return
	}
	for _, t := range s.sortedTickets() {
		if s.tickets[t.id] != t {
			continue
		}
		switch {
		case t.kind == waitClaim:
			s.finishWithoutPermit(now, t)
		case t.kind == waitProof, t.kind == waitOpen && t.claim != nil:
			s.finish(t, verdict{kind: verdictNotLoaded})
		}
	}
}
