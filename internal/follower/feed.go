package follower

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

// feedLength is the maximum number of changes kept for the clients of Since.
const feedLength = 4096

// Change is one change of an object.
type Change struct {
	Object  storer.Object
	Deleted bool
}

// feed keeps the latest changes.
type feed struct {
	changes []Change
	// end is the number of changes since the start; the newest one kept has this number.
	end uint64
	// updated is closed at the next change.
	updated chan struct{}
}

func newFeed() feed { return feed{updated: make(chan struct{})} }

func (f *feed) add(c Change) {
	f.changes = append(f.changes, c)
	if len(f.changes) > feedLength {
		f.changes = append(f.changes[:0], f.changes[feedLength/2:]...)
	}
	f.end++
	close(f.updated)
	f.updated = make(chan struct{})
}

// since returns the changes after a cursor, or false if they are no longer kept.
func (f *feed) since(cursor uint64) ([]Change, bool) {
	missing := f.end - cursor
	if cursor > f.end || missing > uint64(len(f.changes)) {
		return nil, false
	}
	return append([]Change{}, f.changes[uint64(len(f.changes))-missing:]...), true
}

// Since waits up to the given time for changes after a cursor and returns them with the revision and the cursor that they
// lead to. It fails with storer.ErrCompacted if they are no longer kept.
func (f *Follower) Since(ctx context.Context, cursor uint64, wait time.Duration) ([]Change, Snapshot, error) {
	expired := make(chan struct{})
	stop := f.Clock.AfterFunc(wait, func() { close(expired) })
	defer stop()
	for {
		f.mu.Lock()
		changes, ok := f.feed.since(cursor)
		position, updated := Snapshot{Revision: f.revision, Cursor: f.feed.end}, f.feed.updated
		f.mu.Unlock()
		if !ok {
			return nil, Snapshot{}, storer.ErrCompacted
		}
		if len(changes) > 0 {
			return changes, position, nil
		}
		select {
		case <-updated:
		case <-expired:
			return nil, position, nil
		case <-ctx.Done():
			return nil, Snapshot{}, ctx.Err()
		}
	}
}
