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
	// pollTimeout is the maximum time that a wait call stays open at the owner.
	pollTimeout  = 5 * time.Second
	callTimeout  = 2 * time.Second
	minPause     = 10 * time.Millisecond
	maxPause     = 250 * time.Millisecond
	doneAttempts = 5
	// maxFloors is the maximum number of keys whose floor an entry stores for the next owner.
	maxFloors        = 1 << 14
	maxFloorsPerCall = 1000
)

// entryState is the state of a daemon as the entry of ordered requests.
type entryState struct {
	mu     sync.Mutex
	open   map[*openPlace]bool
	floors map[queueKey]recordedFloor
	owners [Shards]source
}

type recordedFloor struct {
	floor uint64
	at    time.Time
}

// openPlace is a place that this entry holds.
type openPlace struct {
	place Place
	key   queueKey
	nonce uint64
	// owner is the owner at which the place was last entered.
	owner source
	// entered is true once an owner accepted the place.
	entered bool
	// released is true once the answer may be delivered.
	released bool
	ended    bool
}

// Enter reserves a place under an ordering key before the request runs; a refusal means that the request did not run.
func (s *Sequencer) Enter(ctx context.Context, p Place) (Turn, error) {
	s.init()
	if p.Sequence == 0 || p.Key == "" {
		return Turn{}, refuser.New(refuser.SequenceInvalid, "an ordering key goes with a sequence number from 1")
	}
	o := &openPlace{place: p, key: queueKey{workspace: p.Workspace, key: p.Key}, nonce: s.nonce.Add(1)}
	replay, err := s.enterWithRetry(ctx, o)
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
		Wait: func(ctx context.Context, size int) error { return s.waitTurn(ctx, o, size) },
		Done: func() { once.Do(func() { s.reportDone(o, false) }) },
		Cut:  func() { once.Do(func() { s.reportDone(o, true) }) },
	}, nil
}

// enterWithRetry enters the place at the owner and retries until the deadline if the owner is unreachable.
func (s *Sequencer) enterWithRetry(ctx context.Context, o *openPlace) (replay bool, err error) {
	pause := minPause
	for {
		replay, err = s.enterOnce(ctx, o)
		if err == nil || !ownerUnreachable(err) {
			return replay, err
		}
		remaining := o.place.Deadline.Sub(s.Clock.Now())
		if remaining <= 0 || s.Clock.Sleep(ctx, min(remaining, s.jitter(pause))) != nil {
			return false, refuser.New(refuser.DeadlineExceeded, "the owner of the ordering key could not be reached: %s", err)
		}
		pause = min(2*pause, maxPause)
	}
}

// ownerUnreachable reports whether the refusal concerns the connection to the owner and not the place.
func ownerUnreachable(err error) bool {
	switch refuser.From(err).Code {
	case refuser.ShardMoved, refuser.PeerUnavailable, refuser.Internal, refuser.Canceled, refuser.DeadlineExceeded, refuser.NotReady:
		return true
	}
	return false
}

func (s *Sequencer) enterOnce(ctx context.Context, o *openPlace) (bool, error) {
	s.entry.mu.Lock()
	reentry := o.entered
	s.entry.mu.Unlock()
	resp := &peerv1.SequenceEntered{}
	owner, err := s.call(ctx, o.key, MethodEnter, callTimeout, &peerv1.SequenceEnter{
		Place:       s.toProto(o),
		TimeoutMs:   uint32(max(0, o.place.Deadline.Sub(s.Clock.Now()).Milliseconds())),
		WaitMs:      uint32(o.place.Wait.Milliseconds()),
		BufferBytes: uint32(o.place.BufferBytes),
		Floor:       s.floor(o.key),
		Again:       reentry,
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

// waitTurn holds a finished answer back until its turn.
func (s *Sequencer) waitTurn(ctx context.Context, o *openPlace, size int) error {
	pause := minPause
	for {
		turn := &peerv1.SequenceTurn{}
		asked := s.Clock.Now()
		_, err := s.call(ctx, o.key, MethodWait, pollTimeout+callTimeout, &peerv1.SequenceWait{
			Place:     s.toProto(o),
			Bytes:     uint32(size),
			TimeoutMs: s.pollMillis(o.place.Deadline),
		}, turn)
		s.recordFloor(o.key, turn.Floor)
		switch {
		case err == nil && turn.Kind == turnReleased && s.withinGrace(asked):
			s.entry.mu.Lock()
			o.released = true
			s.entry.mu.Unlock()
			return nil
		case err == nil && turn.Kind == turnUnknown:
			var replay bool
			replay, err = s.enterOnce(ctx, o)
			if err == nil && replay {
				return refuser.New(refuser.PredecessorTimedOut, "successors were delivered while this entry was silent").WithFact(refuser.FactRan)
			}
		}
		if err != nil && !ownerUnreachable(err) {
			// The request ran, although the code stands for not-run when a place is entered.
			return refuser.From(err).WithFact(refuser.FactRan)
		}
		if !s.Clock.Now().Before(o.place.Deadline) {
			return refuser.New(refuser.DeadlineExceeded, "waiting for a predecessor under the ordering key").WithFact(refuser.FactRan)
		}
		if err == nil && ctx.Err() == nil {
			pause = minPause
			continue
		}
		// The owner answers immediately if the caller has disconnected.
		if s.Clock.Sleep(ctx, s.jitter(pause)) != nil {
			return refuser.New(refuser.Canceled, "waiting for a predecessor under the ordering key").WithFact(refuser.FactRan)
		}
		pause = min(2*pause, maxPause)
	}
}

// pollMillis returns how long the owner may wait, in milliseconds. It is rounded up, because waits of 0 just before the
// deadline would spin.
func (s *Sequencer) pollMillis(deadline time.Time) uint32 {
	remaining := max(0, deadline.Sub(s.Clock.Now()))
	return uint32(min(pollTimeout, remaining+time.Millisecond).Milliseconds())
}

// withinGrace reports whether the owner must still hold the place that it released when asked: it keeps the place of a lost
// entry for ReattachGrace. An entry that was paused for longer asks again before it delivers.
func (s *Sequencer) withinGrace(asked time.Time) bool {
	return s.Clock.Now().Sub(asked) < s.Limits.ReattachGrace
}

// reportDone reports to the owner in the background that the place has ended, or that its delivery was cut.
func (s *Sequencer) reportDone(o *openPlace, cut bool) {
	s.entry.mu.Lock()
	delete(s.entry.open, o)
	o.ended = true
	released := o.released
	s.entry.mu.Unlock()
	if released && !cut {
		s.recordFloor(o.key, o.place.Sequence)
	}
	s.mu.Lock()
	ctx := s.ctx
	s.mu.Unlock()
	s.tasks.Go(func() {
		for range doneAttempts {
			_, err := s.call(context.WithoutCancel(ctx), o.key, MethodDone, callTimeout, &peerv1.SequenceDone{Place: s.toProto(o), Cut: cut}, &peerv1.SequenceAck{})
			if err == nil || !ownerUnreachable(err) || s.Clock.Sleep(ctx, s.jitter(maxPause)) != nil {
				return
			}
		}
	})
}

func (s *Sequencer) toProto(o *openPlace) *peerv1.SequencePlace {
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

// call calls the owner of a key, which may be this daemon, and returns the owner.
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
	out, err := s.serveLocal(ctx, method, req)
	if err != nil {
		return err
	}
	proto.Merge(resp, out)
	return nil
}

func (s *Sequencer) serveLocal(ctx context.Context, method string, req proto.Message) (proto.Message, error) {
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
