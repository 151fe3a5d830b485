package repairer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashBits are the bits of a hash that a float64 holds exactly.
const hashBits = 53

// LeaveAfter returns how long after a target began to leave a stream is to go on without it, where the target serves for so
// long. The streams of all daemons leave one after the other, as each pauses longer the more are read anew together, and more
// of them late than early, as many end by themselves.
func LeaveAfter(id string, serves time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(id)>>(64-hashBits)) / (1 << hashBits)
	return time.Duration(math.Sqrt(share) * float64(serves))
}
