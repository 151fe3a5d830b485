package sequencer

import (
	"time"

	"github.com/rattantray/rattantray/pkg/refuser"
)

// source identifies the call at one daemon incarnation that holds the answer of a place.
type source struct {
	member      string
	incarnation uint64
	nonce       uint64
}

// entrance is the request to enter a place.
type entrance struct {
	sequence uint64
	id       string
	source   source
	deadline time.Time
	// wait is the maximum time that the answer waits for a predecessor that has not arrived.
	wait time.Duration
	// buffer is the maximum size of the answers held back under the key, in bytes.
	buffer int
	// floor is the highest sequence up to which, as far as the entry knows, all have ended.
	floor uint64
	// reentry is true if the source already held the place at another owner.
	reentry bool
}

// placeState is the state of the request of a place.
type placeState uint8

const (
	placeRunning placeState = iota
	// placeWaiting: the answer is finished and held back.
	placeWaiting
	// placeReleased: the answer is being delivered.
	placeReleased
	// placeEnded: the answer was delivered, or there is none.
	placeEnded
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
	// lostAt is when the delivery was cut or the entry was found lost; zero if neither happened.
	lostAt time.Time
}

// queue orders the answers under one key; it is a pure state machine of events and time.
//
// The floor rises above a sequence when its answer was delivered, when its request ended without one or outlived its
// deadline or its entry, or when it did not arrive within the wait of a finished successor. Only the sequence directly
// above the floor is released, so nothing is delivered after a higher sequence.
type queue struct {
	limits Limits
	alive  func(source) bool
	floor  uint64
	// floorKnown is false until the lowest sequence that arrives in time sets the floor.
	floorKnown bool
	places     map[uint64]*place
	heldBytes  int
	// recentIDs holds the request ids of the newest sequences that have ended.
	recentIDs map[uint64]string
	// closedUntil is the end of the settling time, in which a new owner releases nothing.
	closedUntil time.Time
	lastUsed    time.Time
}

const recentSequences = 64

func newQueue(limits Limits, alive func(source) bool, now, closedUntil time.Time) *queue {
	return &queue{
		limits:      limits,
		alive:       alive,
		places:      map[uint64]*place{},
		recentIDs:   map[uint64]string{},
		closedUntil: closedUntil,
		lastUsed:    now,
	}
}

// raiseFloor records that every sequence up to floor has ended.
func (q *queue) raiseFloor(floor uint64) {
	if floor == 0 || floor <= q.floor {
		return
	}
	q.floorKnown = true
	q.floor = floor
	for seq, p := range q.places {
		if seq <= floor {
			q.removePlace(seq, p)
		}
	}
	for seq := range q.recentIDs {
		if seq+recentSequences < floor {
			delete(q.recentIDs, seq)
		}
	}
}

func (q *queue) removePlace(seq uint64, p *place) {
	q.recentIDs[seq] = p.id
	q.heldBytes -= p.size
	delete(q.places, seq)
}

// enter enters a place; replay is true if the answer of the same request was already delivered.
func (q *queue) enter(now time.Time, e entrance) (replay bool, err *refuser.Refusal) {
	q.lastUsed = now
	q.raiseFloor(e.floor)
	if q.floorKnown && e.sequence <= q.floor {
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
	case ok && e.reentry:
		return false, refuser.New(refuser.AlreadyRunning, "request %q was sent again through another entry", e.id)
	case ok:
		q.heldBytes -= p.size
		q.places[e.sequence] = newPlace(p.entered, e)
		return false, nil
	case e.reentry:
		// A place that was held at another owner is never refused for lack of capacity.
	case len(q.places) >= q.limits.MaxPlaces:
		return false, refuser.New(refuser.OrderingBufferFull, "%d requests are open under the key", len(q.places))
	case q.heldBytes >= e.buffer:
		return false, refuser.New(refuser.OrderingBufferFull, "%d bytes are held back under the key", q.heldBytes)
	}
	q.places[e.sequence] = newPlace(now, e)
	return false, nil
}

func newPlace(entered time.Time, e entrance) *place {
	return &place{id: e.id, source: e.source, entered: entered, deadline: e.deadline, wait: e.wait}
}

