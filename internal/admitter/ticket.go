package admitter

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// TicketState says what was decided on a request.
type TicketState uint8

// States of a ticket.
const (
	TicketWaiting TicketState = iota
	TicketGranted
	TicketRefused
	TicketDone
)

// Ticket is the place of one request in a Scheduler.
type Ticket struct {
	Request Request
	State   TicketState
	// Refusal is set where State is TicketRefused.
	Refusal *refuser.Refusal

	flow *flow
	cost float64
	// expected is the high estimate of the time from grant to end.
	expected time.Duration
	// uncorrected is the time from grant to end before the correction by how requests really went.
	uncorrected time.Duration
	// rank orders the queue: the arrival, moved ahead by the ageing time for each priority.
	rank     int64
	sequence uint64
	// latest is how long the request may wait to meet its deadline; zero where it has none.
	latest  time.Time
	granted time.Time

	queuePlace, expiryPlace int
	ready                   chan struct{}
	// starved is true where the entry's share of a larger limit held the request back.
	starved bool
}

// Granted returns when the request was granted.
func (t *Ticket) Granted() time.Time { return t.granted }

// transit is how much earlier than here the deadline of a request may pass at its caller, whose end reaches here first.
const transit = 50 * time.Millisecond

// cutAt tells whether a request that ended without an answer was cut at its deadline.
func (t *Ticket) cutAt(now time.Time) bool {
	return !t.Request.Deadline.IsZero() && !now.Before(t.Request.Deadline.Add(-transit))
}
