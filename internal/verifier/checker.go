package verifier

import (
	"slices"

	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// Verdict says what to do with a part.
type Verdict uint8

// Verdicts.
const (
	// Deliver means that the part is the next one of the answer.
	Deliver Verdict = iota
	// Drop means that the part is not of this attempt or was delivered before; the attempt goes on.
	Drop
	// Fail means that the attempt answers wrongly and must be replaced.
	Fail
)

// Reason says why a part is not delivered.
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

// Reasons lists every reason but ReasonNone.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Checker follows the answer of one request over all its attempts; it is not safe for concurrent use.
type Checker struct {
	requestID string
	version   string
	layers    uint32
	attempt   uint32
	next      uint64
	end       uint64
	done      bool
	route     []*enginev1.Stage
}

// New returns a checker for a model of so many layers whose next token is at position start and last before end.
func New(requestID, version string, layers uint32, start, end uint64) *Checker {
	return &Checker{requestID: requestID, version: version, layers: layers, next: start, end: end}
}

// Begin makes attempt the one whose parts are delivered and route the stages that must run; attempts must grow.
func (c *Checker) BeginAttempt(attempt uint32, route []*enginev1.Stage) {
	c.attempt = attempt
	c.route = route
}

// Next returns the position of the next token to deliver.
func (c *Checker) NextPosition() uint64 { return c.next }

// Done tells whether the last token was delivered.
func (c *Checker) Done() bool { return c.done }

// Check decides on a part and, where it is to be delivered, moves to the next position.
func (c *Checker) Check(p *enginev1.GenerateResponse) (Verdict, Reason) {
	if v, r := c.identity(p); r != ReasonNone {
		return v, r
	}
	if c.done {
		return Fail, ReasonAfterLast
	}
	if p.Position > c.next {
		return Fail, ReasonSkippedPosition
	}
	if r := c.receipt(p.Receipt); r != ReasonNone {
		return Fail, r
	}
	c.next++
	c.done = p.Last || c.next >= c.end
	return Deliver, ReasonNone
}

func (c *Checker) identity(p *enginev1.GenerateResponse) (Verdict, Reason) {
	switch {
	case p.RequestId != c.requestID:
		return Drop, ReasonForeignRequest
	case p.Attempt < c.attempt:
		return Drop, ReasonOldAttempt
	case p.Attempt > c.attempt:
		return Drop, ReasonUnknownAttempt
	case p.Position < c.next:
		return Drop, ReasonRepeatedPosition
	}
	return Deliver, ReasonNone
}

func (c *Checker) receipt(r *v1.Receipt) Reason {
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
	case !c.onRoute(r):
		return ReasonWrongTarget
	}
	return ReasonNone
}

// onRoute tells whether the stages of a receipt are those of the route.
func (c *Checker) onRoute(r *v1.Receipt) bool {
	if c.route == nil {
		return true
	}
	return slices.EqualFunc(r.Stages, c.route, func(s *v1.StageRun, w *enginev1.Stage) bool {
		return s.Target == w.Target && s.EndLayer == w.EndLayer
	})
}
