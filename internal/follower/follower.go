package follower

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/storer"
	"github.com/rattantray/rattantray/internal/timer"
)

const (
	// ReturnTime is how long after the end of an outage of the store lapsed objects may come back.
	ReturnWindow = 2500 * time.Millisecond
	// firstPause and maxPause bound the time between tries while the store is away.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
	// nudgePause is the least time between two lists that peers ask for.
	nudgePause = 400 * time.Millisecond
)

// Copy is a view of all objects at a revision.
type Snapshot struct {
	Objects  []storer.Object
	Revision storer.Point
	// Cursor is the number of changes that the copy includes.
	Cursor uint64
}

// Follower follows one prefix; set its exported fields before Run.
type Follower struct {
	Store  storer.Store
	Prefix string
	Clock  timer.Clock
	Log    zerolog.Logger
	// Apply takes each change, one at a time; deleted objects come without a value.
	Apply func(o storer.Object, deleted bool)
	// Compare orders two values of an object by what they say: it is negative where a is the earlier one, 0 where neither is. It
	// decides between values of two eras, whose revisions say nothing about each other; nil lets the later era win.
	Compare func(a, b storer.Object) int
	// KeepMissing keeps objects that a list of a new era lacks.
	KeepMissing bool
	// EraRose is called as an answer or a peer names a later era than before.
	OnNewEra func(era uint64)
	// Behind tells whether a peer is known to have more than what a list has brought.
	Behind func() bool
	// See takes the revision of each change that is seen, whatever becomes of it.
	ObserveRevision func(revision storer.Point)
	// Ask returns the copy of a peer that knows more; nil where there are none. It is used while the store is away, and while
	// Behind.
	FetchFromPeer func(ctx context.Context, prefix string, revision storer.Point) (Snapshot, bool)

	mu       sync.Mutex
	objects  map[string]storer.Object
	revision storer.Point
	// changed is the revision of the last change that was applied.
	changed storer.Point
	// missing is true from the proof that the watch has missed changes until the next list, and missed is the revision of the last
	// change that such a list brought.
	missing bool
	missed  storer.Point
	// synced is true once a whole list was read.
	synced bool
	// failing is true from a failure of the store until its next answer, which is at returned.
	failing  bool
	returned time.Time
	// restored is when the store was last noticed to have come back from an older copy.
	restored time.Time
	// lapsed are objects that the store no longer has, and may have again soon.
	lapsed map[string]bool
	// tombstones are of objects that were dropped lately, and deferred are those that a copy of the store names although they were.
	tombstones map[string]tombstone
	deferred   map[string]storer.Object
	nudged     chan struct{}
	feed       feed
}

// New returns a follower that knows no objects.
func New(store storer.Store, prefix string, clock timer.Clock) *Follower {
	return &Follower{
		Store: store, Prefix: prefix, Clock: clock, Log: zerolog.Nop(), ObserveRevision: func(storer.Point) {}, OnNewEra: func(uint64) {},
		Behind:  func() bool { return false },
		objects: map[string]storer.Object{}, lapsed: map[string]bool{}, tombstones: map[string]tombstone{}, deferred: map[string]storer.Object{},
		nudged: make(chan struct{}, 1), feed: newFeed(),
	}
}

// Revision returns the revision up to which the copy is whole, and whether it is.
func (f *Follower) Revision() (storer.Point, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.synced
}

// Changed returns the revision of the last change of the objects; a peer with a later one than Revision knows more.
func (f *Follower) LastChange() storer.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// MarkMissed asks for a list, as the watch has missed changes.
func (f *Follower) MarkMissedChanges() {
	f.mu.Lock()
	f.missing = true
	f.mu.Unlock()
	f.RequestList()
}

// Missed returns the revision of the last change that the list after a MarkMissed has brought; 0 where there was none.
func (f *Follower) LastMissedChange() storer.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.missed
}

// Copy returns the objects as they are known.
func (f *Follower) Snapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Snapshot{Revision: f.revision, Cursor: f.feed.end}
	for _, o := range f.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, f.synced
}

// Nudge asks for a list, as a peer knows a later revision.
func (f *Follower) RequestList() {
	select {
	case f.nudged <- struct{}{}:
	default:
	}
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		err := f.round(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, storer.ErrCompacted) || errors.Is(err, errNudged) || errors.Is(err, ErrSourceChanged) {
			pause = firstPause
			_ = f.Clock.Sleep(ctx, firstPause)
			continue
		}
		f.fail(err)
		f.askPeers(ctx)
		_ = f.Clock.Sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, maxPause)
		if !f.Failing() {
			pause = firstPause
		}
	}
	return nil
}

var errNudged = errors.New("a peer knows more")

// ErrMoved is what a Store returns that goes on somewhere else; it is no outage.
var ErrSourceChanged = errors.New("the source of objects has changed")

