package gateway

import (
	"context"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/follower"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// watchers is how many daemons watch the store itself, so that the calls to the store do not grow with the fleet, and
	// followersEach how many of the others follow one daemon, so that no daemon's own work does.
	watchers      = 4
	followersEach = 8
	// peerWait is how long a watcher holds a question while nothing changes.
	peerWait = 3 * time.Second
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
	peer   *cataloger.Member
	cursor uint64
	epoch  uint64
	// source names where the last objects came from: sourceStore or a peer.
	source atomic.Value
}

// sourceStore is the source of what the store itself has answered.
const sourceStore = "store"

// setSource notes where the next objects come from.
func (u *upstream) setSource(peer *cataloger.Member) {
	if peer == nil {
		u.source.Store(sourceStore)
		return
	}
	u.source.Store(peer.Name)
}

// sourceName returns where the last objects came from.
func (u *upstream) sourceName() string {
	name, _ := u.source.Load().(string)
	return name
}

// through returns the store with its lists and watches read from the watchers.
func (g *Gateway) through(store storer.Store, prefix string) (storer.Store, *upstream) {
	u := &upstream{gateway: g, direct: store, prefix: prefix, bad: map[string]time.Time{}}
	store.List, store.Watch = u.list, u.watch
	return store, u
}

// readsStore tells whether the last objects came from the store itself.
func (u *upstream) readsStore() bool { return u.sourceName() == sourceStore }

// watcher returns the peer to follow; nil where this daemon watches the store itself. A peer is followed for as long as it can be:
// each change of peer reads the whole list anew. One of the own data centre is taken where there is one.
func (u *upstream) watcher() *cataloger.Member {
	g := u.gateway
	// The daemon that holds the duty notices what no watch has brought, by its own writes, and must then read the store itself.
	if !g.settled() || len(g.others()) < watchers || g.duty.comesFirst() {
		return nil
	}
	levels, own := watchLevels(candidates(g.all()), g.Settings.Name)
	if own == 0 {
		return nil
	}
	now := g.Clock.Now()
	usable := func(m cataloger.Member) bool { return has(traitReachesStore)(m) && now.After(u.bad[m.Name]) }
	if u.peer != nil {
		others := candidates(g.others())
		if i := named(others, u.peer.Name); i >= 0 && others[i].Epoch == u.peer.Epoch && usable(others[i]) {
			return u.peer
		}
	}
	for level := own - 1; level >= 0; level-- {
		near, far := apart(levels[level], usable, cataloger.DataCentre(g.Settings.DataCentre))
		for _, list := range [][]cataloger.Member{near, far} {
			if chosen, ok := tracker.Rendezvous(list, g.Settings.Name); ok {
				return &chosen
			}
		}
	}
	return nil
}

// apart returns the usable members of a data centre and those of the others.
func apart(all []cataloger.Member, usable func(cataloger.Member) bool, dc cataloger.DataCentre) (near, far []cataloger.Member) {
	for _, m := range all {
		switch {
		case !usable(m):
		case m.DataCentre == dc:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return near, far
}

// watchLevels returns the daemons by their distance from the store, and that of one of them: the first watch it themselves, and
// each level has followersEach daemons for each one of the level before. One that is not among them comes last.
func watchLevels(members []cataloger.Member, name string) (levels [][]cataloger.Member, own int) {
	ranked := tracker.RankMembers(members, "watch", len(members))
	own = -1
	for size := watchers; len(ranked) > 0; size *= followersEach {
		level := ranked[:min(size, len(ranked))]
		if named(level, name) >= 0 {
			own = len(levels)
		}
		levels, ranked = append(levels, level), ranked[len(level):]
	}
	if own < 0 {
		own = len(levels)
	}
	return levels, own
}

func (u *upstream) list(ctx context.Context, prefix string) ([]storer.Object, storer.Point, error) {
	u.gateway.join(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peer = u.watcher()
	u.setSource(u.peer)
	if u.peer == nil {
		return u.direct.List(ctx, prefix)
	}
	timed, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	message, err := u.gateway.fetch(timed, u.peer.PeerAddress, objectsPath, url.Values{"prefix": {prefix}})
	if err != nil {
		return nil, 0, u.failed(ctx, err)
	}
	u.cursor, u.epoch = message.GetCursor(), message.GetEpoch()
	var out []storer.Object
	for _, o := range message.GetItems() {
		out = append(out, objectOf(o))
	}
	return out, storer.Point(message.GetRevision()), nil
}

// failed passes the watcher over that did not answer, unless this daemon itself gave the call up; the caller holds mu.
func (u *upstream) failed(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	u.bad[u.peer.Name] = u.gateway.Clock.Now().Add(badPeerTime)
	u.gateway.Log.Info().Str("peer", u.peer.Name).Str("prefix", u.prefix).Err(err).Msg("watcher does not answer")
	return errors.Mark(err, follower.ErrSourceChanged)
}

func (u *upstream) watch(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
	u.mu.Lock()
	peer := u.peer
	u.mu.Unlock()
	if peer == nil {
		return u.direct.Watch(ctx, prefix, after, func(e storer.Event) error {
			if err := emit(e); err != nil || e.Object.Key != "" {
				return err
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.watcher() != nil {
				return follower.ErrSourceChanged
			}
			return nil
		})
	}
	for {
		message, err := u.next(ctx, peer)
		if err != nil {
			return err
		}
		revision := storer.Point(message.GetRevision())
		for _, o := range message.GetItems() {
			if err := emit(storer.Event{Object: objectOf(o), Deleted: o.GetDeleted(), Revision: revision}); err != nil {
				return err
			}
		}
		if err := emit(storer.Event{Revision: revision}); err != nil {
			return err
		}
		u.mu.Lock()
		now := u.watcher()
		u.mu.Unlock()
		if now == nil || now.Name != peer.Name {
			return follower.ErrSourceChanged
		}
	}
}

// distrust passes over the peer that is followed, as others know more.
func (u *upstream) distrust() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peer != nil {
		u.bad[u.peer.Name] = u.gateway.Clock.Now().Add(badPeerTime)
	}
}

// next waits for the next changes of a watcher.
func (u *upstream) next(ctx context.Context, peer *cataloger.Member) (*peerv1.GatewayObjects, error) {
	timed, cancel := context.WithTimeout(ctx, peerWait+askTimeout)
	defer cancel()
	u.mu.Lock()
	cursor, epoch := u.cursor, u.epoch
	u.mu.Unlock()
	message, err := u.gateway.fetch(timed, peer.PeerAddress, changesPath, url.Values{
		"prefix": {u.prefix}, "cursor": {strconv.FormatUint(cursor, 10)}, "epoch": {strconv.FormatUint(epoch, 10)},
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		return nil, u.failed(ctx, err)
	}
	u.cursor = message.GetCursor()
	return message, nil
}
