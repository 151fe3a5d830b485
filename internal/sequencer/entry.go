package sequencer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// pollTimeout is how long a call waits at the owner.
	pollTimeout  = 5 * time.Second
	callTimeout  = 2 * time.Second
	minPause     = 10 * time.Millisecond
	maxPause     = 250 * time.Millisecond
	doneAttempts = 5
	// maxFloors bounds the keys whose floor an entry remembers for the next owner.
	maxFloors    = 1 << 14
	floorsAtOnce = 1000
)

// entryState is what a daemon knows as the entry of ordered requests.
type entryState struct {
	mu     sync.Mutex
	open   map[*openPlace]bool
	floors map[queueKey]floorNote
	owners [Shards]source
}

type floorNote struct {
	floor uint64
	at    time.Time
}

// openPlace is a place that this entry holds.
type openPlace struct {
	place Place
	key   queueKey
	nonce uint64
	// owner is where the place was entered last.
	owner source
	// entered is true once an owner took the place.
	entered bool
	// released is true once the answer was let out.
	released bool
	over     bool
}

// Enter takes a place under an ordering key before the request runs; a refusal here means that it did not run.
func (s *Sequencer) Enter(ctx context.Context, p Place) (Turn, error) {
	s.init()
	if p.Sequence == 0 || p.Key == "" {
		return Turn{}, refuser.New(refuser.SequenceInvalid, "an ordering key goes with a sequence number from 1")
	}
	o := &openPlace{place: p, key: queueKey{workspace: p.Workspace, key: p.Key}, nonce: s.nonce.Add(1)}
	replay, err := s.enterUntil(ctx, o)
	if err != nil {
		return Turn{}, err
	}
	if replay {
		return Turn{Wait: func(context.Context, int) error { return nil }, Done: func() {}, Cut: func() {}}, nil
	}
	s.entry.mu.Lock()
	s.entry.open[o] = true
	s.entry.mu.Unlock()
	var once sync.Once
	return Turn{
		Wait: func(ctx context.Context, size int) error { return s.wait(ctx, o, size) },
		Done: func() { once.Do(func() { s.done(o, false) }) },
		Cut:  func() { once.Do(func() { s.done(o, true) }) },
	}, nil
}

// enterUntil enters at the owner, again after failures, until the deadline.
func (s *Sequencer) enterUntil(ctx context.Context, o *openPlace) (replay bool, err error) {
	pause := minPause
	for {
		replay, err = s.enterOnce(ctx, o)
		if err == nil || !unreached(err) {
			return replay, err
		}
		left := o.place.Deadline.Sub(s.Clock.Now())
		if left <= 0 || s.Clock.Sleep(ctx, min(left, s.jitter(pause))) != nil {
			return false, refuser.New(refuser.DeadlineExceeded, "the owner of the ordering key could not be reached: %s", err)
		}
		pause = min(2*pause, maxPause)
	}
}

// unreached tells whether the refusal is of the way to the owner and not of the place.
func unreached(err error) bool {
	switch refuser.From(err).Code {
	case refuser.ShardMoved, refuser.PeerUnavailable, refuser.Internal, refuser.Canceled, refuser.DeadlineExceeded, refuser.NotReady:
		return true
	}
	return false
}

func (s *Sequencer) enterOnce(ctx context.Context, o *openPlace) (bool, error) {
	s.entry.mu.Lock()
	again := o.entered
	s.entry.mu.Unlock()
	resp := &peerv1.SequenceEntered{}
	owner, err := s.call(ctx, o.key, MethodEnter, callTimeout, &peerv1.SequenceEnter{
		Place:       s.proto(o),
		TimeoutMs:   uint32(max(0, o.place.Deadline.Sub(s.Clock.Now()).Milliseconds())),
		WaitMs:      uint32(o.place.Wait.Milliseconds()),
		BufferBytes: uint32(o.place.BufferBytes),
		Floor:       s.floor(o.key),
		Again:       again,
	}, resp)
	if err != nil {
		return false, err
	}
	s.entry.mu.Lock()
	o.owner = owner
	o.entered = true
	s.entry.mu.Unlock()
	return resp.Replay, nil
}

