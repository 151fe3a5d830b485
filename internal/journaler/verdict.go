package journaler

import (
	"github.com/rattantray/rattantray/pkg/refuser"
)

// verdictKind is what the owner of a shard says about a claim or a report.
type verdictKind uint32

const (
	verdictNone verdictKind = iota
	// verdictPermit allows the dispatcher named in the claim to run the request once.
	verdictPermit
	// verdictKnown gives the outcome of the request.
	verdictKnown
	// verdictRunning says that another dispatcher holds the claim and may still report.
	verdictRunning
	// verdictVoided says that this claim was recorded as not-run and its permit will not come.
	verdictVoided
	// verdictReused says that the id was used with another payload.
	verdictReused
	// verdictExpired says that the id is older than the journal's window.
	verdictExpired
	// verdictFuture says that the time within the id is in the future.
	verdictFuture
	// verdictFull says that the shard has no room for another id.
	verdictFull
	// verdictStoreDown says that the id is unknown to the owner and the store takes no claim; a successor may know it.
	verdictStoreDown
	// verdictNotLoaded says that the store is down and the owner does not know the shard's records.
	verdictNotLoaded
	// verdictNotOwner says that another daemon must be asked.
	verdictNotOwner
	// verdictRecorded says that a report is durable.
	verdictRecorded
	// verdictMismatch says that a report is of a claim that the journal does not hold.
	verdictMismatch
	// verdictUnknown says that the id is not in the journal.
	verdictUnknown
	// verdictBoundElsewhere says that the daemon has another incarnation than the request is bound to.
	verdictBoundElsewhere
	// verdictBusy says that too many calls wait at the owner, which did not look the id up.
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
