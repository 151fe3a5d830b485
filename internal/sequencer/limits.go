package sequencer

import "time"

// Limits limits the ordering state of one daemon in size and time.
type Limits struct {
	// MaxKeys is the maximum number of ordering keys that the daemon owns.
	MaxKeys int
	// MaxPlaces is the maximum number of open places under one key.
	MaxPlaces int
	// FreshWait is the maximum wait of the first answer under a key without history for lower sequences.
	FreshWait time.Duration
	// Settle is how long a new owner releases no answer, so that every entry finds it and reports its places.
	Settle time.Duration
	// DeadlineGrace is how long a place outlives the deadline of its request.
	DeadlineGrace time.Duration
	// ReattachGrace is how long a place whose delivery was cut, or whose entry is lost, is kept to be entered again.
	ReattachGrace time.Duration
	// Idle is how long the state of a key without open places is kept.
	Idle time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxKeys:       1 << 15,
		MaxPlaces:     1024,
		FreshWait:     500 * time.Millisecond,
		Settle:        3 * time.Second,
		DeadlineGrace: 2 * time.Second,
		ReattachGrace: 2 * time.Second,
		Idle:          10 * time.Minute,
	}
}
