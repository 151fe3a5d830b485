package leaser

import (
	"time"
)

// Timing sets how long leases last.
type Timing struct {
	// Duration is how long a lease is valid after the last renewal was sent, by the holder's clock.
	Duration time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// TakeOverDelay is how long a session must stay unchanged, by another daemon's clock, before that daemon closes it.
	TakeOverDelay time.Duration
	// PollInterval is the time between reads of a lease that another daemon holds.
	PollInterval time.Duration
}

// MaxDrift is the maximum fraction by which the rate of a daemon's clock may differ from real time.
const MaxDrift = 0.02

// waitMargin is the fraction by which TakeOverDelay exceeds Duration; it exceeds what (1+MaxDrift)/(1-MaxDrift) adds.
const waitMargin = 0.05

// NewTiming returns the timing for leases of a duration; TakeOverDelay covers clocks that drift by MaxDrift against each other.
func NewTiming(duration time.Duration) Timing {
	return Timing{
		Duration:      duration,
		RenewInterval: duration / 3,
		TakeOverDelay: duration + time.Duration(float64(duration)*waitMargin),
		PollInterval:  duration / 10,
	}
}
