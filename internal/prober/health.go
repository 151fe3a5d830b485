package prober

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Options configure probing; zero values take the defaults.
type Options struct {
	// Interval is the minimum time between two probes of a target that answers.
	Interval time.Duration
	// MaxInterval is the maximum interval when a daemon has many targets.
	MaxInterval time.Duration
	// Rate is the maximum number of probes per second while the targets of a daemon answer; MaxInterval takes precedence.
	Rate float64
	// SuspectInterval is the interval while a target is joining or suspected.
	SuspectInterval time.Duration
	// DownInterval is the maximum interval while a target is down and does not answer.
	DownInterval time.Duration
	// MinTimeout and MaxTimeout bound the adaptive timeout.
	MinTimeout time.Duration
	MaxTimeout time.Duration
	// Failures is the number of consecutive failed probes after which a target counts as down; refused connections count twice.
	Failures int
	// Successes is the number of consecutive probes that a target must answer to count as live again after it was down.
	Successes int
	// Concurrency is the maximum number of probes in progress.
	Concurrency int
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Interval:        time.Second,
		MaxInterval:     2500 * time.Millisecond,
		Rate:            4,
		SuspectInterval: 250 * time.Millisecond,
		DownInterval:    time.Second,
		MinTimeout:      200 * time.Millisecond,
		MaxTimeout:      2 * time.Second,
		Failures:        3,
		Successes:       2,
		Concurrency:     32,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Interval, d.Interval)
	setDefault(&o.MaxInterval, d.MaxInterval)
	setDefault(&o.Rate, d.Rate)
	setDefault(&o.SuspectInterval, d.SuspectInterval)
	setDefault(&o.DownInterval, d.DownInterval)
	setDefault(&o.MinTimeout, d.MinTimeout)
	setDefault(&o.MaxTimeout, d.MaxTimeout)
	setDefault(&o.Failures, d.Failures)
	setDefault(&o.Successes, d.Successes)
	setDefault(&o.Concurrency, d.Concurrency)
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Outcome is the result of a probe.
type Outcome int

// Outcomes of a probe.
const (
	// Answered means that the target answered.
	Answered Outcome = iota
	// TimedOut means that no answer arrived within the timeout.
	TimedOut
	// Refused means that the connection was refused or the answer was an error.
	Refused
)

// refusedWeight is the number of timeouts that a refused connection counts as.
const refusedWeight = 2

// Health is the health of one target as seen by probes; it is immutable.
type Health struct {
	// State is joining, live, suspect or dead.
	State cataloger.State
	// mean and deviation are the smoothed latency of answers and its smoothed absolute deviation.
	mean       time.Duration
	deviation  time.Duration
	failures   int
	successes  int
	downProbes int
}

// NewHealth returns the health of a target that this daemon has not probed yet, given its state in the fleet.
func NewHealth(state cataloger.State) Health {
	if state == cataloger.StateLeaving {
		state = cataloger.StateLive
	}
	return Health{State: state}
}

// With returns the health after a probe with the given outcome and duration.
func (h Health) With(outcome Outcome, took time.Duration, o Options) Health {
	o = o.withDefaults()
	if outcome == Answered {
		return h.answered(took, o)
	}
	return h.failed(outcome, o)
}

func (h Health) answered(took time.Duration, o Options) Health {
	h.updateLatency(took)
	h.failures = 0
	h.successes++
	if h.State == cataloger.StateDead && h.successes < o.Successes {
		return h
	}
	h.State = cataloger.StateLive
	h.downProbes = 0
	return h
}

func (h Health) failed(outcome Outcome, o Options) Health {
	h.successes = 0
	h.failures++
	if outcome == Refused {
		h.failures += refusedWeight - 1
	}
	switch {
	case h.State == cataloger.StateDead:
		h.downProbes++
	case h.failures >= o.Failures:
		h.State = cataloger.StateDead
		h.downProbes = 1
	case h.State == cataloger.StateLive:
		h.State = cataloger.StateSuspect
	}
	return h
}

// updateLatency smooths the latency of answers as TCP does for round-trip times (RFC 6298).
func (h *Health) updateLatency(took time.Duration) {
	const (
		meanDivisor      = 8
		deviationDivisor = 4
	)
	if h.mean == 0 {
		h.mean = took
		h.deviation = took / 2
		return
	}
	h.deviation += ((h.mean - took).Abs() - h.deviation) / deviationDivisor
	h.mean += (took - h.mean) / meanDivisor
}

// Suspected returns the health of a target that this daemon found dead but another daemon reaches.
func (h Health) Suspected() Health {
	h.State = cataloger.StateSuspect
	h.failures = 0
	return h
}

// Confirmed returns the health of a target that answered this daemon and that another daemon reports as live.
func (h Health) Confirmed() Health {
	h.State = cataloger.StateLive
	h.downProbes = 0
	return h
}

// Timeout returns the timeout of the next probe: the mean latency plus 4 deviations, within MinTimeout and MaxTimeout.
func (h Health) Timeout(o Options) time.Duration {
	o = o.withDefaults()
	if h.mean == 0 {
		return o.MaxTimeout
	}
	const deviations = 4
	return min(max(h.mean+deviations*h.deviation, o.MinTimeout), o.MaxTimeout)
}

// Interval returns the time until the next probe for a daemon that probes the given number of targets.
func (h Health) Interval(targets int, o Options) time.Duration {
	o = o.withDefaults()
	paced := time.Duration(float64(targets) / o.Rate * float64(time.Second))
	usual := min(max(o.Interval, paced), o.MaxInterval)
	switch h.State {
	case cataloger.StateSuspect, cataloger.StateJoining:
		return min(o.SuspectInterval, usual)
	case cataloger.StateDead:
		d := o.SuspectInterval
		if h.successes > 0 {
			return min(d, usual)
		}
		for range h.downProbes {
			d = min(2*d, o.DownInterval)
		}
		return d
	}
	return usual
}
