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
	// ReturnWindow is how long after the end of a store outage lapsed objects may reappear.
	ReturnWindow = 2300 * time.Millisecond
	// initialBackoff and maxBackoff bound the time between retries while the store is unavailable. The end of an outage is noticed
	// up to maxBackoff late, which adds to ReturnWindow.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 700 * time.Millisecond
	// minOutage is the shortest outage in which an object can lapse, as its owner misses several renewals by then.
	minOutage = time.Second
	// minListInterval is the minimum time between two lists requested by RequestList.
	minListInterval = 400 * time.Millisecond
)

// Snapshot holds all objects at a revision.
type Snapshot struct {
	Objects  []storer.Object
	Revision storer.Point
	// Cursor is the number of changes that the snapshot includes.
	Cursor uint64
}

// Follower mirrors the objects under one prefix; set its exported fields before Run.
type Follower struct {
	Store  storer.Store
	Prefix string
	Clock  timer.Clock
	Log    zerolog.Logger
	// Apply is called for each change, one at a time; deleted objects have no value.
	Apply func(o storer.Object, deleted bool)
	// Compare orders two values of an object by their content: it is negative if a is the earlier one and 0 if neither is. It
	// decides between values of two eras, whose revisions can't be compared; if it is nil, the later era wins.
	Compare func(a, b storer.Object) int
	// MaxRemovalDelay bounds how long a removal that arrives while the store is available is held back in case the object reappears.
	MaxRemovalDelay time.Duration
	// KeepMissing keeps objects that are missing from a list of a new era.
	KeepMissing bool
	// OnNewEra is called when an answer or a peer shows a later era than before.
	OnNewEra func(era uint64)
	// Behind reports whether a peer has newer objects than the last list returned.
	Behind func() bool
	// WasAvailable reports whether others are known to have had answers of the store since a time, without an outage in which objects
	// lapse.
	WasAvailable func(since time.Time) bool
	// OutageReturnTime returns how long objects may still reappear that lapsed in an outage which others noticed.
	OutageReturnTime func() time.Duration
	// OnList is called once the objects of a list are applied.
	OnList func()
	// ObserveRevision is called with the revision of each change received, whether or not it is applied.
	ObserveRevision func(revision storer.Point)
	// FetchFromPeer returns the snapshot of a peer that has a later revision, and false if there is none; nil if there are no
	// peers. It is used while the store is unavailable, and while Behind reports true.
	FetchFromPeer func(ctx context.Context, prefix string, revision storer.Point) (Snapshot, bool)

	mu       sync.Mutex
	objects  map[string]storer.Object
	revision storer.Point
	// lastChange is the revision of the last change that was applied.
	lastChange storer.Point
	// missedChanges is true from the time the watch is found to have missed changes until the next list, and lastMissed is the
	// revision of the last change that such a list returned.
	missedChanges bool
	lastMissed    storer.Point
	// newestUnlisted is the revision of the newest object that the last list lacked as its source is behind; 0 if there is none.
	newestUnlisted storer.Point
	// synced is true once a complete list was read.
	synced bool
	// failing is true from a failed list until the next answer of the store.
	failing bool
	// watchEnded is true if the watch before the current list ended by itself.
	watchEnded bool
	// answeredAt is when the store last answered, and returnUntil is the end of the time in which lapsed objects may reappear.
	answeredAt, returnUntil time.Time
	// restoredAt is when the store was last found to be restored from an older copy.
	restoredAt time.Time
	// lapsed holds the objects that the store no longer has and that may reappear until a given time. The time is zero while the
	// store is unavailable.
	lapsed map[string]time.Time
	// tombstones are of objects dropped recently; deferred are dropped objects that a restored store lists again.
	tombstones    map[string]tombstone
	deferred      map[string]storer.Object
	listRequested chan struct{}
	feed          feed
}

// New returns a follower without objects.
func New(store storer.Store, prefix string, clock timer.Clock) *Follower {
	return &Follower{
		Store: store, Prefix: prefix, Clock: clock, Log: zerolog.Nop(), ObserveRevision: func(storer.Point) {}, OnNewEra: func(uint64) {}, OnList: func() {}, WasAvailable: func(time.Time) bool { return false }, OutageReturnTime: func() time.Duration { return 0 },
		Behind: func() bool { return false }, MaxRemovalDelay: ReturnWindow,
		objects: map[string]storer.Object{}, lapsed: map[string]time.Time{}, tombstones: map[string]tombstone{}, deferred: map[string]storer.Object{},
		listRequested: make(chan struct{}, 1), feed: newFeed(),
	}
}

// Revision returns the revision up to which the objects are complete, and whether a complete list was read yet.
func (f *Follower) Revision() (storer.Point, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.synced
}

// LastChange returns the revision of the last change of the objects. A peer whose LastChange is later than Revision has newer objects.
func (f *Follower) LastChange() storer.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange
}

// MarkMissedChanges records that the watch has missed changes and requests a list.
func (f *Follower) MarkMissedChanges() {
	f.mu.Lock()
	f.missedChanges = true
	f.mu.Unlock()
	f.RequestList()
}

