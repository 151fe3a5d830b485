package breaker

import (
	"math/rand/v2"
	"time"
)

// State is the state of a circuit breaker.
type State uint8

// States of a circuit breaker.
const (
	StateClosed State = iota
	StateOpen
	StateHalfOpen
)

var stateNames = [...]string{"closed", "open", "half-open"}

// String returns the kebab-case name of the state.
func (s State) String() string { return stateNames[s] }

// Settings govern circuit breakers; the zero value of a field takes its default.
type Settings struct {
	// Consecutive failures open the breaker.
	Consecutive int
	// Ratio of failures over a window of at least Samples outcomes opens the breaker.
	Ratio   float64
	Samples int
	Window  time.Duration
	// OpenFor is the first time that the breaker stays open; it doubles up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// Probes is the number of successes in a row that close a half-open breaker.
	Probes int
	// ProbeTimeout frees the place of a probe whose outcome is never recorded.
	ProbeTimeout time.Duration
	// SlowStart is the time in which a closed breaker's weight grows from MinWeight to 1.
	SlowStart time.Duration
	MinWeight float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Consecutive:  5,
		Ratio:        0.5,
		Samples:      20,
		Window:       10 * time.Second,
		OpenFor:      500 * time.Millisecond,
		MaxOpenFor:   30 * time.Second,
		Probes:       3,
		ProbeTimeout: 5 * time.Second,
		SlowStart:    10 * time.Second,
		MinWeight:    0.05,
	}
}

// Breaker is the circuit breaker of one target; it does no I/O and is not safe for concurrent use.
type Breaker struct {
	settings *Settings
	rand     *rand.Rand

	state       State
	consecutive int
	windowStart time.Time
	good, bad   int
	openUntil   time.Time
	openFor     time.Duration
	passed      int
	probing     bool
	probeUntil  time.Time
	rampStart   time.Time
}

// New returns a closed breaker; random spreads the times at which breakers try their targets again.
func New(settings *Settings, random *rand.Rand) *Breaker {
	return &Breaker{settings: settings, rand: random}
}

// NewJoining returns a closed breaker that starts slowly at now, for a target that has just joined.
func NewJoining(settings *Settings, random *rand.Rand, now time.Time) *Breaker {
	b := New(settings, random)
	b.rampStart = now
	return b
}

// State returns the state at now.
func (b *Breaker) State(now time.Time) State {
	if b.state == StateOpen && !now.Before(b.openUntil) {
		return StateHalfOpen
	}
	return b.state
}

// Ready tells, without any effect, whether Allow would return true.
func (b *Breaker) Ready(now time.Time) bool {
	switch b.State(now) {
	case StateClosed:
		return true
	case StateHalfOpen:
		return !b.probing || !now.Before(b.probeUntil)
	default:
		return false
	}
}

// Allow tells whether a request may go to the target; true takes the place of the one probe while half-open.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Ready(now) {
		return false
	}
	if b.State(now) == StateHalfOpen {
		b.state = StateHalfOpen
		b.probing = true
		b.probeUntil = now.Add(b.settings.ProbeTimeout)
	}
	return true
}

// Weight is the share of its ordinary work that the target should get: 0 while open, MinWeight to 1 in a slow start.
func (b *Breaker) Weight(now time.Time) float64 {
	switch b.State(now) {
	case StateOpen:
		return 0
	case StateHalfOpen:
		return b.settings.MinWeight
	}
	if b.rampStart.IsZero() || b.settings.SlowStart <= 0 {
		return 1
	}
	passed := float64(now.Sub(b.rampStart)) / float64(b.settings.SlowStart)
	return min(1, max(b.settings.MinWeight, passed))
}

// Record takes the outcome of a request that Allow let through.
func (b *Breaker) Record(now time.Time, ok bool) {
	switch b.state {
	case StateClosed:
		b.recordClosed(now, ok)
	case StateHalfOpen:
		b.recordProbe(now, ok)
	case StateOpen:
		// An outcome of a request from before the breaker opened says nothing new.
	}
}

func (b *Breaker) recordClosed(now time.Time, ok bool) {
	if now.Sub(b.windowStart) >= b.settings.Window {
		b.windowStart, b.good, b.bad = now, 0, 0
	}
	if ok {
		b.consecutive = 0
		b.good++
		if b.openFor > 0 && b.Weight(now) >= 1 {
			b.openFor = 0
		}
		return
	}
	b.consecutive++
	b.bad++
	total := b.good + b.bad
	if b.consecutive >= b.settings.Consecutive ||
		total >= b.settings.Samples && float64(b.bad) >= b.settings.Ratio*float64(total) {
		b.open(now)
	}
}

func (b *Breaker) recordProbe(now time.Time, ok bool) {
	if !b.probing {
		return
	}
	b.probing = false
	if !ok {
		b.open(now)
		return
	}
	b.passed++
	if b.passed < b.settings.Probes {
		return
	}
	b.state = StateClosed
	b.consecutive = 0
	b.windowStart, b.good, b.bad = now, 0, 0
	b.rampStart = now
}

// open doubles the time open until a slow start has been passed through.
func (b *Breaker) open(now time.Time) {
	b.openFor = min(max(b.settings.OpenFor, 2*b.openFor), b.settings.MaxOpenFor)
	spread := 0.75 + 0.5*b.rand.Float64()
	b.openUntil = now.Add(time.Duration(float64(b.openFor) * spread))
	b.state = StateOpen
	b.probing = false
	b.passed = 0
}
