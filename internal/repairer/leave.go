package repairer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashBits are the bits of a hash that a float64 holds exactly.
const hashBits = 53

// LeaveAfter returns how long after a target began to leave a stream must continue without it; the target serves for
// serveTime. The streams of all daemons leave one after the other, as each pauses longer the more are read again
// together, and more of them leave late than early, as many end by themselves.
func LeaveAfter(id string, serveTime time.Duration) time.Duration {
	share := float64(xxhash.Sum64String(id)>>(64-hashBits)) / (1 << hashBits)
	return time.Duration(math.Sqrt(share) * float64(serveTime))
}