// LastMissedChange returns the revision of the last change that a list after MarkMissedChanges returned, or 0 if there was none.
func (f *Follower) LastMissedChange() storer.Point {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastMissed
}

// Snapshot returns the current objects, and whether a complete list was read yet.
func (f *Follower) Snapshot() (Snapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := Snapshot{Revision: f.revision, Cursor: f.feed.end}
	for _, o := range f.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, f.synced
}

// RequestList requests a list, for example because a peer has a later revision.
func (f *Follower) RequestList() {
	select {
	case f.listRequested <- struct{}{}:
	default:
	}
}

// Run lists and watches the prefix until ctx is done, and returns nil. A watch that ends is no outage by itself, as the store may cut
// it off at any time: the next list shows whether the store is available.
func (f *Follower) Run(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		objects, revision, err := f.Store.List(ctx, f.Prefix)
		listed := err == nil
		if listed {
			f.reconcile(objects, revision)
			f.OnList()
			began := f.Clock.Now()
			err = f.watch(ctx, revision)
			if f.Clock.Now().Sub(began) >= maxBackoff {
				backoff = 0
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		requested := errors.Is(err, storer.ErrCompacted) || errors.Is(err, errListRequested) || errors.Is(err, ErrSourceChanged)
		f.setWatchEnded(listed && !requested)
		switch {
		case requested:
			backoff = initialBackoff
			_ = f.Clock.Sleep(ctx, initialBackoff)
			continue
		case listed:
			f.Log.Info().Err(err).Str("prefix", f.Prefix).Msg("watch ended, reading all objects again")
		default:
			f.recordFailure(err)
			f.syncFromPeer(ctx)
		}
		if backoff > 0 {
			_ = f.Clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		}
		backoff = min(max(2*backoff, initialBackoff), maxBackoff)
	}
	return nil
}

func (f *Follower) setWatchEnded(ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchEnded = ended
}

var errListRequested = errors.New("a new list was requested")

// ErrSourceChanged is returned by a Store that switches to another source; it does not count as an outage.
var ErrSourceChanged = errors.New("the source of objects has changed")

// watch watches the objects from a revision until the watch ends.
func (f *Follower) watch(ctx context.Context, revision storer.Point) error {
	if f.Behind() {
		f.syncFromPeer(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listRequested := make(chan struct{})
	go f.awaitListRequest(ctx, cancel, listRequested)
	err := f.Store.Watch(ctx, f.Prefix, revision, func(e storer.Event) error {
		f.applyEvent(e)
		return nil
	})
	select {
	case <-listRequested:
		return errListRequested
	default:
		return err
	}
}

// awaitListRequest cancels the watch when a list is requested, but not before minListInterval has passed.
func (f *Follower) awaitListRequest(ctx context.Context, cancel func(), listRequested chan struct{}) {
	if f.Clock.Sleep(ctx, minListInterval) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.listRequested:
		close(listRequested)
		cancel()
	}
}

// Failing reports whether the last list failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Stringer("revision", f.revision).Msg("store lost, going on with what is known")
	}
	f.failing = true
	for key := range f.lapsed {
		f.lapsed[key] = time.Time{}
	}
}

// recordAnswer records that the store has answered; the caller holds mu.
func (f *Follower) recordAnswer() {
	before := f.answeredAt
	f.answeredAt = f.Clock.Now()
	if !f.failing {
		return
	}
	f.failing = false
	// If the store turned this daemon alone away, the owners of the objects could renew them.
	available := f.WasAvailable(before)
	if !available {
		f.returnUntil = f.answeredAt.Add(ReturnWindow)
	}
	f.Log.Info().Str("prefix", f.Prefix).Bool("available-to-others", available).Msg("store is back")
	hold := f.returnTime()
	for key := range f.lapsed {
		f.lapsed[key] = f.answeredAt.Add(hold)
	}
	f.Clock.AfterFunc(hold, f.dropLapsed)
}

// returnTime returns how long lapsed objects may still reappear after an outage, or 0 if there was none lately; the caller holds mu.
func (f *Follower) returnTime() time.Duration { return max(f.returnUntil.Sub(f.Clock.Now()), 0) }

// reconcile applies a complete list.
func (f *Follower) reconcile(objects []storer.Object, revision storer.Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// An outage that begins and ends while a watch waits shows in no failed call.
	mayHaveLapsed := f.watchEnded && f.Clock.Now().Sub(f.answeredAt) >= minOutage && !f.WasAvailable(f.answeredAt)
	f.recordAnswer()
	f.observeEra(revision)
	hold := f.returnTime()
	if hold == 0 && mayHaveLapsed {
		hold = min(ReturnWindow, f.MaxRemovalDelay)
	}
	hold = max(hold, f.OutageReturnTime())
	listed := make(map[string]bool, len(objects))
	before := f.lastChange
	for _, o := range objects {
		listed[o.Key] = true
		f.ObserveRevision(o.Version)
		f.applyObject(o, revision)
	}
	f.newestUnlisted = 0
	for key, o := range f.objects {
		if listed[key] {
			continue
		}
		if o.Version > revision {
			f.newestUnlisted = max(f.newestUnlisted, o.Version)
		}
		if !f.covers(revision, o) {
			continue
		}
		if _, lapsed := f.lapsed[key]; !lapsed {
			// The list does not show when the object was removed.
			f.lastChange = max(f.lastChange, revision)
		}
		f.remove(key, hold)
	}
	for key := range f.deferred {
		if !listed[key] {
			delete(f.deferred, key)
		}
	}
	if f.missedChanges && f.lastChange > before {
		f.lastMissed = f.lastChange
	}
	f.missedChanges = false
	f.revision = max(f.revision, revision)
	f.synced = true
}

