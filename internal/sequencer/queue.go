package sequencer

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// source is the call at one daemon incarnation that holds the answer of a place.
type source struct {
	member      string
	incarnation uint64
	nonce       uint64
}

// entrance takes a place.
type entrance struct {
	sequence uint64
	id       string
	source   source
	deadline time.Time
	// wait bounds how long the answer waits for a predecessor that has not come.
	wait time.Duration
	// buffer bounds the answers held back under the key, in bytes.
	buffer int
	// floor is the highest sequence that the entry knows to be over.
	floor uint64
	// again is true where the source held the place before at another owner.
	again bool
}

// placeState says how far a request is.
type placeState uint8

const (
	placeRunning placeState = iota
	// placeWaiting holds a finished answer.
	placeWaiting
	// placeReleased is being delivered.
	placeReleased
	// placeOver was delivered or has no answer.
	placeOver
)

type place struct {
	id       string
	source   source
	state    placeState
	entered  time.Time
	deadline time.Time
	wait     time.Duration
	size     int
	// delivered is true once the answer is known to be delivered.
	delivered bool
	// lostAt is when the delivery was cut or the entry was found lost; the zero time is not.
	lostAt time.Time
}

// queue is the order under one key: a pure state machine of events and time.
//
// The floor rises over a sequence when its answer was delivered, when its request ended without one or outlived its
// deadline or its entry, or when it did not come within the wait of a finished successor. Only the sequence above the
// floor is let out, so nothing is delivered after a higher sequence.
type queue struct {
	limits Limits
	alive  func(source) bool
	floor  uint64
	// known is true once the floor is known; until then the lowest sequence that comes in time sets it.
	known  bool
	places map[uint64]*place
	held   int
	// recent holds the ids of the newest sequences that are over.
	recent map[uint64]string
	// closedUntil is until when a new owner lets nothing out.
	closedUntil time.Time
	touched     time.Time
}

const recentSequences = 64

func newQueue(limits Limits, alive func(source) bool, now, closedUntil time.Time) *queue {
	return &queue{
		limits:      limits,
		alive:       alive,
		places:      map[uint64]*place{},
		recent:      map[uint64]string{},
		closedUntil: closedUntil,
		touched:     now,
	}
}

// raise takes the news that every sequence up to floor is over.
func (q *queue) raise(floor uint64) {
	if floor == 0 || floor <= q.floor {
		return
	}
	q.known = true
	q.floor = floor
	for seq, p := range q.places {
		if seq <= floor {
			q.drop(seq, p)
		}
	}
	for seq := range q.recent {
		if seq+recentSequences < floor {
			delete(q.recent, seq)
		}
	}
}

func (q *queue) drop(seq uint64, p *place) {
	q.recent[seq] = p.id
	q.held -= p.size
	delete(q.places, seq)
}

// enter takes a place; replay is true where the place is over and was of the same request.
func (q *queue) enter(now time.Time, e entrance) (replay bool, err *refuser.Refusal) {
	q.touched = now
	q.raise(e.floor)
	if q.known && e.sequence <= q.floor {
		return q.enterLate(e)
	}
	p, ok := q.places[e.sequence]
	switch {
	case ok && p.id != e.id:
		return false, refuser.New(refuser.SequenceInvalid, "sequence %d is of request %q", e.sequence, p.id)
	case ok && p.delivered:
		return true, nil
	case ok && p.source == e.source:
		p.lostAt = time.Time{}
		return false, nil
	case ok && e.again:
		return false, refuser.New(refuser.AlreadyRunning, "request %q was sent again through another entry", e.id)
	case ok:
		q.held -= p.size
		q.places[e.sequence] = newPlace(p.entered, e)
		return false, nil
	case e.again:
		// A place that was taken before is never refused for want of room.
	case len(q.places) >= q.limits.MaxPlaces:
		return false, refuser.New(refuser.OrderingBufferFull, "%d requests are open under the key", len(q.places))
	case q.held >= e.buffer:
		return false, refuser.New(refuser.OrderingBufferFull, "%d bytes are held back under the key", q.held)
	}
	q.places[e.sequence] = newPlace(now, e)
	return false, nil
}

func newPlace(entered time.Time, e entrance) *place {
	return &place{id: e.id, source: e.source, entered: entered, deadline: e.deadline, wait: e.wait}
}

