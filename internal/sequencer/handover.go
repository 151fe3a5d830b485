package sequencer

import (
	"context"
	"time"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
)

// floor returns the highest sequence under a key up to which all are known to have ended.
func (s *Sequencer) floor(key queueKey) uint64 {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.entry.floors[key].floor
}

// recordFloor stores a sequence up to which all have ended, for the next owner of the key.
func (s *Sequencer) recordFloor(key queueKey, sequence uint64) {
	if sequence == 0 {
		return
	}
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	note := s.entry.floors[key]
	if len(s.entry.floors) >= maxFloors && note.floor == 0 {
		return
	}
	s.entry.floors[key] = recordedFloor{floor: max(note.floor, sequence), at: s.Clock.Now()}
}

// reportToNewOwners sends the open places of this entry and the floors of its keys to the new owners of shards.
func (s *Sequencer) reportToNewOwners(ctx context.Context) {
	moved := s.movedShards()
	now := s.Clock.Now()
	floors := map[uint32]*peerv1.SequenceFloors{}
	var places []*openPlace
	s.entry.mu.Lock()
	for key, note := range s.entry.floors {
		if now.Sub(note.at) > s.Limits.Idle {
			delete(s.entry.floors, key)
			continue
		}
		shard := key.shard()
		if _, ok := moved[shard]; !ok {
			continue
		}
		list := floors[shard]
		if list == nil {
			list = &peerv1.SequenceFloors{}
			floors[shard] = list
		}
		list.Floors = append(list.Floors, &peerv1.SequenceFloor{Workspace: string(key.workspace), Key: key.key, Floor: note.floor})
	}
	for o := range s.entry.open {
		if m, ok := moved[o.key.shard()]; ok && (source{member: m.Name, incarnation: m.Incarnation}) != o.owner {
			places = append(places, o)
		}
	}
	s.entry.mu.Unlock()
	for shard, list := range floors {
		s.tasks.Go(func() { s.sendFloors(ctx, shard, list) })
	}
	for _, o := range places {
		s.tasks.Go(func() { s.reenter(ctx, o) })
	}
}

// movedShards returns the new owners of the shards whose owner changed since the last call.
func (s *Sequencer) movedShards() map[uint32]cataloger.Member {
	moved := map[uint32]cataloger.Member{}
	owners := s.owners.All()
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	for i, owner := range owners {
		now := source{member: owner.Member.Name, incarnation: owner.Member.Incarnation}
		if owner.Found && now != s.entry.owners[i] {
			s.entry.owners[i] = now
			moved[uint32(i)] = owner.Member
		}
	}
	return moved
}

// sendFloors sends floors until the owner accepts them or the settling time, after which it releases answers without them,
// has passed.
func (s *Sequencer) sendFloors(ctx context.Context, shard uint32, list *peerv1.SequenceFloors) {
	until := s.Clock.Now().Add(s.Limits.Settle)
	for len(list.Floors) > 0 {
		n := min(len(list.Floors), maxFloorsPerCall)
		owner := s.owners.Get(shard)
		if !owner.Found {
			return
		}
		err := s.callMember(ctx, owner.Member, MethodFloors, callTimeout, &peerv1.SequenceFloors{Floors: list.Floors[:n]}, &peerv1.SequenceAck{})
		if err == nil {
			list.Floors = list.Floors[n:]
			continue
		}
		if !ownerUnreachable(err) || s.Clock.Now().After(until) || s.Clock.Sleep(ctx, s.jitter(maxPause)) != nil {
			return
		}
	}
}

// reenter enters the place of a request in progress at a new owner.
func (s *Sequencer) reenter(ctx context.Context, o *openPlace) {
	until := s.Clock.Now().Add(s.Limits.Settle)
	for {
		s.entry.mu.Lock()
		ended := o.ended
		s.entry.mu.Unlock()
		if ended {
			return
		}
		_, err := s.enterOnce(ctx, o)
		if err == nil || !ownerUnreachable(err) || s.Clock.Now().After(until) {
			return
		}
		if s.Clock.Sleep(ctx, s.jitter(minPause*time.Duration(2))) != nil {
			return
		}
	}
}