func (f *Follower) applyEvent(e storer.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer()
	f.observeEra(e.Revision)
	if e.Object.Key != "" {
		f.lastChange = max(f.lastChange, e.Revision)
		f.ObserveRevision(e.Object.Version)
	}
	switch {
	case e.Object.Key == "":
	case !e.Deleted:
		f.applyObject(e.Object, e.Revision)
	case f.objects[e.Object.Key].Version <= e.Revision:
		delete(f.deferred, e.Object.Key)
		f.remove(e.Object.Key, min(max(f.returnTime(), f.OutageReturnTime()), f.MaxRemovalDelay))
	}
	f.revision = max(f.revision, e.Revision)
	if f.newestUnlisted != 0 && e.Revision >= f.newestUnlisted {
		// The source has caught up. Its changes do not name what had come and gone before it did.
		f.newestUnlisted = 0
		f.RequestList()
	}
}

// applyObject applies an object from a source that is complete up to a point, unless the current one is newer; the caller holds mu.
func (f *Follower) applyObject(o storer.Object, source storer.Point) {
	delete(f.lapsed, o.Key)
	current, ok := f.objects[o.Key]
	switch {
	case ok && !replaces(current, o, f.Compare):
		return
	case !ok && f.synced && source < f.revision && o.Version <= f.revision:
		// The source lags: the object has been dropped since.
		return
	case !ok && f.wasDropped(o):
		// A peer keeps an object for a while that may reappear.
		return
	case !ok && f.coveredByTombstone(o):
		f.deferred[o.Key] = o
		return
	}
	f.accept(o)
}

// accept replaces the current value of an object; the caller holds mu.
func (f *Follower) accept(o storer.Object) {
	delete(f.tombstones, o.Key)
	delete(f.deferred, o.Key)
	f.objects[o.Key] = o
	f.lastChange = max(f.lastChange, o.Version)
	f.feed.add(Change{Object: o})
	f.Apply(o, false)
}

// covers reports whether a source that is complete up to a point would list an object if it still existed.
func (f *Follower) covers(source storer.Point, o storer.Object) bool {
	return o.Version <= source && (!f.KeepMissing || o.Version.Era() >= source.Era())
}

// remove drops an object, or marks it as lapsed if it may reappear for the time given by hold; the caller holds mu.
func (f *Follower) remove(key string, hold time.Duration) {
	if _, ok := f.objects[key]; !ok {
		return
	}
	if hold <= 0 {
		f.drop(key)
		return
	}
	until := f.Clock.Now().Add(hold)
	if earlier := f.lapsed[key]; !earlier.IsZero() && earlier.Before(until) {
		return
	}
	f.lapsed[key] = until
	f.Clock.AfterFunc(hold, f.dropLapsed)
}

func (f *Follower) drop(key string) {
	o := f.objects[key]
	f.addTombstone(o)
	delete(f.objects, key)
	delete(f.lapsed, key)
	deleted := storer.Object{Key: o.Key, Version: o.Version}
	f.feed.add(Change{Object: deleted, Deleted: true})
	f.Apply(deleted, true)
}

// dropLapsed drops the lapsed objects that did not reappear in time.
func (f *Follower) dropLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for key, until := range f.lapsed {
		if !until.IsZero() && !now.Before(until) {
			f.drop(key)
		}
	}
}

// syncFromPeer applies the snapshot of a peer. Objects that the peer lacks are dropped only if its snapshot covers them.
func (f *Follower) syncFromPeer(ctx context.Context) {
	if f.FetchFromPeer == nil {
		return
	}
	revision, _ := f.Revision()
	c, ok := f.FetchFromPeer(ctx, f.Prefix, revision)
	if !ok {
		return
	}
	f.Log.Info().Str("prefix", f.Prefix).Stringer("revision", c.Revision).Msg("applied the snapshot of a peer")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(c.Revision)
	listed := map[string]bool{}
	for _, o := range c.Objects {
		if strings.HasPrefix(o.Key, f.Prefix) {
			listed[o.Key] = true
			f.applyObject(o, c.Revision)
		}
	}
	if c.Revision < f.revision {
		return
	}
	// A peer that follows the store has given lapsed objects time to reappear before it dropped them.
	for key, o := range f.objects {
		if !listed[key] && f.covers(c.Revision, o) {
			f.drop(key)
		}
	}
	f.revision = c.Revision
	f.synced = true
}
