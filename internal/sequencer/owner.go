package sequencer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/linker"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// The methods of the calls between daemons.
const (
	MethodEnter  = "sequence-enter"
	MethodWait   = "sequence-wait"
	MethodDone   = "sequence-done"
	MethodFloors = "sequence-floors"
)

// The kinds of a SequenceTurn.
const (
	turnReleased = 1
	turnNotYet   = 2
	turnUnknown  = 3
)

// ownedQueue is a queue of this owner with the calls that wait for it.
type ownedQueue struct {
	*queue
	// changed is closed and replaced whenever a place is released or the queue is discarded.
	changed chan struct{}
	buffer  int
	// discarded is true once the queue was removed.
	discarded bool
	armedFor  time.Time
}

func (q *ownedQueue) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *ownedQueue) discard() {
	q.discarded = true
	q.wake()
}

// Handlers returns the handlers of the calls from other daemons by method name.
func (s *Sequencer) Handlers() map[string]linker.Handler {
	s.init()
	return map[string]linker.Handler{
		MethodEnter: handler(func(ctx context.Context, m *peerv1.SequenceEnter) (proto.Message, error) { return s.serveEnter(ctx, m) }),
		MethodWait:  handler(func(ctx context.Context, m *peerv1.SequenceWait) (proto.Message, error) { return s.serveWait(ctx, m) }),
		MethodDone:  handler(func(ctx context.Context, m *peerv1.SequenceDone) (proto.Message, error) { return s.serveDone(ctx, m) }),
		MethodFloors: handler(func(ctx context.Context, m *peerv1.SequenceFloors) (proto.Message, error) {
			return s.serveFloors(ctx, m)
		}),
	}
}

// placeMessage is a message about one place.
type placeMessage interface{ GetPlace() *peerv1.SequencePlace }

func handler[M any, P interface {
	*M
	proto.Message
}](serve func(ctx context.Context, m P) (proto.Message, error)) linker.Handler {
	return func(ctx context.Context, peer string, body []byte) (proto.Message, error) {
		m := P(new(M))
		if err := proto.Unmarshal(body, m); err != nil {
			return nil, refuser.New(refuser.MalformedRequest, "%s", err)
		}
		if p, ok := any(m).(placeMessage); ok && p.GetPlace().GetMember() != peer {
			return nil, refuser.New(refuser.Unauthenticated, "%s speaks for %s", peer, p.GetPlace().GetMember())
		}
		return serve(ctx, m)
	}
}

func keyOf(p *peerv1.SequencePlace) queueKey {
	return queueKey{workspace: cataloger.Workspace(p.GetWorkspace()), key: p.GetKey()}
}

func sourceOf(p *peerv1.SequencePlace) source {
	return source{member: p.GetMember(), incarnation: p.GetIncarnation(), nonce: p.GetNonce()}
}

var errNotOwner = refuser.New(refuser.ShardMoved, "the ordering key has another owner")

// queueFor returns the queue of a key; if there is none, it creates one or returns nil, depending on create. The caller
// holds mu.
func (s *Sequencer) queueFor(now time.Time, key queueKey, create bool) (*ownedQueue, error) {
	since := s.ownedSince[key.shard()]
	if since.IsZero() {
		return nil, errNotOwner
	}
	if q, ok := s.queues[key]; ok {
		return q, nil
	}
	if !create {
		return nil, nil
	}
	if len(s.queues) >= s.Limits.MaxKeys {
		return nil, refuser.New(refuser.OrderingBufferFull, "%d ordering keys are in use", len(s.queues))
	}
	alive := func(src source) bool { return s.Alive(src.member, src.incarnation) }
	q := &ownedQueue{queue: newQueue(s.Limits, alive, now, since.Add(s.Limits.Settle)), changed: make(chan struct{})}
	s.queues[key] = q
	return q, nil
}

