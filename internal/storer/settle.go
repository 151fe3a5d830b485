package storer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/timer"
)

// Outcome is the final outcome of a write.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeAccepted says that the write took effect.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeConflict says that the write did not and will not take effect, as another write replaced the expected version.
	OutcomeConflict
	// OutcomeUncertain says that the write may have taken effect or may still do so.
	OutcomeUncertain
)

var outcomeNames = map[Outcome]string{
	OutcomeAccepted:  "accepted",
	OutcomeConflict:  "conflict",
	OutcomeUncertain: "uncertain",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Verdict says whether a stored object shows that a write took effect.
type Verdict int

// Verdicts of Write.Find.
const (
	// VerdictUnknown says that the object does not show it either way.
	VerdictUnknown Verdict = iota
	// VerdictOurs says that the write took effect.
	VerdictOurs
	// VerdictOther says that another write replaced the expected version.
	VerdictOther
)

// Write is a conditional write whose value identifies its writer, by a nonce or otherwise.
type Write struct {
	Key      string
	Value    []byte
	Expected Point
	// Find looks for the write in an object newer than Expected and returns the version that the write got.
	// If nil, an equal value is ours and any other is unknown, as a later write may have overwritten ours.
	Find func(Object) (Verdict, Point)
}

// Result is the result of a settled write.
type Result struct {
	Outcome Outcome
	// Version is the version that the write got, if it was accepted.
	Version Point
	// Stored is the newest object read, if there was a conflict.
	Stored Object
}

// Settler retries writes and reads them back until their outcome is known.
type Settler struct {
	Store  Store
	Clock  timer.Clock
	Random *rand.Rand
}

// Backoff between the attempts of a Settler.
const (
	firstSettleBackoff = 25 * time.Millisecond
	maxSettleBackoff   = time.Second
)

// Put retries the write until its outcome is known or ctx is done. An error means that nothing was or will be written.
func (s Settler) Put(ctx context.Context, w Write) (Result, error) {
	if w.Find == nil {
		w.Find = w.findEqual
	}
	backoff := firstSettleBackoff
	mayBeWritten := false
	for {
		version, err := s.Store.Put(ctx, w.Key, w.Value, w.Expected)
		switch {
		case err == nil:
			return Result{Outcome: OutcomeAccepted, Version: version}, nil
		case errors.Is(err, ErrConflict):
			return s.readBack(ctx, w, mayBeWritten)
		case errors.Is(err, ErrUnavailable), errors.Is(err, ErrRateLimited):
		case errors.Is(err, ErrTooLarge):
			if !mayBeWritten {
				return Result{}, err
			}
		default:
			mayBeWritten = true
			if r, ok := s.readOnce(ctx, w); ok {
				return r, nil
			}
		}
		if sleepErr := s.sleep(ctx, &backoff); sleepErr != nil {
			if mayBeWritten {
				return Result{Outcome: OutcomeUncertain}, nil
			}
			return Result{}, Mark(err, ErrUnavailable)
		}
	}
}

// readOnce reads whether a write whose answer was lost took effect; it returns false if the object does not show it.
func (s Settler) readOnce(ctx context.Context, w Write) (Result, bool) {
	o, err := s.Store.Get(ctx, w.Key)
	if err != nil || o.Version <= w.Expected {
		return Result{}, false
	}
	switch verdict, version := w.Find(o); verdict {
	case VerdictOurs:
		return Result{Outcome: OutcomeAccepted, Version: version}, true
	case VerdictOther:
		return Result{Outcome: OutcomeConflict, Stored: o}, true
	}
	return Result{}, false
}

// readBack settles a write that was refused with a conflict; mayBeWritten says whether an earlier attempt may have taken effect.
func (s Settler) readBack(ctx context.Context, w Write, mayBeWritten bool) (Result, error) {
	backoff := firstSettleBackoff
	for {
		o, err := s.Store.Get(ctx, w.Key)
		// The conflict proves a newer write, so an object that is not newer than Expected comes from a stale read.
		if err == nil && o.Version > w.Expected {
			verdict, version := w.Find(o)
			switch {
			case verdict == VerdictOurs:
				return Result{Outcome: OutcomeAccepted, Version: version}, nil
			case verdict == VerdictOther || !mayBeWritten:
				return Result{Outcome: OutcomeConflict, Stored: o}, nil
			default:
				return Result{Outcome: OutcomeUncertain, Stored: o}, nil
			}
		}
		if err := s.sleep(ctx, &backoff); err != nil {
			if mayBeWritten {
				return Result{Outcome: OutcomeUncertain}, nil
			}
			return Result{Outcome: OutcomeConflict}, nil
		}
	}
}

func (s Settler) sleep(ctx context.Context, backoff *time.Duration) error {
	half := *backoff / 2
	d := half + time.Duration(s.Random.Int64N(int64(half)+1))
	*backoff = min(2**backoff, maxSettleBackoff)
	return s.Clock.Sleep(ctx, d)
}

func (w Write) findEqual(o Object) (Verdict, Point) {
	if bytes.Equal(o.Value, w.Value) {
		return VerdictOurs, o.Version
	}
	return VerdictUnknown, 0
}
