package leaser

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/storer"
)

// sweepInterval is the time between two looks for sessions that nobody uses.
const sweepInterval = 30 * time.Minute

// sweep deletes closed sessions and closes abandoned ones, so that the store holds no session of a daemon that is gone.
// The daemon with the first open session does it; a double sweep is harmless.
func (l *Leaser) sweep(ctx context.Context) {
	before := map[string]storer.Point{}
	for l.Clock.Sleep(ctx, sweepInterval) == nil {
		objects, _, err := l.Store.List(ctx, sessionPrefix)
		if err != nil {
			continue
		}
		now := map[string]storer.Point{}
		sweeper := l.isFirst(objects)
		for _, o := range objects {
			now[o.Key] = o.Version
			// An open session that did not change between two sweeps is over many times.
			if sweeper && before[o.Key] == o.Version {
				l.clear(ctx, o)
			}
		}
		before = now
	}
}

func (l *Leaser) isFirst(objects []storer.Object) bool {
	for _, o := range objects {
		s := &peerv1.LeaseSession{}
		if proto.Unmarshal(o.Value, s) == nil && !s.Closed {
			return strings.HasPrefix(o.Key, sessionPrefix+l.Self.Name+"/")
		}
	}
	return false
}

// clear closes an abandoned session and deletes a closed one; both are conditional on the version that was listed.
func (l *Leaser) clear(ctx context.Context, o storer.Object) {
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
