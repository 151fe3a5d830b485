package journaler

import "github.com/rattantray/rattantray/pkg/refuser"

// recordState is part of the stored format.
type recordState uint8

const (
	// stateClaimed says that a dispatcher holds or held the claim and has not reported.
	stateClaimed recordState = iota + 1
	// stateNotRun says that the claim ended without a run; the id may be claimed anew.
	stateNotRun
	// stateRan says that the request ran.
	stateRan
	// stateUncertain says that the dispatcher gave up without knowing whether the request ran.
	stateUncertain
	// stateForgotten is the fingerprint of an id that carries no time and is older than the window.
	stateForgotten
)

// record is the state of one request id.
type record struct {
	payload    [keyBytes]byte
	state      recordState
	dispatcher Dispatcher
	// issued is the time within the id in Unix milliseconds, 0 where it carries none.
	issued  int64
	claimed int64
	result  *result

	// granted is true once a permit may have been given, so that the claim cannot be voided here.
	granted bool
	// queued is true while the newest change waits for a batch.
	queued bool
	// changes counts changes, and stored is the count that is known to be in the store.
	changes uint32
	stored  uint32
}

// expires returns when the record may be dropped, in Unix milliseconds.
func (r *record) expires(window int64) int64 {
	if r.issued > 0 {
		return r.issued + window
	}
	return r.claimed + window
}

// known returns the verdict on a request that ended or whose dispatcher is gone.
func (r *record) known(now int64) verdict {
	switch r.state {
	case stateRan:
		res := *r.result
		if res.kept && res.keepUntil <= now {
			res = res.withoutAnswer()
		}
		return verdict{kind: verdictKnown, result: res}
	case stateNotRun:
		return verdict{kind: verdictKnown, result: result{fact: refuser.FactNotRun}}
	case stateForgotten:
		return verdict{kind: verdictExpired}
	}
	return verdict{kind: verdictKnown, result: result{fact: refuser.FactMayHaveRun}}
}
