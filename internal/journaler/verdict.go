package journaler

import (
	"github.com/rattantray/rattantray/pkg/refuser"
)

// verdictKind is the owner's answer to a claim or a report; its values are sent between daemons.
type verdictKind uint32

const (
	verdictNone verdictKind = iota
	// verdictPermit allows the dispatcher named in the claim to run the request once.
	verdictPermit
	// verdictOutcome gives the outcome of the request.
	verdictOutcome
	// verdictRunning says that another dispatcher holds the claim and may still report.
	verdictRunning
	// verdictVoided says that this claim was recorded as not-run and will get no permit.
	verdictVoided
	// verdictReused says that the id was used with another payload.
	verdictReused
	// verdictExpired says that the id is older than the journal's window.
	verdictExpired
	// verdictFuture says that the time within the id is in the future.
	verdictFuture
	// verdictFull says that the shard has no capacity for another id.
	verdictFull
	// verdictStoreDown says that the owner has no record of the id and the store accepts no claim; a successor may have one.
	verdictStoreDown
	// verdictNotLoaded says that the owner has no proven answer, as while the store is down or the shard is not loaded.
	verdictNotLoaded
	// verdictNotOwner says that another daemon must be asked.
	verdictNotOwner
	// verdictRecorded says that a report is durable.
	verdictRecorded
	// verdictMismatch says that the journal does not have the claim that a report refers to.
	verdictMismatch
	// verdictUnknown says that the id is not in the journal.
	verdictUnknown
	// verdictBoundElsewhere says that the request is bound to another daemon incarnation.
	verdictBoundElsewhere
	// verdictBusy says that too many calls wait at the owner; it proves nothing about the id.
	verdictBusy
)

type verdict struct {
	kind   verdictKind
	result result
}

// result is how a request ended.
type result struct {
	fact   refuser.Fact
	status int
	answer []byte
	kept   bool
	digest [32]byte
	// keepUntil is in Unix milliseconds.
	keepUntil int64
}

func (r result) withoutAnswer() result {
	r.answer = nil
	r.kept = false
	return r
}

func (r result) outcome() Outcome {
	return Outcome{
		Fact:     r.fact,
		Answer:   Answer{Status: r.status, Body: r.answer},
		Kept:     r.kept,
		Digest:   r.digest,
		Replayed: true,
	}
}
