package admitter

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// TicketState is the state of a ticket.
type TicketState uint8

// The states of a ticket; TicketDone follows TicketGranted.
const (
	TicketWaiting TicketState = iota
	TicketGranted
	TicketRefused
	TicketDone
)

// Ticket tracks one request in a Scheduler.
type Ticket struct {
	Request Request
	State   TicketState
	// Refusal is set if State is TicketRefused.
	Refusal *refuser.Refusal

	flow *flow
	cost float64
	// expected is the high estimate of the time from grant to end.
	expected time.Duration
	// uncorrected is the expected time from grant to end before the correction by the estimator.
	uncorrected time.Duration
	// rank orders the queue: the arrival time less the ageing time for each level of priority.
	rank     int64
	sequence uint64
	// latestGrant is the latest time of a grant that meets the deadline; zero if the request has none.
	latestGrant time.Time
	granted     time.Time

	queueIndex, expiryIndex int
	ready                   chan struct{}
	// limitedByShare is true if the entry's share of a larger limit refused or delayed the request.
	limitedByShare bool
}

// Granted returns when the request was granted.
func (t *Ticket) Granted() time.Time { return t.granted }

// deadlineTolerance is how much earlier the deadline of a request may pass at its caller, so that the cancellation
// arrives here before the deadline.
const deadlineTolerance = 50 * time.Millisecond

// endedAtDeadline reports whether a request that ended without an answer was cut at its deadline.
func (t *Ticket) endedAtDeadline(now time.Time) bool {
	return !t.Request.Deadline.IsZero() && !now.Before(t.Request.Deadline.Add(-deadlineTolerance))
}
