package prober

import (
	"time"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// Options bound probing; zero values take the defaults.
type Options struct {
	// Interval is the least time between two probes of a target that answers.
	Interval time.Duration
	// MaxInterval bounds the interval where a daemon has many targets.
	MaxInterval time.Duration
	// Rate is how many probes a second a daemon makes at most while its targets answer.
	Rate float64
	// SuspectInterval is the interval while a target is in doubt.
	SuspectInterval time.Duration
	// DownInterval is the longest interval while a target is down and does not answer.
	DownInterval time.Duration
	// MinTimeout and MaxTimeout bound the adaptive timeout.
	MinTimeout time.Duration
	MaxTimeout time.Duration
	// Failures is how many probes in a row fail before a target counts as down; refused connections count twice.
	Failures int
	// Successes is how many probes in a row a target has to answer after it was down.
	Successes int
	// Concurrency bounds the probes in progress.
	Concurrency int
}

// DefaultOptions returns the defaults.
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

// Outcome is how a probe ended.
type Outcome int

// Outcomes of a probe.
const (
	// Answered means that the target answered.
	Answered Outcome = iota
	// TimedOut means that no answer came within the timeout.
	TimedOut
	// Refused means that the target's host refused the connection or the answer was an error.
	Refused
)

// refusedWeight is how many timeouts a refused connection counts for.
const refusedWeight = 2

// Health is what probes have shown of one target; it is immutable.
type Health struct {
	// State is joining, live, suspect or dead.
	State cataloger.State
	// mean and deviation are the smoothed time of an answer and how far it strays.
	mean      time.Duration
	deviation time.Duration
	failures  int
	successes int
	downFor   int
}

// NewHealth returns the health of a target that this daemon has not probed, from the state that the fleet knows.
func NewHealth(known cataloger.State) Health {
	if known == cataloger.StateLeaving {
		known = cataloger.StateLive
	}
	return Health{State: known}
}

// With returns the health after a probe that took a time.
func (h Health) With(outcome Outcome, took time.Duration, o Options) Health {
	o = o.withDefaults()
	if outcome == Answered {
		return h.answered(took, o)
	}
	return h.failed(outcome, o)
}

func (h Health) answered(took time.Duration, o Options) Health {
	h.observe(took)
	h.failures = 0
	h.successes++
	if h.State == cataloger.StateDead && h.successes < o.Successes {
		return h
	}
	h.State = cataloger.StateLive
	h.downFor = 0
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
		h.downFor++
	case h.failures >= o.Failures:
		h.State = cataloger.StateDead
		h.downFor = 1
	case h.State == cataloger.StateLive:
		h.State = cataloger.StateSuspect
	}
	return h
}

// observe smooths the time of an answer as TCP does for its round trips (RFC 6298).
func (h *Health) observe(took time.Duration) {
	const (
		meanShare      = 8
		deviationShare = 4
	)
	if h.mean == 0 {
		h.mean = took
		h.deviation = took / 2
		return
	}
	h.deviation += ((h.mean - took).Abs() - h.deviation) / deviationShare
	h.mean += (took - h.mean) / meanShare
}

// Doubted returns the health of a target that this daemon finds dead and another one reaches.
func (h Health) Doubted() Health {
	h.State = cataloger.StateSuspect
	h.failures = 0
	return h
}

// Agreed returns the health of a target that answered this daemon and that another one calls live.
func (h Health) Agreed() Health {
	h.State = cataloger.StateLive
	h.downFor = 0
	return h
}

// Timeout returns how long the next probe may take.
func (h Health) Timeout(o Options) time.Duration {
	o = o.withDefaults()
	if h.mean == 0 {
		return o.MaxTimeout
	}
	const deviations = 4
	return min(max(h.mean+deviations*h.deviation, o.MinTimeout), o.MaxTimeout)
}

// Interval returns the time to the next probe, for a daemon that probes so many targets.
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
		for range h.downFor {
			d = min(2*d, o.DownInterval)
		}
		return d
	}
	return usual
}