// advanceQueue releases the places that are due and sets the timer for the others; the caller holds mu.
func (s *Sequencer) advanceQueue(now time.Time, q *ownedQueue) {
	released, wake := q.advance(now)
	if released > 0 {
		q.wake()
	}
	if wake.IsZero() || (q.armedFor.After(now) && !wake.Before(q.armedFor)) {
		return
	}
	q.armedFor = wake
	s.Clock.AfterFunc(max(0, wake.Sub(now)), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !q.discarded {
			s.advanceQueue(s.Clock.Now(), q)
		}
	})
}

func (s *Sequencer) serveEnter(_ context.Context, m *peerv1.SequenceEnter) (*peerv1.SequenceEntered, error) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q, err := s.queueFor(now, keyOf(m.Place), true)
	if err != nil {
		return nil, err
	}
	q.buffer = int(m.BufferBytes)
	replay, refusal := q.enter(now, entrance{
		sequence: m.Place.GetSequence(),
		id:       m.Place.GetRequestId(),
		source:   sourceOf(m.Place),
		deadline: now.Add(time.Duration(m.TimeoutMs) * time.Millisecond),
		wait:     time.Duration(m.WaitMs) * time.Millisecond,
		buffer:   q.buffer,
		floor:    m.Floor,
		reentry:  m.Again,
	})
	if refusal != nil {
		return nil, refusal
	}
	s.advanceQueue(now, q)
	return &peerv1.SequenceEntered{Replay: replay}, nil
}

func (s *Sequencer) serveWait(ctx context.Context, m *peerv1.SequenceWait) (*peerv1.SequenceTurn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.TimeoutMs)*time.Millisecond)
	defer cancel()
	for {
		turn, changed, err := s.checkTurn(m)
		if err != nil || turn.Kind != turnNotYet {
			return turn, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return turn, nil
		}
	}
}

// checkTurn records that the answer is finished and returns whether it may be delivered, with a channel that is closed on
// the next change.
func (s *Sequencer) checkTurn(m *peerv1.SequenceWait) (*peerv1.SequenceTurn, <-chan struct{}, error) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q, err := s.queueFor(now, keyOf(m.Place), false)
	if err != nil {
		return nil, nil, err
	}
	if q == nil {
		return &peerv1.SequenceTurn{Kind: turnUnknown}, nil, nil
	}
	found, refusal := q.finish(now, m.Place.GetSequence(), sourceOf(m.Place), int(m.Bytes), q.buffer)
	if refusal != nil {
		return nil, nil, refusal
	}
	if !found {
		return &peerv1.SequenceTurn{Kind: turnUnknown, Floor: q.floor}, nil, nil
	}
	s.advanceQueue(now, q)
	turn := &peerv1.SequenceTurn{Kind: turnNotYet, Floor: q.floor}
	if p, ok := q.places[m.Place.GetSequence()]; ok && p.state == placeReleased {
		turn.Kind = turnReleased
	}
	return turn, q.changed, nil
}

func (s *Sequencer) serveDone(_ context.Context, m *peerv1.SequenceDone) (*peerv1.SequenceAck, error) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q, err := s.queueFor(now, keyOf(m.Place), false)
	if err != nil || q == nil {
		return &peerv1.SequenceAck{}, err
	}
	if m.Cut {
		q.cut(now, m.Place.GetSequence(), sourceOf(m.Place))
	} else {
		q.done(now, m.Place.GetSequence(), sourceOf(m.Place))
	}
	s.advanceQueue(now, q)
	return &peerv1.SequenceAck{}, nil
}

func (s *Sequencer) serveFloors(_ context.Context, m *peerv1.SequenceFloors) (*peerv1.SequenceAck, error) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range m.Floors {
		q, err := s.queueFor(now, queueKey{workspace: cataloger.Workspace(f.Workspace), key: f.Key}, true)
		if err != nil {
			return nil, err
		}
		q.raiseFloor(f.Floor)
		s.advanceQueue(now, q)
	}
	return &peerv1.SequenceAck{}, nil
}
