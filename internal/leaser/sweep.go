package leaser

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// sweepInterval is the time between two sweeps for unused sessions.
const sweepInterval = 30 * time.Minute

// sweep deletes closed sessions and closes abandoned ones, so that the store keeps no session of a daemon that is gone.
// The daemon with the first open session does it; concurrent sweeps are harmless.
func (l *Leaser) sweep(ctx context.Context) {
	previous := map[string]storer.Point{}
	for l.Clock.Sleep(ctx, sweepInterval) == nil {
		objects, _, err := l.Store.List(ctx, sessionPrefix)
		if err != nil {
			continue
		}
		current := map[string]storer.Point{}
		sweeper := l.ownsFirstOpenSession(objects)
		for _, o := range objects {
			current[o.Key] = o.Version
			// sweepInterval is many lease durations, so an open session unchanged between two sweeps is over.
			if sweeper && previous[o.Key] == o.Version {
				l.closeOrDelete(ctx, o)
			}
		}
		previous = current
	}
}

func (l *Leaser) ownsFirstOpenSession(objects []storer.Object) bool {
	for _, o := range objects {
		s := &peerv1.LeaseSession{}
		if proto.Unmarshal(o.Value, s) == nil && !s.Closed {
			return strings.HasPrefix(o.Key, sessionPrefix+l.Self.Name+"/")
		}
	}
	return false
}

// closeOrDelete closes an abandoned session and deletes a closed one; both are conditional on the listed version.
func (l *Leaser) closeOrDelete(ctx context.Context, o storer.Object) {
	s := &peerv1.LeaseSession{}
	if proto.Unmarshal(o.Value, s) != nil {
		return
	}
	if s.Closed {
		_, _ = l.Store.Delete(ctx, o.Key, o.Version)
		return
	}
	_, _ = l.Store.Put(ctx, o.Key, encode(&peerv1.LeaseSession{Holder: s.Holder, Closed: true}), o.Version)
}
