package commander

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4501"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// variant breaks one rule, to show that the oracle detects it.
type variant string

const (
	correct      variant = "correct"
	noWait       variant = "a new holder does not wait"
	noDeadline   variant = "a paused holder sends late"
	longLife     variant = "orders outlive the lease"
	noBusy       variant = "a second order does not wait for the first"
	wrongFencing variant = "checking targets accept any fencing number"
)

const leaseTime = 10 * time.Second

// holder is one daemon with its own clock.
type holder struct {
	machine *Machine
	rate    float64 // speed of its clock
	fencing uint64
	expires time.Duration // by its own clock
	pending *Permit       // a permit not yet used
	target  int
}

// order is an order in flight.
type order struct {
	fencing, sequence uint64
	target            int
	until             time.Duration // real time
}

// simulation has three holders and two targets, one of which checks fencing, and an oracle for the orders that take effect.
type simulation struct {
	choose         func(n int) int
	variant        variant
	now            time.Duration
	fencing        uint64
	sequence       uint64
	holders        []*holder
	orders         []order
	lastEffective  [2]order
	highestFencing uint64 // highest fencing number that the checking target has seen
	effectCount    int
}

const checkingTarget = 1

func newSimulation(v variant, choose func(n int) int) *simulation {
	f := &simulation{choose: choose, variant: v}
	for i := range 3 {
		rate := []float64{1, 0.995, 1.005}[i]
		f.holders = append(f.holders, &holder{machine: NewMachine(Timing{}, leaseTime), rate: rate})
	}
	return f
}

func (f *simulation) localTime(h *holder) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(f.now) * h.rate))
}

func (f *simulation) step() error {
	h := f.holders[f.choose(len(f.holders))]
	switch f.choose(6) {
	case 0:
		f.now += time.Duration(f.choose(4000)) * time.Millisecond
	case 1:
		f.acquire(h)
	case 2:
		f.permit(h)
	case 3:
		f.send(h)
	default:
		return f.deliver()
	}
	return nil
}

// acquire gives a holder the lease at any time, even while another still acts as its holder.
func (f *simulation) acquire(h *holder) {
	if f.choose(4) > 0 {
		if h.fencing == f.fencing && h.fencing > 0 { // renew
			h.expires = f.localTime(h).Sub(time.Unix(0, 0)) + leaseTime
		}
		return
	}
	f.fencing++
	h.fencing = f.fencing
	h.expires = f.localTime(h).Sub(time.Unix(0, 0)) + leaseTime
	h.pending = nil
	h.machine.LeaseAcquired(f.localTime(h), h.fencing, f.fencing > 1 && f.variant != noWait)
}

func (f *simulation) permit(h *holder) {
	if h.pending != nil {
		return
	}
	h.target = f.choose(2)
	remaining := h.expires - f.localTime(h).Sub(time.Unix(0, 0))
	if f.variant == longLife {
		remaining = max(remaining, time.Second) + leaseTime
	}
	if f.variant == noBusy {
		clear(h.machine.busyUntil)
	}
	p := h.machine.Permit(f.localTime(h), fmt.Sprint(h.target), h.target == checkingTarget, remaining)
	if p.Verdict != VerdictSend {
		return
	}
	h.pending = &p
	h.machine.OrderSent(fmt.Sprint(h.target), p)
}

// send uses a permit, possibly long after it was granted.
func (f *simulation) send(h *holder) {
	if h.pending == nil {
		return
	}
	p := *h.pending
	h.pending = nil
	left := p.Deadline.Sub(f.localTime(h))
	if f.variant == noDeadline {
		left = p.Timeout
	}
	if left <= 0 {
		return
	}
	f.sequence++
	f.orders = append(f.orders, order{
		fencing: h.machine.Fencing(), sequence: f.sequence, target: h.target,
		until: f.now + time.Duration(float64(left)/h.rate),
	})
}

