package storer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// revisionBits is how many lower bits of a Point hold the revision: at ten thousand writes a second they last for 55 years.
const revisionBits = 44

// Limits of a Point.
const (
	MaxEra      = 1<<(64-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// Point is a point in the history of the store. A store that is restored from an older copy begins a new era, in which it reuses
// revisions. So points are ordered by their era first, and can be compared as numbers. The zero value is before every other.
type Point uint64

// NewPoint returns the point of a revision in an era, or an error if either exceeds its limit.
func NewPoint(era, revision uint64) (Point, error) {
	if era > MaxEra || revision > MaxRevision {
		return 0, errors.Newf("era %d and revision %d, at most %d and %d", era, revision, uint64(MaxEra), uint64(MaxRevision))
	}
	return Point(era<<revisionBits | revision), nil
}

// Era returns how often the store had been restored from an older copy.
func (p Point) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the store's count of changes, which can only be compared within an era.
func (p Point) Revision() uint64 { return uint64(p) & MaxRevision }

// String returns the point as ERA/REVISION.
func (p Point) String() string { return fmt.Sprintf("%d/%d", p.Era(), p.Revision()) }
