package verifier

import (
	"slices"

	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// Verdict states what to do with a part.
type Verdict uint8

// Verdicts.
const (
	// Deliver means that the part is the next one of the answer.
	Deliver Verdict = iota
	// Drop means that the part is not of this attempt or was delivered before; the attempt continues.
	Drop
	// Fail means that the answer of the attempt is invalid and the attempt must be replaced.
	Fail
)

// Reason states why a part is not delivered.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonForeignRequest
	ReasonOldAttempt
	ReasonUnknownAttempt
	ReasonRepeatedPosition
	ReasonSkippedPosition
	ReasonNoReceipt
	ReasonWrongVersion
	ReasonLayerMissing
	ReasonLayerRepeated
	ReasonWrongTarget
	ReasonAfterLast
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "foreign-request", "old-attempt", "unknown-attempt", "repeated-position", "skipped-position",
	"no-receipt", "wrong-version", "layer-missing", "layer-repeated", "wrong-target", "after-last",
}

// String returns the kebab-case name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons except ReasonNone.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Checker validates the answer of one request across all its attempts; it is not safe for concurrent use.
type Checker struct {
	requestID    string
	version      string
	layers       uint32
	attempt      uint32
	nextPosition uint64
	endPosition  uint64
	done         bool
	route        []*enginev1.Stage
}

// New returns a checker for an answer of a model with the given number of layers, whose tokens have the positions from start
// up to, but not including, end.
func New(requestID, version string, layers uint32, start, end uint64) *Checker {
	return &Checker{requestID: requestID, version: version, layers: layers, nextPosition: start, endPosition: end}
}

// BeginAttempt sets the attempt whose parts are delivered and the route, the stages that must have run; nil accepts any
// route. Attempt numbers must increase, except that a stream may go back to an attempt if no part of a later one was delivered.
func (c *Checker) BeginAttempt(attempt uint32, route []*enginev1.Stage) {
	c.attempt = attempt
	c.route = route
}

// NextPosition returns the position of the next token to deliver.
func (c *Checker) NextPosition() uint64 { return c.nextPosition }

// Done reports whether the last token was delivered.
func (c *Checker) Done() bool { return c.done }

// Check decides on a part and advances to the next position if the part is to be delivered.
func (c *Checker) Check(p *enginev1.GenerateResponse) (Verdict, Reason) {
	if v, r := c.checkIdentity(p); r != ReasonNone {
		return v, r
	}
	if c.done {
		return Fail, ReasonAfterLast
	}
	if p.Position > c.nextPosition {
		return Fail, ReasonSkippedPosition
	}
	if r := c.checkReceipt(p.Receipt); r != ReasonNone {
		return Fail, r
	}
	c.nextPosition++
	c.done = p.Last || c.nextPosition >= c.endPosition
	return Deliver, ReasonNone
}

func (c *Checker) checkIdentity(p *enginev1.GenerateResponse) (Verdict, Reason) {
	switch {
	case p.RequestId != c.requestID:
		return Drop, ReasonForeignRequest
	case p.Attempt < c.attempt:
		return Drop, ReasonOldAttempt
	case p.Attempt > c.attempt:
		return Drop, ReasonUnknownAttempt
	case p.Position < c.nextPosition:
		return Drop, ReasonRepeatedPosition
	}
	return Deliver, ReasonNone
}

func (c *Checker) checkReceipt(r *v1.Receipt) Reason {
	if r == nil || len(r.Stages) == 0 {
		return ReasonNoReceipt
	}
	if r.Version != c.version {
		return ReasonWrongVersion
	}
	next := uint32(0)
	for _, s := range r.Stages {
		if s.FirstLayer < next {
			return ReasonLayerRepeated
		}
		if s.FirstLayer > next || s.EndLayer <= s.FirstLayer {
			return ReasonLayerMissing
		}
		next = s.EndLayer
	}
	switch {
	case next < c.layers:
		return ReasonLayerMissing
	case next > c.layers:
		return ReasonLayerRepeated
	case !c.matchesRoute(r):
		return ReasonWrongTarget
	}
	return ReasonNone
}

// matchesRoute reports whether the stages of a receipt are those of the route.
func (c *Checker) matchesRoute(r *v1.Receipt) bool {
	if c.route == nil {
		return true
	}
	return slices.EqualFunc(r.Stages, c.route, func(s *v1.StageRun, w *enginev1.Stage) bool {
		return s.Target == w.Target && s.EndLayer == w.EndLayer
	})
}
