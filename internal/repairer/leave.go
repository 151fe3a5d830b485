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
	return time.Duration(math.Sqrt(Share(id)) * float64(serveTime))
}

// Share returns the place of a stream among those that all daemons treat one after the other, uniform in [0,1).
func Share(id string) float64 {
	return float64(xxhash.Sum64String(id)>>(64-hashBits)) / (1 << hashBits)
}
