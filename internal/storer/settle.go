package storer

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/timer"
)

// Outcome is what became of a write.
type Outcome int

// Outcomes of a write.
const (
	// OutcomeAccepted says that the write took effect.
	OutcomeAccepted Outcome = iota + 1
	// OutcomeConflict says that the write did not and will not take effect, as another write took the expected version.
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

// Verdict says whether a stored object shows a write.
type Verdict int

// Verdicts of Write.Find.
const (
	// VerdictUnknown says that the object does not tell.
	VerdictUnknown Verdict = iota
	// VerdictOurs says that the write took effect.
	VerdictOurs
	// VerdictOther says that another write took the expected version.
	VerdictOther
)

// Write is a conditional write whose value names its writer, by a nonce or otherwise.
type Write struct {
	Key      string
	Value    []byte
	Expected Point
	// Find looks for the write in an object newer than Expected and returns the version it got.
	// Where nil, an equal value is ours and any other is unknown, as a later write may have covered ours.
	Find func(Object) (Verdict, Point)
}

// Result is a settled write.
type Result struct {
	Outcome Outcome
	// Version is the version that the write got, where it was accepted.
	Version Point
	// Stored is the newest object read, where there was a conflict.
	Stored Object
}

// Settler repeats and reads back writes until their outcome is known.
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

// Put writes until the outcome is known or ctx is done; an error says that nothing was written and nothing will be.
func (s Settler) Put(ctx context.Context, w Write) (Result, error) {
	if w.Find == nil {
		w.Find = w.findEqual
	}
	backoff := firstSettleBackoff
	sent := false
	for {
		version, err := s.Store.Put(ctx, w.Key, w.Value, w.Expected)
		switch {
		case err == nil:
			return Result{Outcome: OutcomeAccepted, Version: version}, nil
		case errors.Is(err, ErrConflict):
			return s.readBack(ctx, w, sent)
		case errors.Is(err, ErrUnavailable), errors.Is(err, ErrRateLimited):
		case errors.Is(err, ErrTooLarge):
			if !sent {
				return Result{}, err
			}
		default:
			sent = true
			if r, ok := s.look(ctx, w); ok {
				return r, nil
			}
		}
		if sleepErr := s.sleep(ctx, &backoff); sleepErr != nil {
			if sent {
				return Result{Outcome: OutcomeUncertain}, nil
			}
			return Result{}, Mark(err, ErrUnavailable)
		}
	}
}

// look reads once whether a write whose answer was lost took effect; false where the object does not tell.
func (s Settler) look(ctx context.Context, w Write) (Result, bool) {
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

// readBack settles a write that met a conflict; sent says whether an earlier attempt may have taken effect.
func (s Settler) readBack(ctx context.Context, w Write, sent bool) (Result, error) {
	backoff := firstSettleBackoff
	for {
		o, err := s.Store.Get(ctx, w.Key)
		// An object that is not newer than Expected comes from a stale read, as the conflict proves a newer write.
		if err == nil && o.Version > w.Expected {
			verdict, version := w.Find(o)
			switch {
			case verdict == VerdictOurs:
				return Result{Outcome: OutcomeAccepted, Version: version}, nil
			case verdict == VerdictOther || !sent:
				return Result{Outcome: OutcomeConflict, Stored: o}, nil
			default:
				return Result{Outcome: OutcomeUncertain, Stored: o}, nil
			}
		}
		if err := s.sleep(ctx, &backoff); err != nil {
			if sent {
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
