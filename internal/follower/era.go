package follower

import (
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// tombstoneTTL is how long a tombstone is kept: longer than the age of any copy that the store may be restored from.
	tombstoneTTL = time.Minute
	// maxTombstones bounds the number of tombstones; the oldest are evicted first.
	maxTombstones = 8192
	// deferTime is how long an object that was dropped is held back when a restored store lists it again. By then the store has
	// removed the entries whose owners do not renew them.
	deferTime = 6 * time.Second
)

// tombstone is a dropped object and the time of the drop.
type tombstone struct {
	object storer.Object
	at     time.Time
}

// replaces reports whether an offered value replaces the current one. Within an era the higher revision wins. Between two eras
// compare decides, as the store reuses revisions; if it finds the values equal, the later era wins.
func replaces(current, offered storer.Object, compare func(a, b storer.Object) int) bool {
	if current.Version.Era() != offered.Version.Era() && compare != nil {
		if order := compare(current, offered); order != 0 {
			return order < 0
		}
	}
	return offered.Version > current.Version
}

// observeEra checks the point of an answer for a new era, which means that the store was restored from an older copy. As after an
// outage, objects that the copy lacks may reappear; the caller holds mu.
func (f *Follower) observeEra(p storer.Point) {
	if !f.synced || p.Era() <= f.revision.Era() {
		return
	}
	f.Log.Warn().Str("prefix", f.Prefix).Stringer("revision", f.revision).Stringer("now", p).Msg("store came back from an older copy")
	f.restoredAt = f.Clock.Now()
	f.returnUntil = f.restoredAt.Add(ReturnWindow)
	f.Clock.AfterFunc(deferTime, f.applyDeferred)
	f.revision = p
	f.OnNewEra(p.Era())
}

// addTombstone records that an object was dropped; the caller holds mu.
func (f *Follower) addTombstone(o storer.Object) {
	now := f.Clock.Now()
	if len(f.tombstones) >= maxTombstones {
		oldest := o.Key
		for key, t := range f.tombstones {
			if now.Sub(t.at) > tombstoneTTL {
				delete(f.tombstones, key)
			} else if oldest == o.Key || t.at.Before(f.tombstones[oldest].at) {
				oldest = key
			}
		}
		if len(f.tombstones) >= maxTombstones {
			delete(f.tombstones, oldest)
		}
	}
	f.tombstones[o.Key] = tombstone{object: o, at: now}
}

// tombstone returns the tombstone of an object that was dropped recently; the caller holds mu.
func (f *Follower) tombstone(key string) (tombstone, bool) {
	t, ok := f.tombstones[key]
	return t, ok && f.Clock.Now().Sub(t.at) <= tombstoneTTL
}

// wasDropped reports whether an object is the one that was dropped in its era or a later one, or an earlier value of it; the
// caller holds mu.
func (f *Follower) wasDropped(o storer.Object) bool {
	t, ok := f.tombstone(o.Key)
	return ok && o.Version.Era() <= t.object.Version.Era() && !replaces(t.object, o, f.Compare)
}

// coveredByTombstone reports whether an object that arrives soon after a restore is no newer, by Compare, than the one that was
// dropped in an earlier era; the caller holds mu.
func (f *Follower) coveredByTombstone(o storer.Object) bool {
	t, ok := f.tombstone(o.Key)
	if !ok || f.Clock.Now().Sub(f.restoredAt) >= deferTime || o.Version.Era() <= t.object.Version.Era() {
		return false
	}
	return f.Compare != nil && f.Compare(t.object, o) >= 0
}

// applyDeferred applies the deferred objects that are still listed, unless the store was restored again in the meantime.
func (f *Follower) applyDeferred() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now().Sub(f.restoredAt) < deferTime {
		return
	}
	for _, o := range f.deferred {
		f.accept(o)
	}
}