// deliver applies one order, in any sequence; the answer may be lost.
func (f *simulation) deliver() error {
	if len(f.orders) == 0 {
		return nil
	}
	i := f.choose(len(f.orders))
	o := f.orders[i]
	f.orders = append(f.orders[:i], f.orders[i+1:]...)
	if f.now > o.until {
		return nil
	}
	if o.target == checkingTarget && f.variant != wrongFencing {
		if o.fencing < f.highestFencing {
			return nil
		}
		f.highestFencing = o.fencing
	}
	last := f.lastEffective[o.target]
	if o.fencing < last.fencing {
		return errors.Newf("target %d: order of holder %d takes effect after one of holder %d", o.target, o.fencing, last.fencing)
	}
	if o.fencing == last.fencing && o.sequence < last.sequence {
		return errors.Newf("target %d: an older order takes effect after a newer one", o.target)
	}
	f.lastEffective[o.target] = o
	f.effectCount++
	if f.choose(3) > 0 {
		for _, h := range f.holders {
			if h.fencing == o.fencing {
				h.machine.OrderAnswered(fmt.Sprint(o.target))
			}
		}
	}
	return nil
}

func TestStaleOrdersHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(correct, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range 200 {
			require.NoError(t, f.step())
		}
	})
}

// runSchedules runs a variant over n random schedules and counts those that the oracle rejects and the effective orders.
func runSchedules(v variant, n int) (failed, effects int) {
	for seed := range n {
		random := rand.New(rand.NewPCG(uint64(seed), 5))
		f := newSimulation(v, random.IntN)
		for range 400 {
			if f.step() != nil {
				failed++
				break
			}
		}
		effects += f.effectCount
	}
	return failed, effects
}

func TestOracleDetectsEachBrokenRule(t *testing.T) {
	const n = 2000
	failed, effects := runSchedules(correct, n)
	require.Zero(t, failed)
	require.Greater(t, effects, n, "orders must take effect")
	for _, v := range []variant{noWait, noDeadline, longLife, noBusy, wrongFencing} {
		failed, _ := runSchedules(v, n)
		t.Logf("%s: %d of %d schedules fail", v, failed, n)
		require.Positive(t, failed, string(v))
	}
}

func TestPermits(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMachine(Timing{}, leaseTime)
	require.Equal(t, VerdictNoLease, m.Permit(now, "a", true, leaseTime).Verdict)
	m.LeaseAcquired(now, 7, true)
	require.Equal(t, VerdictSend, m.Permit(now, "a", true, leaseTime).Verdict)
	p := m.Permit(now, "a", false, leaseTime)
	require.Equal(t, VerdictSettling, p.Verdict)
	require.Greater(t, p.RetryAt.Sub(now), leaseTime+DefaultOrderTimeout)
	require.Equal(t, VerdictSend, m.Permit(p.RetryAt, "a", false, leaseTime).Verdict)
	require.Equal(t, VerdictTooLate, m.Permit(p.RetryAt, "a", false, 500*time.Millisecond).Verdict)
	require.Less(t, m.Permit(p.RetryAt, "a", false, 3*time.Second).Timeout, 3*time.Second)
	m.OrderSent("a", m.Permit(p.RetryAt, "a", true, leaseTime))
	require.Equal(t, VerdictBusy, m.Permit(p.RetryAt, "a", true, leaseTime).Verdict)
	m.OrderAnswered("a")
	require.Equal(t, VerdictSend, m.Permit(p.RetryAt, "a", true, leaseTime).Verdict)
	require.False(t, m.ObserveFencing(7))
	require.True(t, m.ObserveFencing(8))
	require.Equal(t, VerdictNoLease, m.Permit(p.RetryAt, "a", true, leaseTime).Verdict)
}

func BenchmarkPermit(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 6600} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("target-", i)
			}
			m := NewMachine(Timing{}, leaseTime)
			now := time.Unix(0, 0)
			m.LeaseAcquired(now, 1, false)
			for i := range b.N {
				name := names[i%n]
				p := m.Permit(now, name, true, leaseTime)
				m.OrderSent(name, p)
				m.OrderAnswered(name)
			}
		})
	}
}
