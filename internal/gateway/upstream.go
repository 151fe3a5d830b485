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
	"github.com/rattantray/rattantray/internal/refresher"
	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/tracker"
)

const (
	// watcherCount is how many daemons watch the store directly, so that the calls to the store do not grow with the
	// fleet. followersPerWatcher is how many other daemons follow one daemon, so that no daemon's own work grows with it
	// either.
	watcherCount        = 4
	followersPerWatcher = 8
	// peerWait is how long a watcher holds a request open while nothing changes.
	peerWait = 3 * time.Second
	// batchInterval is the minimum time between two requests for the changes of a large list, one of more than largeList objects.
	// While thousands of targets start, each daemon would otherwise answer each of its followers for each change.
	batchInterval = 100 * time.Millisecond
	largeList     = 512
	// avoidTime is how long a watcher that did not answer is avoided.
	avoidTime = 5 * time.Second
)

// upstream is the source that a follower reads: the store itself, or a watcher among the peers.
type upstream struct {
	gateway *Gateway
	store   storer.Store
	prefix  string

	mu sync.Mutex
	// avoidUntil is until when each peer is avoided.
	avoidUntil map[string]time.Time
	// peer is followed at cursor and epoch; nil if the store is read directly.
	peer   *cataloger.Member
	cursor uint64
	epoch  uint64
	// large is true if the last list of the peer was large.
	large bool
	// stale is true while the copy is too old to be read from a peer. interrupt ends the call in progress, unless it is a list of the
	// store; interruptedAt is when it was last called.
	stale         bool
	interrupt     context.CancelCauseFunc
	interruptedAt time.Time
	// storeListedAt is when the last list of the store itself was requested; zero if the last list was of a peer.
	storeListedAt time.Time
	// firstListAt is when the objects were first listed; only watchLag uses it.
	firstListAt time.Time
	// copy tracks how current the objects are.
	copy refresher.Copy
	// source names the source of the last objects: sourceStore or a peer.
	source atomic.Value
}

// sourceStore is the source name of objects that came from the store itself.
const sourceStore = "store"

// setSource records the source of the next objects.
func (u *upstream) setSource(peer *cataloger.Member) {
	if peer == nil {
		u.source.Store(sourceStore)
		return
	}
	u.source.Store(peer.Name)
}

// sourceName returns the source of the last objects.
func (u *upstream) sourceName() string {
	name, _ := u.source.Load().(string)
	return name
}

// readThroughWatchers returns the store with its lists and watches read from watchers.
func (g *Gateway) readThroughWatchers(store storer.Store, prefix string) (storer.Store, *upstream) {
	u := &upstream{gateway: g, store: store, prefix: prefix, avoidUntil: map[string]time.Time{}}
	store.List, store.Watch = u.list, u.watch
	return store, u
}

// readsStore reports whether the last objects came from the store itself.
func (u *upstream) readsStore() bool { return u.sourceName() == sourceStore }

// chooseWatcher returns the peer to follow, or nil if this daemon watches the store itself. A peer is followed for as
// long as possible, as each change of peer reads the full list again. A peer in the same data centre is preferred. The caller holds mu.
func (u *upstream) chooseWatcher() *cataloger.Member {
	g := u.gateway
	// The holder of the duty notices through its own writes what no watch delivered, and must then read the store
	// itself.
	if u.stale || !g.settled() || len(g.others()) < watcherCount || g.duty.isFirstChoice() {
		return nil
	}
	levels, ownLevel := watchLevels(candidates(g.allMembers()), g.Settings.Name)
	if ownLevel == 0 {
		return nil
	}
	now := g.Clock.Now()
	usable := func(m cataloger.Member) bool {
		return hasTrait(traitReachesStore)(m) && now.After(u.avoidUntil[m.Name])
	}
	if u.peer != nil {
		others := candidates(g.others())
		if i := memberIndex(others, u.peer.Name); i >= 0 && others[i].Epoch == u.peer.Epoch && usable(others[i]) {
			return u.peer
		}
	}
	for level := ownLevel - 1; level >= 0; level-- {
		near, far := splitByDataCentre(levels[level], usable, cataloger.DataCentre(g.Settings.DataCentre))
		for _, list := range [][]cataloger.Member{near, far} {
			if chosen, ok := tracker.Rendezvous(list, g.Settings.Name); ok {
				return &chosen
			}
		}
	}
	return nil
}