func (q *queue) enterLate(e entrance) (bool, *refuser.Refusal) {
	id, ok := q.recent[e.sequence]
	switch {
	case ok && id == e.id:
		return true, nil
	case ok:
		return false, refuser.New(refuser.SequenceInvalid, "sequence %d was of request %q", e.sequence, id)
	}
	return false, refuser.New(refuser.PredecessorTimedOut, "sequence %d came after its successors were delivered, which go up to %d", e.sequence, q.floor)
}

// finish says that the answer of a place waits for its turn; known is false for a place that the queue does not hold.
func (q *queue) finish(now time.Time, sequence uint64, src source, size, buffer int) (known bool, err *refuser.Refusal) {
	q.touched = now
	p, ok := q.places[sequence]
	if !ok || p.source != src {
		return false, nil
	}
	if p.state != placeRunning {
		return true, nil
	}
	if q.held+size > buffer && sequence != q.floor+1 {
		return true, refuser.New(refuser.OrderingBufferFull, "%d bytes are held back under the key and this answer has %d", q.held, size).
			WithFact(refuser.FactRan)
	}
	p.state = placeWaiting
	p.size = size
	q.held += size
	return true, nil
}

// done says that the answer of a place was delivered or that there is none.
func (q *queue) done(now time.Time, sequence uint64, src source) {
	q.touched = now
	if p, ok := q.places[sequence]; ok && p.source == src {
		q.held -= p.size
		p.size = 0
		p.delivered = p.state == placeReleased
		p.state = placeOver
	}
}

// cut says that the delivery of a place broke off; its caller may send the request again for the rest.
func (q *queue) cut(now time.Time, sequence uint64, src source) {
	q.touched = now
	if p, ok := q.places[sequence]; ok && p.source == src {
		q.held -= p.size
		p.size = 0
		p.state = placeRunning
		p.lostAt = now
	}
}

// advance raises the floor as far as it can and returns the sequence that is let out, 0 for none, and when to ask again.
func (q *queue) advance(now time.Time) (released uint64, wake time.Time) {
	if now.Before(q.closedUntil) {
		return 0, q.closedUntil
	}
	for len(q.places) > 0 {
		next := q.floor + 1
		p, ok := q.places[next]
		if ok && (q.known || next == 1) {
			q.known = true
			if p.state == placeOver || q.gone(now, p) {
				q.raise(next)
				continue
			}
			if p.state == placeWaiting {
				p.state = placeReleased
				return next, q.end(p)
			}
			return 0, q.end(p)
		}
		lowest, first := q.lowest(now)
		if first == nil {
			return 0, time.Time{}
		}
		if first.state != placeWaiting {
			return 0, q.end(first)
		}
		if at := q.passAt(first); now.Before(at) {
			return 0, at
		}
		q.known = true
		q.raise(lowest - 1)
	}
	return 0, time.Time{}
}

// lowest returns the place of the lowest sequence that may still have an answer.
func (q *queue) lowest(now time.Time) (uint64, *place) {
	var low uint64
	var first *place
	for seq, p := range q.places {
		if (first == nil || seq < low) && p.state != placeOver && !q.gone(now, p) {
			low, first = seq, p
		}
	}
	return low, first
}

// passAt returns when the sequences below the lowest open place are passed over.
func (q *queue) passAt(first *place) time.Time {
	wait := first.wait
	if !q.known {
		wait = min(wait, q.limits.FreshWait)
	}
	return first.entered.Add(wait)
}

// end returns when a place is over at the latest.
func (q *queue) end(p *place) time.Time {
	end := p.deadline.Add(q.limits.DeadlineGrace)
	if lost := p.lostAt.Add(q.limits.ReattachGrace); !p.lostAt.IsZero() && lost.Before(end) {
		return lost
	}
	return end
}

// gone tells whether the place will never be done: its deadline is past, or it was cut or its entry lost for the grace.
func (q *queue) gone(now time.Time, p *place) bool {
	if p.lostAt.IsZero() && !q.alive(p.source) {
		p.lostAt = now
	}
	return !now.Before(q.end(p))
}

// idle tells whether the queue may be forgotten.
func (q *queue) idle(now time.Time) bool {
	_, open := q.lowest(now)
	return open == nil && now.Sub(q.touched) >= q.limits.Idle
}
