package sequencer

import "time"

// Limits bounds the ordering state of one daemon.
type Limits struct {
	// MaxKeys bounds the ordering keys that the daemon owns.
	MaxKeys int
	// MaxPlaces bounds the open places under one key.
	MaxPlaces int
	// FreshWait is how long the first answer under a key without history waits for lower sequences.
	FreshWait time.Duration
	// Settle is how long a new owner lets nothing out, so that every entry finds it and tells its places.
	Settle time.Duration
	// DeadlineGrace is how long a place outlives the deadline of its request.
	DeadlineGrace time.Duration
	// ReattachGrace is how long a place whose delivery was cut, or whose entry is lost, waits to be taken again.
	ReattachGrace time.Duration
	// Idle is how long a key without open places is remembered.
	Idle time.Duration
}

// DefaultLimits returns the limits that the settings start from.
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
