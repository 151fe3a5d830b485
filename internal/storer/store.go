package storer

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Errors of a Store; test for them with errors.Is.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the stored version is not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("write outcome uncertain")
	// ErrUnavailable says that the store did not take the call; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRateLimited says that a budget of calls is spent; nothing was written.
	ErrRateLimited = errors.New("store rate limited")
	// ErrTooLarge says that the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted says that a watch cannot start at the revision any more; list again.
	ErrCompacted = errors.New("revision compacted")
)

// Object is a stored value.
type Object struct {
	Key   string
	Value []byte
	// Version is the revision of the store at the object's last write; revisions grow with every write to the store.
	Version Point
}

// Event is a change seen by a watch; a bookmark has no key.
type Event struct {
	Object  Object
	Deleted bool
	// Revision is the revision up to which the watch is complete.
	Revision Point
}

// Store is the object API.
type Store struct {
	// Get returns one object or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix in key order, and the revision they were read at.
	List func(ctx context.Context, prefix string) ([]Object, Point, error)
	// Put writes value if the stored version is expected, 0 for a new key, and returns the new version.
	Put func(ctx context.Context, key string, value []byte, expected Point) (Point, error)
	// Delete removes the object if the stored version is expected, and returns the store's revision.
	Delete func(ctx context.Context, key string, expected Point) (Point, error)
	// Watch calls emit for each change under prefix after a revision, in order, until ctx is done or it fails.
	Watch func(ctx context.Context, prefix string, after Point, emit func(Event) error) error
	// ListVMs returns the platform's list of VMs, which lags.
	ListVMs func(ctx context.Context) ([]cataloger.VM, error)
}

var errorNames = []struct {
	err  error
	name string
}{
	{ErrNotFound, "not-found"},
	{ErrConflict, "conflict"},
	{ErrUncertain, "uncertain"},
	{ErrUnavailable, "unavailable"},
	{ErrRateLimited, "rate-limited"},
	{ErrTooLarge, "too-large"},
	{ErrCompacted, "compacted"},
}

// ErrorName returns the kebab-case name of a Store's error.
func ErrorName(err error) string {
	for _, e := range errorNames {
		if errors.Is(err, e.err) {
			return e.name
		}
	}
	return "other"
}

// Mark returns err as an error that is also kind, for errors.Is of any library.
func Mark(err, kind error) error { return fmt.Errorf("%w: %w", kind, err) }