// splitByDataCentre returns the usable members of a data centre and those of the others.
func splitByDataCentre(all []cataloger.Member, usable func(cataloger.Member) bool, dc cataloger.DataCentre) (near, far []cataloger.Member) {
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

// watchLevels groups the daemons by their distance from the store and returns the level of the named one. The first
// level watches the store itself, and each further level has followersPerWatcher daemons for each one of the level
// before. A daemon that is not a member gets the level after the last.
func watchLevels(members []cataloger.Member, name string) (levels [][]cataloger.Member, ownLevel int) {
	ranked := tracker.RankMembers(members, "watch", len(members))
	ownLevel = -1
	for size := watcherCount; len(ranked) > 0; size *= followersPerWatcher {
		level := ranked[:min(size, len(ranked))]
		if memberIndex(level, name) >= 0 {
			ownLevel = len(levels)
		}
		levels, ranked = append(levels, level), ranked[len(level):]
	}
	if ownLevel < 0 {
		ownLevel = len(levels)
	}
	return levels, ownLevel
}

func (u *upstream) list(ctx context.Context, prefix string) ([]storer.Object, storer.Point, error) {
	u.gateway.waitUntilSettled(ctx)
	u.mu.Lock()
	u.peer = u.chooseWatcher()
	peer := u.peer
	u.storeListedAt = time.Time{}
	if peer == nil {
		u.storeListedAt = u.gateway.Clock.Now()
	}
	u.mu.Unlock()
	u.setSource(peer)
	if peer == nil {
		return u.store.List(ctx, prefix)
	}
	ctx, end := u.interruptible(ctx)
	defer end()
	timed, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	message, err := u.gateway.fetch(timed, peer.PeerAddress, objectsPath, url.Values{"prefix": {prefix}})
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		return nil, 0, u.handleFailure(ctx, err)
	}
	u.cursor, u.epoch, u.large = message.GetCursor(), message.GetEpoch(), len(message.GetItems()) > largeList
	var out []storer.Object
	for _, o := range message.GetItems() {
		out = append(out, decodeObject(o))
	}
	return out, storer.Point(message.GetRevision()), nil
}

// handleFailure avoids the watcher that did not answer, unless this daemon canceled the call itself; the caller holds
// mu.
func (u *upstream) handleFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	u.avoidUntil[u.peer.Name] = u.gateway.Clock.Now().Add(avoidTime)
	u.gateway.Log.Info().Str("peer", u.peer.Name).Str("prefix", u.prefix).Err(err).Msg("watcher does not answer")
	return errors.Mark(err, follower.ErrSourceChanged)
}

func (u *upstream) watch(ctx context.Context, prefix string, after storer.Point, emit func(storer.Event) error) error {
	ctx, end := u.interruptible(ctx)
	defer end()
	u.mu.Lock()
	peer := u.peer
	u.mu.Unlock()
	if peer == nil {
		err := u.store.Watch(ctx, prefix, after, func(e storer.Event) error {
			if err := emit(e); err != nil || e.Object.Key != "" {
				return err
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.chooseWatcher() != nil {
				return follower.ErrSourceChanged
			}
			return nil
		})
		if cause := context.Cause(ctx); errors.Is(cause, follower.ErrSourceChanged) {
			return cause
		}
		return err
	}
	for {
		message, err := u.fetchChanges(ctx, peer)
		if err != nil {
			return err
		}
		revision := storer.Point(message.GetRevision())
		for _, o := range message.GetItems() {
			if err := emit(storer.Event{Object: decodeObject(o), Deleted: o.GetDeleted(), Revision: revision}); err != nil {
				return err
			}
		}
		if err := emit(storer.Event{Revision: revision}); err != nil {
			return err
		}
		u.mu.Lock()
		chosen, large := u.chooseWatcher(), u.large
		u.mu.Unlock()
		if large && u.gateway.Clock.Sleep(ctx, batchInterval) != nil {
			return context.Cause(ctx)
		}
		if chosen == nil || chosen.Name != peer.Name {
			return follower.ErrSourceChanged
		}
	}
}

// avoidPeer avoids the followed peer, as others are ahead of it.
func (u *upstream) avoidPeer() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peer != nil {
		u.avoidUntil[u.peer.Name] = u.gateway.Clock.Now().Add(avoidTime)
	}
}

// fetchChanges waits for the next changes from a watcher.
func (u *upstream) fetchChanges(ctx context.Context, peer *cataloger.Member) (*peerv1.GatewayObjects, error) {
	timed, cancel := context.WithTimeout(ctx, peerWait+fetchTimeout)
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
		return nil, u.handleFailure(ctx, err)
	}
	u.cursor = message.GetCursor()
	return message, nil
}
