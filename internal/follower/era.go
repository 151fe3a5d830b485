package follower

import (
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

const (
	// buryTime is how long a dropped object is remembered: over the age of any copy that the store may come back from.
	buryTime = time.Minute
	// maxBuried bounds the objects that are remembered; the oldest are forgotten first.
	maxBuried = 8192
	// holdTime is how long an object is held back that a copy of the store names although it was dropped: by then the store has
	// removed the entries of those that do not renew them.
	holdTime = 6 * time.Second
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

// enter takes in the point of an answer. Where its era is later than all before, the store came back from an older copy: as after an
// outage, what the copy lacks may come back; the caller holds mu.
func (f *Follower) enter(p storer.Point) {
	if !f.synced || p.Era() <= f.revision.Era() {
		return
	}
	f.Log.Warn().Str("prefix", f.Prefix).Stringer("revision", f.revision).Stringer("now", p).Msg("store came back from an older copy")
	f.returned = f.Clock.Now()
	f.restored = f.returned
	f.Clock.AfterFunc(ReturnTime, f.dropLapsed)
	f.Clock.AfterFunc(holdTime, f.acceptHeld)
	f.revision = p
	f.EraRose(p.Era())
}

// bury remembers an object that is dropped; the caller holds mu.
func (f *Follower) bury(o storer.Object) {
	now := f.Clock.Now()
	if len(f.gone) >= maxBuried {
		oldest := o.Key
		for key, t := range f.gone {
			if now.Sub(t.at) > buryTime {
				delete(f.gone, key)
			} else if oldest == o.Key || t.at.Before(f.gone[oldest].at) {
				oldest = key
			}
		}
		if len(f.gone) >= maxBuried {
			delete(f.gone, oldest)
		}
	}
	f.gone[o.Key] = tombstone{object: o, at: now}
}

// buried tells whether an object of a later era says no more than what was dropped in an earlier one; the caller holds mu.
func (f *Follower) buried(o storer.Object) bool {
	t, ok := f.gone[o.Key]
	if !ok || f.Clock.Now().Sub(t.at) > buryTime || o.Version.Era() <= t.object.Version.Era() {
		return false
	}
	return f.Compare != nil && f.Compare(t.object, o) >= 0
}

// acceptHeld applies what was held back and is still there, unless another copy came meanwhile.
func (f *Follower) acceptHeld() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Clock.Now().Sub(f.restored) < holdTime {
		return
	}
	for _, o := range f.held {
		f.accept(o)
	}
}
