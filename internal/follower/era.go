package follower

import (
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// tombstoneTime is how long a dropped object is remembered: over the age of any copy that the store may come back from.
	tombstoneTime = time.Minute
	// maxTombstones bounds the objects that are remembered; the oldest are forgotten first.
	maxTombstones = 8192
	// deferTime is how long an object waits that a copy of the store names although it was dropped: by then the store has removed
	// the entries of those that do not renew them.
	deferTime = 6 * time.Second
)

// tombstone is an object that was dropped.
type tombstone struct {
	object storer.Object
	at     time.Time
}

// replaces tells whether an offered value takes the place of the known one. Within an era the revision decides. Between two eras
// what the values say does, as the store gives revisions out again; where they say the same, the later era.
func replaces(known, offered storer.Object, compare func(a, b storer.Object) int) bool {
	if known.Version.Era() != offered.Version.Era() && compare != nil {
		if order := compare(known, offered); order != 0 {
			return order < 0
		}
	}
	return offered.Version > known.Version
}

// noteEra takes in the point of an answer. Where its era is later than all before, the store came back from an older copy: as after an
// outage, what the copy lacks may come back; the caller holds mu.
func (f *Follower) noteEra(p storer.Point) {
	if !f.synced || p.Era() <= f.revision.Era() {
		return
	}
	f.Log.Warn().Str("prefix", f.Prefix).Stringer("revision", f.revision).Stringer("now", p).Msg("store came back from an older copy")
	f.returned = f.Clock.Now()
	f.restored = f.returned
	f.Clock.AfterFunc(ReturnWindow, f.dropLapsed)
	f.Clock.AfterFunc(deferTime, f.applyDeferred)
	f.revision = p
	f.OnNewEra(p.Era())
}

// addTombstone remembers an object that is dropped; the caller holds mu.
func (f *Follower) addTombstone(o storer.Object) {
	now := f.Clock.Now()
	if len(f.tombstones) >= maxTombstones {
		oldest := o.Key
		for key, t := range f.tombstones {
			if now.Sub(t.at) > tombstoneTime {
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

// deleted tells whether an object that comes soon after a restore, in a later era, says no more than what was dropped in an earlier
// one; the caller holds mu.
func (f *Follower) deleted(o storer.Object) bool {
	t, ok := f.tombstones[o.Key]
	now := f.Clock.Now()
	if !ok || now.Sub(t.at) > tombstoneTime || now.Sub(f.restored) >= deferTime || o.Version.Era() <= t.object.Version.Era() {
		return false
	}
	return f.Compare != nil && f.Compare(t.object, o) >= 0
}

// applyDeferred applies what was deferred and is still there, unless another copy came meanwhile.
func (f *Follower) applyDeferred() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now().Sub(f.restored) < deferTime {
		return
	}
	for _, o := range f.deferred {
		f.accept(o)
	}
}
