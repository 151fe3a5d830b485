package journaler

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// action is the next step of an entry for a call.
type action uint8

const (
	// actionSendClaim sends the claim again, possibly to another owner.
	actionSendClaim action = iota
	// actionRun uses the permit.
	actionRun
	// actionAnswer ends the call with an outcome.
	actionAnswer
	// actionRefuse ends the call with a refusal.
	actionRefuse
	// actionVoid reports not-run and then refuses, as not-run only if the report is recorded.
	actionVoid
)

type decision struct {
	action  action
	outcome Outcome
	refusal *refuser.Refusal
}

// storeRetryAfter is the retry delay that clients receive while the store is down.
const storeRetryAfter = 2 * time.Second

// call is an entry's side of one claim: it turns verdicts and time into decisions. Only the call may use the permit, once.
type call struct {
	id       string
	deadline time.Time
	// notRunBefore is true where no earlier call with the id has run or may still run.
	notRunBefore bool
	// permitSpent is true once the permit is used or abandoned; no run begins afterwards.
	permitSpent bool
}

func refuse(r *refuser.Refusal) decision { return decision{action: actionRefuse, refusal: r} }

// decide returns the decision that follows from the owner's verdict.
func (c *call) decide(now time.Time, v verdict) decision {
	switch v.kind {
	case verdictPermit:
		return c.decidePermit(now)
	case verdictNotOwner:
		return decision{action: actionSendClaim}
	}
	c.permitSpent = true
	switch v.kind {
	case verdictOutcome:
		return c.decideOutcome(v.result)
	case verdictRunning:
		return refuse(refuser.New(refuser.AlreadyRunning, "request id %q", c.id))
	case verdictVoided:
		return c.decideVoided(now)
	case verdictReused:
		return refuse(refuser.New(refuser.RequestIDReused, "request id %q", c.id))
	case verdictExpired:
		return refuse(refuser.New(refuser.RequestIDExpired, "request id %q", c.id))
	case verdictFuture:
		return refuse(refuser.New(refuser.MalformedRequest, "the time within request id %q is in the future", c.id))
	case verdictFull:
		return refuse(refuser.New(refuser.QueueFull, "the journal shard of request id %q is full", c.id).WithRetryAfter(storeRetryAfter))
	case verdictBusy:
		return c.refuseWithoutVerdict(refuser.QueueFull)
	case verdictBoundElsewhere:
		return refuse(refuser.New(refuser.BoundElsewhere, "request id %q", c.id))
	}
	return c.refuseWithoutVerdict(refuser.StoreUnavailable)
}

func (c *call) decidePermit(now time.Time) decision {
	if c.permitSpent {
		return refuse(refuser.New(refuser.AlreadyRunning, "request id %q", c.id))
	}
	c.permitSpent = true
	if !now.Before(c.deadline) {
		return decision{action: actionVoid, refusal: refuser.New(refuser.DeadlineExceeded, "the permit came after the deadline")}
	}
	return decision{action: actionRun}
}

func (c *call) decideOutcome(r result) decision {
	switch {
	case r.fact == refuser.FactRan && r.kept:
		return decision{action: actionAnswer, outcome: r.outcome()}
	case r.fact == refuser.FactRan:
		return refuse(refuser.New(refuser.AlreadyRan, "request id %q", c.id).WithDigest(r.digest[:]))
	}
	return refuse(refuser.New(refuser.OutcomeUncertain, "request id %q was claimed before and its outcome is not known", c.id))
}

func (c *call) decideVoided(now time.Time) decision {
	if !now.Before(c.deadline) {
		return refuse(refuser.New(refuser.DeadlineExceeded, "before the claim was recorded"))
	}
	return refuse(refuser.New(refuser.StoreUnavailable, "the claim was not recorded in time").WithRetryAfter(storeRetryAfter))
}

// abandon ends a call that received no verdict.
func (c *call) abandon(code refuser.Code) decision {
	c.permitSpent = true
	return c.refuseWithoutVerdict(code)
}

// refuseWithoutVerdict refuses a call, which then runs nothing itself. Without a verdict an earlier call with the id may
// have run, unless the client has ruled that out.
func (c *call) refuseWithoutVerdict(code refuser.Code) decision {
	r := refuser.New(code, "the journal could not be asked about request id %q; the same id may be sent again", c.id)
	return refuse(r.WithFact(c.factWithoutVerdict()).WithRetryAfter(storeRetryAfter))
}

// factWithoutVerdict returns the fact about the id when this call runs nothing and the journal gave no verdict.
func (c *call) factWithoutVerdict() refuser.Fact {
	if c.notRunBefore {
		return refuser.FactNotRun
	}
	return refuser.FactMayHaveRun
}