// round lists and then watches until the watch ends.
func (f *Follower) round(ctx context.Context) error {
	objects, revision, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.answered()
	f.reconcile(objects, revision)
	if f.Behind() {
		f.askPeers(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nudged := make(chan struct{})
	go f.awaitNudge(ctx, cancel, nudged)
	err = f.Store.Watch(ctx, f.Prefix, revision, func(e storer.Event) error {
		f.answered()
		f.take(e)
		return nil
	})
	select {
	case <-nudged:
		return errNudged
	default:
		return err
	}
}

// awaitNudge ends a watch that misses what peers have.
func (f *Follower) awaitNudge(ctx context.Context, cancel func(), nudged chan struct{}) {
	if f.Clock.Sleep(ctx, nudgePause) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.nudged:
		close(nudged)
		cancel()
	}
}

// Failing tells whether the store did not answer the last call.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *Follower) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Stringer("revision", f.revision).Msg("store lost, going on with what is known")
	}
	f.failing = true
}

// answered takes in that the store has answered.
func (f *Follower) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		return
	}
	f.failing = false
	f.returned = f.Clock.Now()
	f.Log.Info().Str("prefix", f.Prefix).Msg("store is back")
	f.Clock.AfterFunc(ReturnWindow, f.dropLapsed)
}

// settling tells whether lapsed objects may still come back.
func (f *Follower) settling() bool {
	return f.failing || !f.returned.IsZero() && f.Clock.Now().Sub(f.returned) < ReturnWindow
}

// reconcile takes a whole list.
func (f *Follower) reconcile(objects []storer.Object, revision storer.Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(revision)
	listed := make(map[string]bool, len(objects))
	before := f.changed
	for _, o := range objects {
		listed[o.Key] = true
		f.ObserveRevision(o.Version)
		f.put(o, revision)
	}
	for key, o := range f.objects {
		if listed[key] || !f.covers(revision, o) {
			continue
		}
		if !f.lapsed[key] {
			// The list does not tell when the object was removed.
			f.changed = max(f.changed, revision)
		}
		f.remove(key)
	}
	for key := range f.deferred {
		if !listed[key] {
			delete(f.deferred, key)
		}
	}
	if f.missing && f.changed > before {
		f.missed = f.changed
	}
	f.missing = false
	f.revision = max(f.revision, revision)
	f.synced = true
}

func (f *Follower) take(e storer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(e.Revision)
	if e.Object.Key != "" {
		f.changed = max(f.changed, e.Revision)
		f.ObserveRevision(e.Object.Version)
	}
	switch {
	case e.Object.Key == "":
	case !e.Deleted:
		f.put(e.Object, e.Revision)
	case f.objects[e.Object.Key].Version <= e.Revision:
		delete(f.deferred, e.Object.Key)
		f.remove(e.Object.Key)
	}
	f.revision = max(f.revision, e.Revision)
}

// put applies an object, as a source knows it that is whole up to a point, unless what is known is newer; the caller holds mu.
func (f *Follower) put(o storer.Object, source storer.Point) {
	delete(f.lapsed, o.Key)
	known, ok := f.objects[o.Key]
	switch {
	case ok && !replaces(known, o, f.Compare):
		return
	case !ok && f.synced && source < f.revision && o.Version <= f.revision:
		// The source lags: the object was dropped since.
		return
	case !ok && f.deleted(o):
		f.deferred[o.Key] = o
		return
	}
	f.accept(o)
}

// accept puts an object in place of what is known; the caller holds mu.
func (f *Follower) accept(o storer.Object) {
	delete(f.tombstones, o.Key)
	delete(f.deferred, o.Key)
	f.objects[o.Key] = o
	f.changed = max(f.changed, o.Version)
	f.feed.add(Change{Object: o})
	f.Apply(o, false)
}

// covers tells whether a source that is whole up to a point would name an object if it were still there.
func (f *Follower) covers(source storer.Point, o storer.Object) bool {
	return o.Version <= source && (!f.KeepMissing || o.Version.Era() >= source.Era())
}

// remove forgets an object, or marks it as lapsed while it may come back; the caller holds mu.
func (f *Follower) remove(key string) {
	if _, ok := f.objects[key]; !ok {
		return
	}
	if f.settling() {
		f.lapsed[key] = true
		return
	}
	f.drop(key)
}

func (f *Follower) drop(key string) {
	o := f.objects[key]
	f.addTombstone(o)
	delete(f.objects, key)
	delete(f.lapsed, key)
	gone := storer.Object{Key: o.Key, Version: o.Version}
	f.feed.add(Change{Object: gone, Deleted: true})
	f.Apply(gone, true)
}

// dropLapsed forgets what did not come back, unless the store went away again meanwhile.
func (f *Follower) dropLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settling() {
		return
	}
	for key := range f.lapsed {
		f.drop(key)
	}
}

// askPeers takes over what a peer knows while the store does not answer; objects that the peer lacks stay.
func (f *Follower) askPeers(ctx context.Context) {
	if f.FetchFromPeer == nil {
		return
	}
	revision, _ := f.Revision()
	c, ok := f.FetchFromPeer(ctx, f.Prefix, revision)
	if !ok {
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Stringer("revision", c.Revision).Msg("took what a peer knows")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteEra(c.Revision)
	listed := map[string]bool{}
	for _, o := range c.Objects {
		if strings.HasPrefix(o.Key, f.Prefix) {
			listed[o.Key] = true
			f.put(o, c.Revision)
		}
	}
	if c.Revision < f.revision {
		return
	}
	// A peer that follows the store has let lapsed objects come back before it dropped them.
	for key, o := range f.objects {
		if !listed[key] && f.covers(c.Revision, o) {
			f.drop(key)
		}
	}
	f.revision = c.Revision
	f.synced = true
}
