package leaser

import (
	"time"
)

// Timing sets how long leases last.
type Timing struct {
	// Duration is how long a lease is valid after the last renewal was sent, by the holder's clock.
	Duration time.Duration
	// Renew is the time between renewals.
	Renew time.Duration
	// Wait is how long another daemon sees a session unchanged, by its own clock, before it closes it.
	Wait time.Duration
	// Poll is the time between looks at a lease that another daemon holds.
	Poll time.Duration
}

// MaxDrift is the part by which the rates of two daemons' clocks may differ from real time.
const MaxDrift = 0.02

// waitMargin is over what (1+MaxDrift)/(1-MaxDrift) adds.
const waitMargin = 0.05

// NewTiming returns the timing for leases of a duration; the wait covers clocks that drift by MaxDrift against each other.
func NewTiming(duration time.Duration) Timing {
	return Timing{
		Duration: duration,
		Renew:    duration / 3,
		Wait:     duration + time.Duration(float64(duration)*waitMargin),
		Poll:     duration / 10,
	}
}