// wait holds a finished answer until its turn.
func (s *Sequencer) wait(ctx context.Context, o *openPlace, size int) error {
	pause := minPause
	for {
		turn := &peerv1.SequenceTurn{}
		asked := s.Clock.Now()
		_, err := s.call(ctx, o.key, MethodWait, pollTimeout+callTimeout, &peerv1.SequenceWait{
			Place:     s.proto(o),
			Bytes:     uint32(size),
			TimeoutMs: s.pollMillis(o.place.Deadline),
		}, turn)
		s.noteFloor(o.key, turn.Floor)
		switch {
		case err == nil && turn.Kind == turnReleased && s.fresh(asked):
			s.entry.mu.Lock()
			o.released = true
			s.entry.mu.Unlock()
			return nil
		case err == nil && turn.Kind == turnUnknown:
			var over bool
			over, err = s.enterOnce(ctx, o)
			if err == nil && over {
				return refuser.New(refuser.PredecessorTimedOut, "successors were delivered while this entry was silent").WithFact(refuser.FactRan)
			}
		}
		if err != nil && !unreached(err) {
			// The request ran, whatever the code says of a place before the run.
			return refuser.From(err).WithFact(refuser.FactRan)
		}
		if !s.Clock.Now().Before(o.place.Deadline) {
			return refuser.New(refuser.DeadlineExceeded, "waiting for a predecessor under the ordering key").WithFact(refuser.FactRan)
		}
		if err == nil && ctx.Err() == nil {
			pause = minPause
			continue
		}
		// The owner answers at once for a caller that is gone.
		if s.Clock.Sleep(ctx, s.jitter(pause)) != nil {
			return refuser.New(refuser.Canceled, "waiting for a predecessor under the ordering key").WithFact(refuser.FactRan)
		}
		pause = min(2*pause, maxPause)
	}
}

// pollMillis returns how long the owner may wait; it is rounded up, as waits of 0 just before the deadline would spin.
func (s *Sequencer) pollMillis(deadline time.Time) uint32 {
	left := max(0, deadline.Sub(s.Clock.Now()))
	return uint32(min(pollTimeout, left+time.Millisecond).Milliseconds())
}

// fresh tells whether the owner cannot have given up a place that it let out when asked: it keeps that of a lost entry
// for the grace. An entry that was paused for longer asks again before it delivers.
func (s *Sequencer) fresh(asked time.Time) bool {
	return s.Clock.Now().Sub(asked) < s.Limits.ReattachGrace
}

// done tells the owner in the background that the place is over, or that its delivery was cut.
func (s *Sequencer) done(o *openPlace, cut bool) {
	s.entry.mu.Lock()
	delete(s.entry.open, o)
	o.over = true
	released := o.released
	s.entry.mu.Unlock()
	if released && !cut {
		s.noteFloor(o.key, o.place.Sequence)
	}
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	s.tasks.Go(func() {
		for range doneAttempts {
			_, err := s.call(context.WithoutCancel(ctx), o.key, MethodDone, callTimeout, &peerv1.SequenceDone{Place: s.proto(o), Cut: cut}, &peerv1.SequenceAck{})
			if err == nil || !unreached(err) || s.Clock.Sleep(ctx, s.jitter(maxPause)) != nil {
				return
			}
		}
	})
}

func (s *Sequencer) proto(o *openPlace) *peerv1.SequencePlace {
	self := s.Self()
	return &peerv1.SequencePlace{
		Workspace:   string(o.place.Workspace),
		Key:         o.place.Key,
		Sequence:    o.place.Sequence,
		RequestId:   o.place.RequestID,
		Member:      self.Name,
		Incarnation: self.Incarnation,
		Nonce:       o.nonce,
	}
}

// call asks the owner of a key, which may be this daemon.
func (s *Sequencer) call(ctx context.Context, key queueKey, method string, timeout time.Duration, req, resp proto.Message) (source, error) {
	owner := s.owners.Get(key.shard())
	if !owner.Found {
		return source{}, errNotOwner
	}
	m := owner.Member
	return source{member: m.Name, incarnation: m.Incarnation}, s.callMember(ctx, m, method, timeout, req, resp)
}

func (s *Sequencer) callMember(ctx context.Context, m cataloger.Member, method string, timeout time.Duration, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	self := s.Self()
	if m.Name != self.Name || m.Incarnation != self.Incarnation {
		return s.Link.Call(ctx, m.PeerAddress, method, req, resp)
	}
	out, err := s.local(ctx, method, req)
	if err != nil {
		return err
	}
	proto.Merge(resp, out)
	return nil
}

func (s *Sequencer) local(ctx context.Context, method string, req proto.Message) (proto.Message, error) {
	switch method {
	case MethodEnter:
		return s.serveEnter(ctx, req.(*peerv1.SequenceEnter))
	case MethodWait:
		return s.serveWait(ctx, req.(*peerv1.SequenceWait))
	case MethodDone:
		return s.serveDone(ctx, req.(*peerv1.SequenceDone))
	}
	return s.serveFloors(ctx, req.(*peerv1.SequenceFloors))
}

func (s *Sequencer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.Rand.Int64N(int64(d/2)+1))
}
