package relayer

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// minRetryAfter is the shortest time that a client is told to wait while no daemon accepts its request.
const minRetryAfter = 200 * time.Millisecond

// Closing describes the shutdown of a daemon that no other daemon replaces yet.
type Closing struct {
	// EndsAt is when the daemon ends; only requests with a deadline up to then are accepted.
	EndsAt time.Time
	// ReplacedAt is when another daemon accepts requests again.
	ReplacedAt time.Time
}

// BeginClosing makes the relayer refuse requests that may outlast the daemon, and reports whether it did not do so
// before.
func (r *Relayer) BeginClosing(c Closing) bool { return r.closing.Swap(&c) == nil }

// refuseIfClosing returns a refusal if the daemon is closing and the request may outlast it.
func (r *Relayer) refuseIfClosing(req *Request) *refuser.Refusal {
	c := r.closing.Load()
	if c == nil || !req.Deadline.After(c.EndsAt) {
		return nil
	}
	retryAfter := max(c.ReplacedAt.Sub(r.Clock.Now()), minRetryAfter)
	refusal := jitterRetryAfter(refuser.New(refuser.Draining, "this daemon ends, and no other takes requests yet").WithFact(refuser.FactNotRun).WithRetryAfter(retryAfter))
	r.logEnd(req, refusal, notMeasured, func(*zerolog.Event) {})
	return refusal
}
