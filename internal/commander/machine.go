package commander

import (
	"time"
)

// Timing limits how long orders may be in flight; a field that is zero takes its default.
type Timing struct {
	// OrderTimeout is the maximum lifetime of an order.
	OrderTimeout time.Duration
	// MinTimeout is the minimum lifetime of an order; one with a shorter life is not worth sending.
	MinTimeout time.Duration
	// Drift is the maximum relative difference in speed between clocks.
	Drift float64
	// Slack is added to waits to cover delays of processes and timers.
	Slack time.Duration
}

// DefaultOrderTimeout is the default maximum lifetime of an order.
const DefaultOrderTimeout = 5 * time.Second

const (
	defaultMinTimeout = 500 * time.Millisecond
	defaultDrift      = 0.01
	defaultSlack      = 250 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	if t.OrderTimeout <= 0 {
		t.OrderTimeout = DefaultOrderTimeout
	}
	if t.MinTimeout <= 0 {
		t.MinTimeout = defaultMinTimeout
	}
	if t.Drift <= 0 {
		t.Drift = defaultDrift
	}
	if t.Slack <= 0 {
		t.Slack = defaultSlack
	}
	return t
}

// maxElapsed returns the longest time that d may take on a clock slowed by the drift, plus slack.
func (t Timing) maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + t.Slack
}

// Verdict states whether an order may be sent.
type Verdict string

// Verdicts on an order.
const (
	VerdictSend    Verdict = "send"
	VerdictNoLease Verdict = "no-lease"
	// VerdictSettling means that orders of an earlier holder may still reach a target that does not check fencing.
	VerdictSettling Verdict = "settling"
	// VerdictBusy means that an earlier order may still reach the target.
	VerdictBusy Verdict = "busy"
	// VerdictTooLate means that the lease has too little time left.
	VerdictTooLate Verdict = "too-late"
)

// Permit is the permission to send one order.
type Permit struct {
	Verdict Verdict
	// Timeout is the lifetime of the order, and Deadline its end: the order must not be sent later.
	Timeout  time.Duration
	Deadline time.Time
	// RetryAt is when to ask again, if that is known.
	RetryAt time.Time
}

// Machine decides which orders the holder of a lease may send; it does no I/O and is not safe for concurrent use.
//
// A target that checks fencing refuses the orders of an earlier holder by itself. For one that does not, the holder gives
// each order a lifetime that ends before its lease does, and a new holder first waits for the duration of the earlier
// lease and the lifetime of an order, lengthened by the clock drift.
type Machine struct {
	timing        Timing
	leaseDuration time.Duration
	fencing       uint64
	settledAt     time.Time
	// busyUntil is the time until which an unanswered order may still reach its target.
	busyUntil map[string]time.Time
}

// NewMachine returns a machine without a lease; lease is the duration of leases.
func NewMachine(timing Timing, lease time.Duration) *Machine {
	return &Machine{timing: timing.withDefaults(), leaseDuration: lease, busyUntil: map[string]time.Time{}}
}

// Fencing returns the fencing number of the lease held, or 0 without a lease.
func (m *Machine) Fencing() uint64 { return m.fencing }

// LeaseAcquired records a lease acquired at now; hadHolder is true if another holder may have held it before.
func (m *Machine) LeaseAcquired(now time.Time, fencing uint64, hadHolder bool) {
	if fencing == m.fencing {
		return
	}
	m.fencing = fencing
	m.settledAt = now
	if hadHolder {
		m.settledAt = now.Add(m.timing.maxElapsed(m.leaseDuration + m.timing.OrderTimeout))
	}
	clear(m.busyUntil)
}

// LeaseLost records that the lease is no longer held.
func (m *Machine) LeaseLost() {
	m.fencing = 0
	clear(m.busyUntil)
}

// Permit decides on an order to a target immediately before it is sent; remaining is the time left on the lease.
func (m *Machine) Permit(now time.Time, target string, checksFencing bool, remaining time.Duration) Permit {
	if m.fencing == 0 {
		return Permit{Verdict: VerdictNoLease}
	}
	if until, ok := m.busyUntil[target]; ok && now.Before(until) {
		return Permit{Verdict: VerdictBusy, RetryAt: until}
	}
	if !checksFencing && now.Before(m.settledAt) {
		return Permit{Verdict: VerdictSettling, RetryAt: m.settledAt}
	}
	usable := time.Duration(float64(remaining)*(1-m.timing.Drift)) - m.timing.Slack
	timeout := min(m.timing.OrderTimeout, usable)
	if timeout < m.timing.MinTimeout {
		return Permit{Verdict: VerdictTooLate}
	}
	return Permit{Verdict: VerdictSend, Timeout: timeout, Deadline: now.Add(timeout)}
}

// OrderSent blocks further orders to a target until the order is answered or its deadline has passed.
func (m *Machine) OrderSent(target string, p Permit) {
	m.busyUntil[target] = p.Deadline.Add(m.timing.Slack)
}

// OrderAnswered records that the target answered the order in flight.
func (m *Machine) OrderAnswered(target string) { delete(m.busyUntil, target) }

// ObserveFencing handles the highest fencing number that a target has seen; it drops the lease and returns true if that
// number is higher than its own, as another holder must have the lease.
func (m *Machine) ObserveFencing(seen uint64) bool {
	if seen <= m.fencing {
		return false
	}
	m.LeaseLost()
	return true
}
