package relayer

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// leastReturn is the least time that a client is told to stay away while no daemon takes its request.
const leastReturn = 200 * time.Millisecond

// Closing is the end of a daemon that has no other to take its place.
type Closing struct {
	// Ends is when the daemon ends; a request may take until its deadline.
	EndsAt time.Time
	// Back is when another daemon takes requests again.
	ReplacedAt time.Time
}

// Close refuses requests that may not be answered before the daemon ends, and tells whether it did not do so before.
func (r *Relayer) BeginClosing(c Closing) bool { return r.closing.Swap(&c) == nil }

// closed returns a refusal where a request may take longer than the daemon has.
func (r *Relayer) closed(req *Request) *refuser.Refusal {
	c := r.closing.Load()
	if c == nil || !req.Deadline.After(c.EndsAt) {
		return nil
	}
	wait := max(c.ReplacedAt.Sub(r.Clock.Now()), leastReturn)
	refusal := spread(refuser.New(refuser.Draining, "this daemon ends, and no other takes requests yet").WithFact(refuser.FactNotRun).WithRetryAfter(wait))
	r.logEnd(req, refusal, notMeasured, func(*zerolog.Event) {})
	return refusal
}
