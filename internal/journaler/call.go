package journaler

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// action is what an entry does next about a call.
type action uint8

const (
	// actionAsk sends the claim, again or to another owner.
	actionAsk action = iota
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

// storeRetryAfter is what callers are told while the store is down.
const storeRetryAfter = 2 * time.Second

// call is an entry's side of one claim: verdicts and time go in, decisions come out. It alone may use the permit, once.
type call struct {
	id       string
	deadline time.Time
	// notRunBefore is true where no earlier call with the id has run or may still run.
	notRunBefore bool
	// used is true once the permit is used or given up; no run begins afterwards.
	used bool
}

func refuse(r *refuser.Refusal) decision { return decision{action: actionRefuse, refusal: r} }

// verdict decides about the owner's answer.
func (c *call) verdict(now time.Time, v verdict) decision {
	switch v.kind {
	case verdictPermit:
		return c.permit(now)
	case verdictNotOwner:
		return decision{action: actionAsk}
	}
	c.used = true
	switch v.kind {
	case verdictKnown:
		return c.known(v.result)
	case verdictRunning:
		return refuse(refuser.New(refuser.AlreadyRunning, "request id %q", c.id))
	case verdictVoided:
		return c.voided(now)
	case verdictReused:
		return refuse(refuser.New(refuser.RequestIDReused, "request id %q", c.id))
	case verdictExpired:
		return refuse(refuser.New(refuser.RequestIDExpired, "request id %q", c.id))
	case verdictFuture:
		return refuse(refuser.New(refuser.MalformedRequest, "the time within request id %q is in the future", c.id))
	case verdictFull:
		return refuse(refuser.New(refuser.QueueFull, "the journal shard of request id %q is full", c.id).WithRetryAfter(storeRetryAfter))
	case verdictBusy:
		return c.unconsulted(refuser.QueueFull)
	case verdictBoundElsewhere:
		return refuse(refuser.New(refuser.BoundElsewhere, "request id %q", c.id))
	}
	return c.unconsulted(refuser.StoreUnavailable)
}

func (c *call) permit(now time.Time) decision {
	if c.used {
		return refuse(refuser.New(refuser.AlreadyRunning, "request id %q", c.id))
	}
	c.used = true
	if !now.Before(c.deadline) {
		return decision{action: actionVoid, refusal: refuser.New(refuser.DeadlineExceeded, "the permit came after the deadline")}
	}
	return decision{action: actionRun}
}

func (c *call) known(r result) decision {
	switch {
	case r.fact == refuser.FactRan && r.kept:
		return decision{action: actionAnswer, outcome: r.outcome()}
	case r.fact == refuser.FactRan:
		return refuse(refuser.New(refuser.AlreadyRan, "request id %q", c.id).WithDigest(r.digest[:]))
	}
	return refuse(refuser.New(refuser.OutcomeUncertain, "request id %q was claimed before and its outcome is not known", c.id))
}

func (c *call) voided(now time.Time) decision {
	if !now.Before(c.deadline) {
		return refuse(refuser.New(refuser.DeadlineExceeded, "before the claim was recorded"))
	}
	return refuse(refuser.New(refuser.StoreUnavailable, "the claim was not recorded in time").WithRetryAfter(storeRetryAfter))
}

// giveUp ends a call that got no verdict.
func (c *call) giveUp(code refuser.Code) decision {
	c.used = true
	return c.unconsulted(code)
}

// unconsulted refuses a call whose id may have run before, unless that is known, as nobody who knows could be asked. The
// call itself runs nothing.
func (c *call) unconsulted(code refuser.Code) decision {
	r := refuser.New(code, "the journal could not be asked about request id %q; the same id may be sent again", c.id)
	return refuse(r.WithFact(c.fact()).WithRetryAfter(storeRetryAfter))
}

// fact is what is known of the id where this call runs nothing and the journal says nothing.
func (c *call) fact() refuser.Fact {
	if c.notRunBefore {
		return refuser.FactNotRun
	}
	return refuser.FactMayHaveRun
}
