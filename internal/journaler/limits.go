package journaler

import "time"

// Limits bounds the journal; all limits are per shard but for WritesPerSecond and MaxRecords.
type Limits struct {
	// WritesPerSecond bounds the rate of store writes that the journals of all daemons together may make.
	WritesPerSecond float64
	// Window is how long an id is kept with its outcome; an older id is refused.
	Window time.Duration
	// MinWindow is the minimum time for which an id is kept when the shard has no capacity for the full window.
	MinWindow time.Duration
	// MaxSkew is the maximum by which the time within an id may lie in the future.
	MaxSkew time.Duration
	// MaxRecords bounds the ids that one daemon keeps, in equal parts for its shards.
	MaxRecords int
	// UntimedShare is the part of that capacity which ids without a time may take, since they are kept forever.
	UntimedShare float64
	// MaxWaiting bounds the calls that wait for the store or for an outcome.
	MaxWaiting int
	// MaxAnswerBytes is the largest answer that is kept.
	MaxAnswerBytes int
	// AnswerMemory bounds the bytes of the answers kept in memory; the oldest are dropped first.
	AnswerMemory int
	// BatchBytes bounds the size of the records of one write.
	BatchBytes int
	// SealBytes is the size at which the head's records move to a segment.
	SealBytes int
	// SegmentBytes is the size at which a new segment is started.
	SegmentBytes int
	// OutcomeDelay is how long an outcome may wait to share a write with a claim.
	OutcomeDelay time.Duration
	// OutageGrace is how long the store may fail before claims are refused immediately.
	OutageGrace time.Duration
	// CheckInterval is the interval at which an owner with nothing to write reads the head, to detect that it was fenced.
	CheckInterval time.Duration
	// FingerprintBatch bounds the number of ids that one write replaces with fingerprints.
	FingerprintBatch int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		WritesPerSecond:  200,
		Window:           24 * time.Hour,
		MinWindow:        time.Hour,
		MaxSkew:          5 * time.Minute,
		MaxRecords:       1 << 19,
		UntimedShare:     0.125,
		MaxWaiting:       4096,
		MaxAnswerBytes:   64 << 10,
		AnswerMemory:     4 << 20,
		BatchBytes:       384 << 10,
		SealBytes:        32 << 10,
		SegmentBytes:     768 << 10,
		OutcomeDelay:     500 * time.Millisecond,
		OutageGrace:      2 * time.Second,
		CheckInterval:    2 * time.Second,
		FingerprintBatch: 16 << 10,
	}
}
