package follower

import (
	"context"
	"time"

	"github.com/rattantray/rattantray/internal/storer"
)

// feedLength is how many changes are kept for those who follow this follower.
const feedLength = 4096

// Change is one change of an object.
type Change struct {
	Object  storer.Object
	Deleted bool
}

// feed keeps the latest changes.
type feed struct {
	changes []Change
	// end is the number of changes since the start; the last of them is the last one kept.
	end uint64
	// grown is closed at the next change.
	grown chan struct{}
}

func newFeed() feed { return feed{grown: make(chan struct{})} }

func (f *feed) add(c Change) {
	f.changes = append(f.changes, c)
	if len(f.changes) > feedLength {
		f.changes = append(f.changes[:0], f.changes[feedLength/2:]...)
	}
	f.end++
	close(f.grown)
	f.grown = make(chan struct{})
}

// since returns the changes after a cursor; false where they are not kept any more.
func (f *feed) since(cursor uint64) ([]Change, bool) {
	missing := f.end - cursor
	if cursor > f.end || missing > uint64(len(f.changes)) {
		return nil, false
	}
	return append([]Change{}, f.changes[uint64(len(f.changes))-missing:]...), true
}

// Since waits for changes after a cursor, for so long at the most, and returns them with the revision and the cursor that they
// lead to; ErrCompacted says that they are not kept any more.
func (f *Follower) Since(ctx context.Context, cursor uint64, wait time.Duration) ([]Change, Snapshot, error) {
	waited := make(chan struct{})
	stop := f.Clock.AfterFunc(wait, func() { close(waited) })
	defer stop()
	for {
		f.mu.Lock()
		changes, ok := f.feed.since(cursor)
		at, grown := Snapshot{Revision: f.revision, Cursor: f.feed.end}, f.feed.grown
		f.mu.Unlock()
		if !ok {
			return nil, Snapshot{}, storer.ErrCompacted
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
		select {
		case <-grown:
		case <-waited:
			return nil, at, nil
		case <-ctx.Done():
			return nil, Snapshot{}, ctx.Err()
		}
	}
}
