package journaler

import "time"

// Limits bounds the journal; all of it is per shard but for WritesPerSecond and MaxRecords.
type Limits struct {
	// WritesPerSecond is the share of the store's writes that the journal of all daemons together takes.
	WritesPerSecond float64
	// Window is how long an id is remembered with its outcome; an older id is refused.
	Window time.Duration
	// LeastWindow is how long an id is remembered at least where the shard has no room for the whole window.
	MinWindow time.Duration
	// MaxSkew is how far in the future the time within an id may be.
	MaxSkew time.Duration
	// MaxRecords bounds the ids that one daemon remembers, in equal parts for its shards.
	MaxRecords int
	// UntimedShare is the part of that room which ids without a time may take, as they are remembered for ever.
	UntimedShare float64
	// MaxWaiting bounds the calls that wait for the store or for an outcome.
	MaxWaiting int
	// MaxAnswerBytes is the largest answer that is kept.
	MaxAnswerBytes int
	// AnswerMemory bounds the answers kept in memory; the oldest go first.
	AnswerMemory int
	// BatchBytes bounds the records of one write.
	BatchBytes int
	// SealBytes is the size at which the head's records move to a segment.
	SealBytes int
	// SegmentBytes is the size at which a new segment is begun.
	SegmentBytes int
	// OutcomeDelay is how long an outcome waits for a claim to share a write with.
	OutcomeDelay time.Duration
	// OutageGrace is how long the store may fail before claims are refused at once.
	OutageGrace time.Duration
	// CheckInterval is how often an owner with nothing to write reads whether it was fenced.
	CheckInterval time.Duration
	// ForgetBatch bounds the ids that become fingerprints in one write.
	FingerprintBatch int
}

// DefaultLimits returns the limits that the settings start from.
func DefaultLimits() Limits {
	return Limits{
		WritesPerSecond: 200,
		Window:          24 * time.Hour,
		MinWindow:     time.Hour,
		MaxSkew:         5 * time.Minute,
		MaxRecords:      1 << 19,
		UntimedShare:    0.125,
		MaxWaiting:      4096,
		MaxAnswerBytes:  64 << 10,
		AnswerMemory:    4 << 20,
		BatchBytes:      384 << 10,
		SealBytes:       32 << 10,
		SegmentBytes:    768 << 10,
		OutcomeDelay:    500 * time.Millisecond,
		OutageGrace:     2 * time.Second,
		CheckInterval:   2 * time.Second,
		FingerprintBatch:     16 << 10,
	}
}
