package storer

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// MaxValueBytes is the maximum size of a value in the object API, in bytes.
const MaxValueBytes = 1 << 20

// Errors of a Store; test for them with errors.Is.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict says that the stored version is not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUncertain says that a write may or may not have taken effect.
	ErrUncertain = errors.New("write outcome uncertain")
	// ErrUnavailable says that the store did not accept the call; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRateLimited says that the budget for calls is exhausted; nothing was written.
	ErrRateLimited = errors.New("store rate limited")
	// ErrTooLarge says that the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrCompacted says that a watch can no longer start at the revision; the caller has to list again.
	ErrCompacted = errors.New("revision compacted")
)

// Object is a stored value.
type Object struct {
	Key   string
	Value []byte
	// Version is the revision of the store at the object's last write; revisions grow with every write to the store.
	Version Point
}

// Event is a change reported by a watch; a bookmark, which only advances Revision, has no key.
type Event struct {
	Object  Object
	Deleted bool
	// Revision is the revision up to which the watch is complete.
	Revision Point
}

// Store is the platform's object API and VM list.
type Store struct {
	// Get returns one object or ErrNotFound.
	Get func(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix in key order, and the revision they were read at.
	List func(ctx context.Context, prefix string) ([]Object, Point, error)
	// Put writes value if the stored version equals expected (0 for a new key), and returns the new version.
	Put func(ctx context.Context, key string, value []byte, expected Point) (Point, error)
	// Delete removes the object if the stored version equals expected, and returns the store's revision.
	Delete func(ctx context.Context, key string, expected Point) (Point, error)
	// Watch calls emit for each change under prefix after a revision, in order, until ctx is done, emit fails or the watch fails.
	Watch func(ctx context.Context, prefix string, after Point, emit func(Event) error) error
	// ListVMs returns the platform's list of VMs, which may be out of date.
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

// Mark returns err as an error that is also kind, for errors.Is of the standard library or any other.
func Mark(err, kind error) error { return fmt.Errorf("%w: %w", kind, err) }
