package gateway

import (
	"context"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// watchers is how many daemons watch the store itself; the others follow one of them, so that the calls to the store do
	// not grow with the fleet.
	watchers = 4
	// peerWait is how long a watcher holds a question without news.
	peerWait = 3 * time.Second
	// settlePause is the time between two looks whether the others are known.
	settlePause = 100 * time.Millisecond
	// badPeerTime is how long a watcher is passed over that did not answer.
	badPeerTime = 5 * time.Second
)

// upstream is the store as a follower sees it: the store itself, or a watcher among the peers.
type upstream struct {
	gateway *Gateway
	direct  storer.Store
	prefix  string

	mu sync.Mutex
	// bad is until when a peer is passed over.
	bad map[string]time.Time
	// peer is followed at cursor and epoch; nil where the store itself is.
	peer   *peerv1.GatewayHeartbeat
	cursor uint64
	epoch  uint64
}

// through returns the store with its lists and watches read from the watchers.
func (g *Gateway) through(store storer.Store, prefix string) storer.Store {
	u := &upstream{gateway: g, direct: store, prefix: prefix, bad: map[string]time.Time{}}
	store.List, store.Watch = u.list, u.watch
	return store
}

// watcher returns the peer to follow; nil where this daemon watches the store itself.
func (u *upstream) watcher() *peerv1.GatewayHeartbeat {
	g := u.gateway
	alive := g.gossiper.Alive()
	// The daemon that holds the duty notices what no watch has brought, by its own writes, and must then read the store itself.
	if !g.gossiper.Settled() || len(alive) < watchers || g.duty.comesFirst() {
		return nil
	}
	byName := map[string]*peerv1.GatewayHeartbeat{}
	for _, h := range alive {
		byName[h.GetName()] = h
	}
	members := candidates(append(alive, g.heartbeat()))
	list := make([]tracker.Candidate, len(members))
	for i, m := range members {
		list[i].Name = m.Name
	}
	var usable []cataloger.Member
	for _, i := range tracker.Rank(list, "watch", watchers) {
		if members[i].Name == g.Settings.Name {
			return nil
		}
		h := byName[members[i].Name]
		if h.GetStoreReachable() && g.Clock.Now().After(u.bad[h.GetName()]) {
			usable = append(usable, members[i])
		}
	}
	chosen, ok := tracker.Rendezvous(usable, g.Settings.Name)
	if !ok {
		return nil
	}
	return byName[chosen.Name]
}

func (u *upstream) list(ctx context.Context, prefix string) ([]storer.Object, uint64, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peer = u.watcher()
	if u.peer == nil {
		return u.direct.List(ctx, prefix)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	message, err := fetchObjects(ctx, u.peer.GetPeerAddress(), objectsPath, url.Values{"prefix": {prefix}})
	if err != nil {
		return nil, 0, u.moved(err)
	}
	u.cursor, u.epoch = message.GetCursor(), message.GetEpoch()
	var out []storer.Object
	for _, o := range message.GetItems() {
		out = append(out, storer.Object{Key: o.GetKey(), Value: o.GetValue(), Version: o.GetVersion()})
	}
	return out, message.GetRevision(), nil
}

// moved passes the watcher over that failed; the caller holds mu.
func (u *upstream) moved(err error) error {
	u.bad[u.peer.GetName()] = u.gateway.Clock.Now().Add(badPeerTime)
	u.gateway.Log.Info().Str("peer", u.peer.GetName()).Str("prefix", u.prefix).Err(err).Msg("watcher does not answer")
	return errors.Mark(err, follower.ErrMoved)
}

func (u *upstream) watch(ctx context.Context, prefix string, after uint64, emit func(storer.Event) error) error {
	u.mu.Lock()
	peer := u.peer
	u.mu.Unlock()
	if peer == nil && !u.gateway.gossiper.Settled() {
		return u.settle(ctx)
	}
	if peer == nil {
		return u.direct.Watch(ctx, prefix, after, func(e storer.Event) error {
			if err := emit(e); err != nil || e.Object.Key != "" {
				return err
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.watcher() != nil {
				return follower.ErrMoved
			}
			return nil
		})
	}
	for {
		message, err := u.next(ctx, peer)
		if err != nil {
			return err
		}
		for _, o := range message.GetItems() {
			object := storer.Object{Key: o.GetKey(), Value: o.GetValue(), Version: o.GetVersion()}
			if err := emit(storer.Event{Object: object, Deleted: o.GetDeleted(), Revision: message.GetRevision()}); err != nil {
				return err
			}
		}
		if err := emit(storer.Event{Revision: message.GetRevision()}); err != nil {
			return err
		}
		u.mu.Lock()
		now := u.watcher()
		u.mu.Unlock()
		if now == nil || now.GetName() != peer.GetName() {
			return follower.ErrMoved
		}
	}
}

// settle waits until the others are known, as most daemons of a fleet that starts will follow a watcher.
func (u *upstream) settle(ctx context.Context) error {
	for !u.gateway.gossiper.Settled() {
		if err := u.gateway.Clock.Sleep(ctx, settlePause); err != nil {
			return err
		}
	}
	return follower.ErrMoved
}

// next waits for the next changes of a watcher.
func (u *upstream) next(ctx context.Context, peer *peerv1.GatewayHeartbeat) (*peerv1.GatewayObjects, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+askTimeout)
	defer cancel()
	u.mu.Lock()
	cursor, epoch := u.cursor, u.epoch
	u.mu.Unlock()
	message, err := fetchObjects(ctx, peer.GetPeerAddress(), changesPath, url.Values{
		"prefix": {u.prefix}, "cursor": {strconv.FormatUint(cursor, 10)}, "epoch": {strconv.FormatUint(epoch, 10)},
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		return nil, u.moved(err)
	}
	u.cursor = message.GetCursor()
	return message, nil
}