func (q *queue) enterLate(e entrance) (bool, *refuser.Refusal) {
	id, ok := q.recentIDs[e.sequence]
	switch {
	case ok && id == e.id:
		return true, nil
	case ok:
		return false, refuser.New(refuser.SequenceInvalid, "sequence %d was of request %q", e.sequence, id)
	}
	return false, refuser.New(refuser.PredecessorTimedOut, "sequence %d came after its successors were delivered, which go up to %d", e.sequence, q.floor)
}

// finish records that the answer of a place waits for its turn; found is false if the source does not hold the place here.
func (q *queue) finish(now time.Time, sequence uint64, src source, size, buffer int) (found bool, err *refuser.Refusal) {
	q.lastUsed = now
	p, ok := q.places[sequence]
	if !ok || p.source != src {
		return false, nil
	}
	if p.state != placeRunning {
		return true, nil
	}
	if q.heldBytes+size > buffer && sequence != q.floor+1 {
		return true, refuser.New(refuser.OrderingBufferFull, "%d bytes are held back under the key and this answer has %d", q.heldBytes, size).
			WithFact(refuser.FactRan)
	}
	p.state = placeWaiting
	p.size = size
	q.heldBytes += size
	return true, nil
}

// done records that the answer of a place was delivered or that there is none.
func (q *queue) done(now time.Time, sequence uint64, src source) {
	q.lastUsed = now
	if p, ok := q.places[sequence]; ok && p.source == src {
		q.heldBytes -= p.size
		p.size = 0
		p.delivered = p.state == placeReleased
		p.state = placeEnded
	}
}

// cut records that the delivery of a place was interrupted; its caller may send the request again for the rest.
func (q *queue) cut(now time.Time, sequence uint64, src source) {
	q.lastUsed = now
	if p, ok := q.places[sequence]; ok && p.source == src {
		q.heldBytes -= p.size
		p.size = 0
		p.state = placeRunning
		p.lostAt = now
	}
}

// advance raises the floor as far as possible and returns the released sequence, 0 if none, and when to call it again.
func (q *queue) advance(now time.Time) (released uint64, wake time.Time) {
	if now.Before(q.closedUntil) {
		return 0, q.closedUntil
	}
	for len(q.places) > 0 {
		next := q.floor + 1
		p, ok := q.places[next]
		if ok && (q.floorKnown || next == 1) {
			q.floorKnown = true
			if p.state == placeEnded || q.expired(now, p) {
				q.raiseFloor(next)
				continue
			}
			if p.state == placeWaiting {
				p.state = placeReleased
				return next, q.endsAt(p)
			}
			return 0, q.endsAt(p)
		}
		lowest, first := q.lowest(now)
		if first == nil {
			return 0, time.Time{}
		}
		if first.state != placeWaiting {
			return 0, q.endsAt(first)
		}
		if at := q.skipAt(first); now.Before(at) {
			return 0, at
		}
		q.floorKnown = true
		q.raiseFloor(lowest - 1)
	}
	return 0, time.Time{}
}

// lowest returns the place of the lowest sequence that may still have an answer.
func (q *queue) lowest(now time.Time) (uint64, *place) {
	var low uint64
	var first *place
	for seq, p := range q.places {
		if (first == nil || seq < low) && p.state != placeEnded && !q.expired(now, p) {
			low, first = seq, p
		}
	}
	return low, first
}

// skipAt returns when the sequences below the lowest open place are skipped.
func (q *queue) skipAt(first *place) time.Time {
	wait := first.wait
	if !q.floorKnown {
		wait = min(wait, q.limits.FreshWait)
	}
	return first.entered.Add(wait)
}

// endsAt returns the latest time at which a place ends.
func (q *queue) endsAt(p *place) time.Time {
	end := p.deadline.Add(q.limits.DeadlineGrace)
	if lost := p.lostAt.Add(q.limits.ReattachGrace); !p.lostAt.IsZero() && lost.Before(end) {
		return lost
	}
	return end
}

// expired reports whether the place has passed its deadline, or the grace since its delivery was cut or its entry lost.
func (q *queue) expired(now time.Time, p *place) bool {
	if p.lostAt.IsZero() && !q.alive(p.source) {
		p.lostAt = now
	}
	return !now.Before(q.endsAt(p))
}

// idle reports whether the queue may be removed.
func (q *queue) idle(now time.Time) bool {
	_, open := q.lowest(now)
	return open == nil && now.Sub(q.lastUsed) >= q.limits.Idle
}
