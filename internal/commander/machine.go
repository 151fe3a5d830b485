package commander

import (
	"time"
)

// Timing bounds how long orders may be under way; the zero value of a field takes its default.
type Timing struct {
	// OrderTimeout is the longest life of an order.
	OrderTimeout time.Duration
	// LeastTimeout is the shortest life that is worth sending an order with.
	MinTimeout time.Duration
	// Drift is the share by which clocks may run apart.
	Drift float64
	// Slack is added to waits for the delays of processes and timers.
	Slack time.Duration
}

// DefaultOrderTimeout is the longest life of an order where Timing does not say.
const DefaultOrderTimeout = 5 * time.Second

const (
	defaultLeastTimeout = 500 * time.Millisecond
	defaultDrift        = 0.01
	defaultSlack        = 250 * time.Millisecond
)

func (t Timing) withDefaults() Timing {
	if t.OrderTimeout <= 0 {
		t.OrderTimeout = DefaultOrderTimeout
	}
	if t.MinTimeout <= 0 {
		t.MinTimeout = defaultLeastTimeout
	}
	if t.Drift <= 0 {
		t.Drift = defaultDrift
	}
	if t.Slack <= 0 {
		t.Slack = defaultSlack
	}
	return t
}

// stretch is d on a clock that may run slow by the drift, with slack.
func (t Timing) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + t.Slack
}

// Verdict says whether an order may be sent.
type Verdict string

// Verdicts on an order.
const (
	VerdictSend    Verdict = "send"
	VerdictNoLease Verdict = "no-lease"
	// VerdictSettling says that orders of an earlier holder may still reach a target that does not check fencing.
	VerdictSettling Verdict = "settling"
	// VerdictBusy says that an earlier order may still reach the target.
	VerdictBusy Verdict = "busy"
	// VerdictTooLate says that the lease has too little time left.
	VerdictTooLate Verdict = "too-late"
)

// Permit is the permission to send one order.
type Permit struct {
	Verdict Verdict
	// Timeout is the life of the order, and Until the end of it: the order must not be sent later.
	Timeout  time.Duration
	Deadline time.Time
	// Retry is when to ask again, where that is known.
	RetryAt time.Time
}

// Machine decides which orders the holder of a lease may send; it does no I/O and is not safe for concurrent use.
//
// A target that checks fencing refuses the orders of an earlier holder by itself. For one that does not, the holder
// gives each order a life that ends before its lease does, and a new holder first waits until the lease before it, the
// drift of clocks and the life of an order are over.
type Machine struct {
	timing  Timing
	lease   time.Duration
	fencing uint64
	settled time.Time
	// busy is until when an order without an answer may still reach its target.
	busy map[string]time.Time
}

// NewMachine returns a machine without a lease; lease is the duration of leases.
func NewMachine(timing Timing, lease time.Duration) *Machine {
	return &Machine{timing: timing.withDefaults(), lease: lease, busy: map[string]time.Time{}}
}

// Fencing returns the number of the lease held, and 0 without one.
func (m *Machine) Fencing() uint64 { return m.fencing }

// Acquired takes note of a lease that was got at now; before is true where another holder may have had it before.
func (m *Machine) LeaseAcquired(now time.Time, fencing uint64, before bool) {
	if fencing == m.fencing {
		return
	}
	m.fencing = fencing
	m.settled = now
	if before {
		m.settled = now.Add(m.timing.stretch(m.lease + m.timing.OrderTimeout))
	}
	clear(m.busy)
}

// Lost takes note that the lease is gone.
func (m *Machine) LeaseLost() {
	m.fencing = 0
	clear(m.busy)
}

// Permit decides on an order to a target right before it is sent; remaining is what the lease has left.
func (m *Machine) Permit(now time.Time, target string, checksFencing bool, remaining time.Duration) Permit {
	if m.fencing == 0 {
		return Permit{Verdict: VerdictNoLease}
	}
	if until, ok := m.busy[target]; ok && now.Before(until) {
		return Permit{Verdict: VerdictBusy, RetryAt: until}
	}
	if !checksFencing && now.Before(m.settled) {
		return Permit{Verdict: VerdictSettling, RetryAt: m.settled}
	}
	left := time.Duration(float64(remaining)*(1-m.timing.Drift)) - m.timing.Slack
	timeout := min(m.timing.OrderTimeout, left)
	if timeout < m.timing.MinTimeout {
		return Permit{Verdict: VerdictTooLate}
	}
	return Permit{Verdict: VerdictSend, Timeout: timeout, Deadline: now.Add(timeout)}
}

// Sent keeps further orders from a target until the one under way is over.
func (m *Machine) OrderSent(target string, p Permit) {
	m.busy[target] = p.Deadline.Add(m.timing.Slack)
}

// Answered takes note of the target's answer to the order under way.
func (m *Machine) OrderAnswered(target string) { delete(m.busy, target) }

// Fenced takes note that a target has seen a higher fencing number, so that the lease cannot be held any more.
func (m *Machine) ObserveFencing(seen uint64) bool {
	if seen <= m.fencing {
		return false
	}
	m.LeaseLost()
	return true
}
