package journaler

import "github.com/rattantray/rattantray/pkg/refuser"

// recordState is the state of a record; its values are part of the stored format.
type recordState uint8

const (
	// stateClaimed says that a dispatcher holds or held the claim and has not reported an outcome.
	stateClaimed recordState = iota + 1
	// stateNotRun says that the claim ended without a run; the id may be claimed again.
	stateNotRun
	// stateRan says that the request ran.
	stateRan
	// stateUncertain says that the dispatcher reported that the request may have run.
	stateUncertain
	// stateFingerprint marks the fingerprint of an id that carries no time and is older than the window.
	stateFingerprint
)

// record is the state of one request id.
type record struct {
	payload    [keyBytes]byte
	state      recordState
	dispatcher Dispatcher
	// issued is the time within the id in Unix milliseconds, or 0 if the id carries none.
	issued  int64
	claimed int64
	result  *result

	// granted is true once a permit may have been given, so that this owner cannot void the claim.
	granted bool
	// queued is true while the newest change waits for a batch.
	queued bool
	// changes counts the changes, and storedChanges is the count up to which they are known to be in the store.
	changes       uint32
	storedChanges uint32
}

// expiresAt returns when the record may be dropped, in Unix milliseconds.
func (r *record) expiresAt(window int64) int64 {
	if r.issued > 0 {
		return r.issued + window
	}
	return r.claimed + window
}

// outcomeVerdict returns the verdict on a request that ended or whose dispatcher is gone.
func (r *record) outcomeVerdict(now int64) verdict {
	switch r.state {
	case stateRan:
		res := *r.result
		if res.kept && res.keepUntil <= now {
			res = res.withoutAnswer()
		}
		return verdict{kind: verdictOutcome, result: res}
	case stateNotRun:
		return verdict{kind: verdictOutcome, result: result{fact: refuser.FactNotRun}}
	case stateFingerprint:
		return verdict{kind: verdictExpired}
	}
	return verdict{kind: verdictOutcome, result: result{fact: refuser.FactMayHaveRun}}
}
