package admitter

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
)

// tenant is an open-loop source of requests that may be retried.
type tenant struct {
	name            string
	share           float64
	rate            func(at time.Duration) float64 // requests a second
	deadline        time.Duration
	retries         int
	waitsRetryAfter bool // retries after the retry-after time of a refusal
}

// simulatedCall is one request in the simulation.
type simulatedCall struct {
	tenant   *tenant
	cost     float64
	firstTry time.Duration // time of the first try
	deadline time.Duration
	tries    int
	ticket   *Ticket
	endWork  float64 // virtual work at which the call ends
	granted  time.Duration
}

// simulation is an event loop with tenants, an admission policy, and servers that share their rate when more than knee
// requests run.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	running runHeap
	work    float64 // virtual work done for each running request
	knee    int
	perSlot float64 // cost a second of a request that does not share the rate

	offer  func(c *simulatedCall) (granted bool, after time.Duration, refused bool)
	finish func(c *simulatedCall)

	latency     map[string][]time.Duration
	timelyCost  []float64 // cost finished in time, per second of the run
	offeredCost []float64 // cost of first tries, per second
	refused     int
	wastedCost  float64
}

type event struct {
	at time.Duration
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any          { o := *h; v := o[len(o)-1]; *h = o[:len(o)-1]; return v }

type runHeap []*simulatedCall

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].endWork < h[j].endWork }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(*simulatedCall)) }
func (h *runHeap) Pop() any          { o := *h; v := o[len(o)-1]; *h = o[:len(o)-1]; return v }

func newSimulation(knee int) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(7, 7)), knee: knee, perSlot: 100, latency: map[string][]time.Duration{}}
}

func (w *simulation) capacity() float64 { return float64(w.knee) * w.perSlot }

func (w *simulation) at(t time.Duration, do func()) { heap.Push(&w.events, event{t, do}) }

func (w *simulation) workRate() float64 {
	if n := len(w.running); n > w.knee {
		return w.perSlot * float64(w.knee) / float64(n)
	}
	return w.perSlot
}

// step advances to the next event or end of a request, whichever is earlier.
func (w *simulation) step(until time.Duration) bool {
	next := until
	if len(w.events) > 0 {
		next = min(next, w.events[0].at)
	}
	if len(w.running) > 0 {
		remaining := (w.running[0].endWork - w.work) / w.workRate()
		end := w.now + time.Duration(max(0, remaining)*float64(time.Second))
		if end <= next {
			w.advance(end)
			w.work = max(w.work, w.running[0].endWork)
			w.end(heap.Pop(&w.running).(*simulatedCall))
			return true
		}
	}
	w.advance(next)
	if next >= until {
		return false
	}
	heap.Pop(&w.events).(event).do()
	return true
}

func (w *simulation) advance(to time.Duration) {
	if len(w.running) > 0 {
		w.work += w.workRate() * (to - w.now).Seconds()
	}
	w.now = to
}

func (w *simulation) start(c *simulatedCall) {
	c.granted = w.now
	c.endWork = w.work + c.cost
	heap.Push(&w.running, c)
}

func (w *simulation) end(c *simulatedCall) {
	w.finish(c)
	if w.now > c.deadline {
		w.wastedCost += c.cost
		w.retry(c, 100*time.Millisecond)
		return
	}
	w.latency[c.tenant.name] = append(w.latency[c.tenant.name], w.now-c.firstTry)
	w.count(&w.timelyCost, c.cost)
}

func (w *simulation) try(c *simulatedCall) {
	c.deadline = w.now + c.tenant.deadline
	granted, after, refused := w.offer(c)
	if granted {
		w.start(c)
	}
	if refused {
		w.recordRefusal(c, after)
	}
}

func (w *simulation) recordRefusal(c *simulatedCall, after time.Duration) {
	w.refused++
	if !c.tenant.waitsRetryAfter {
		after = 100 * time.Millisecond
	}
	w.retry(c, after)
}

func (w *simulation) retry(c *simulatedCall, after time.Duration) {
	if c.tries >= c.tenant.retries {
		return
	}
	again := &simulatedCall{tenant: c.tenant, cost: c.cost, firstTry: c.firstTry, tries: c.tries + 1}
	w.at(w.now+after, func() { w.try(again) })
}

func (w *simulation) scheduleArrivals(t *tenant) {
	const idle = 100 * time.Millisecond
	rate := t.rate(w.now)
	if rate <= 0 {
		w.at(w.now+idle, func() { w.scheduleArrivals(t) })
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.at(w.now+gap, func() {
		w.scheduleArrivals(t)
		c := &simulatedCall{tenant: t, cost: 20 + 160*w.random.Float64(), firstTry: w.now}
		w.count(&w.offeredCost, c.cost)
		w.try(c)
	})
}

const meanCost = 100.0

var baselines = flag.Bool("baselines", false, "also measure the baselines, and callers that retry 50 times")

func policies() []string {
	if *baselines {
		return []string{"fair", "fifo", "fifo-short", "unlimited"}
	}
	return []string{"fair"}
}

// useFairScheduler sets the policy under test.
func (w *simulation) useFairScheduler(tenants []*tenant, limit *breaker.Limit, reserve float64) *Scheduler {
	var ws []documenter.Workspace
	for _, t := range tenants {
		ws = append(ws, documenter.Workspace{Name: t.name, Share: t.share})
	}
	settings := Settings{Reserve: reserve}
	s := NewScheduler(settings, limit, w.random)
	s.Configure(epoch, settings, ws, fullShare)
	calls := map[*Ticket]*simulatedCall{}
	settle := func() {
		for _, t := range slices.Clone(s.Decided()) {
			c := calls[t]
			delete(calls, t)
			if t.State == TicketGranted {
				w.start(c)
				continue
			}
			w.recordRefusal(c, t.Refusal.RetryAfter)
		}
	}
	var armed time.Duration
	arm := func() {
		next := s.Next()
		if next.IsZero() || next.Sub(epoch) == armed {
			return
		}
		armed = next.Sub(epoch)
		w.at(armed, func() { s.Advance(epoch.Add(w.now)); settle() })
	}
	w.offer = func(c *simulatedCall) (bool, time.Duration, bool) {
		t := s.Offer(epoch.Add(w.now), Request{
			Workspace: cataloger.Workspace(c.tenant.name), Cost: meanCost, Deadline: epoch.Add(c.deadline),
			Expected: time.Duration(meanCost / w.perSlot * float64(time.Second)),
		})
		c.ticket = t
		if t.State == TicketWaiting {
			calls[t] = c
		}
		settle()
		arm()
		after := time.Duration(0)
		if t.State == TicketRefused {
			after = t.Refusal.RetryAfter
		}
		return t.State == TicketGranted, after, t.State == TicketRefused
	}
	w.finish = func(c *simulatedCall) {
		s.Finish(epoch.Add(w.now), c.ticket, Result{Tokens: c.cost, OK: true})
		settle()
		arm()
	}
	return s
}

// useFIFO sets the baseline policy: one bounded queue in order of arrival and a fixed limit, without regard to deadlines
// or shares.
func (w *simulation) useFIFO(limit, bound int) {
	var queue []*simulatedCall
	busy := 0
	w.offer = func(c *simulatedCall) (bool, time.Duration, bool) {
		if busy < limit {
			busy++
			return true, 0, false
		}
		if len(queue) >= bound {
			return false, 100 * time.Millisecond, true
		}
		queue = append(queue, c)
		return false, 0, false
	}
	w.finish = func(*simulatedCall) {
		busy--
		if len(queue) > 0 {
			busy++
			w.start(queue[0])
			queue = queue[1:]
		}
	}
}

// useUnlimited sets the baseline policy without admission.
func (w *simulation) useUnlimited() {
	w.offer = func(*simulatedCall) (bool, time.Duration, bool) { return true, 0, false }
	w.finish = func(*simulatedCall) {}
}

func (w *simulation) run(tenants []*tenant, length time.Duration) {
	for _, t := range tenants {
		w.scheduleArrivals(t)
	}
	for w.step(length) {
	}
}

// goodput returns the mean fraction of capacity finished in time between two seconds of the run.
func (w *simulation) goodput(from, to int) float64 {
	return mean(w.timelyCost, from, to) / w.capacity()
}

func mean(perSecond []float64, from, to int) float64 {
	sum := 0.0
	for i := from; i < to && i < len(perSecond); i++ {
		sum += perSecond[i]
	}
	return sum / float64(to-from)
}

// count adds cost to the current second.
func (w *simulation) count(perSecond *[]float64, cost float64) {
	second := int(w.now / time.Second)
	for len(*perSecond) <= second {
		*perSecond = append(*perSecond, 0)
	}
	(*perSecond)[second] += cost
}

func percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// smallTenants returns ten workspaces that together use the fraction load of the capacity.
func smallTenants(w *simulation, load float64) []*tenant {
	var ts []*tenant
	for i := range 10 {
		rate := load * w.capacity() / meanCost / 10
		ts = append(ts, &tenant{name: fmt.Sprint("small", i), share: 1, rate: steady(rate), deadline: 8 * time.Second})
	}
	return ts
}

func (w *simulation) p95Of(tenants []*tenant) time.Duration {
	var all []time.Duration
	for _, t := range tenants {
		all = append(all, w.latency[t.name]...)
	}
	return percentile(all, 0.95)
}

func TestLargeWorkspaceDoesNotSlowOthers(t *testing.T) {
	length := 4 * time.Minute
	if *baselines {
		length = 10 * time.Minute
	}
	for _, load := range []float64{0.5, 0.8} {
		for _, policy := range policies() {
			measure := func(withLarge bool) (time.Duration, float64) {
				w := newSimulation(64)
				small := smallTenants(w, load)
				// The large workspace has the share of one of 11 workspaces and offers 20 times that.
				large := &tenant{name: "large", share: 1, deadline: 8 * time.Second, rate: steady(20 * w.capacity() / meanCost / 11)}
				all := small
				if withLarge {
					all = append(slices.Clone(small), large)
				}
				switch policy {
				case "fair":
					w.useFairScheduler(append(slices.Clone(small), large), breaker.NewLimit(64), defaultReserve)
				case "fifo":
					w.useFIFO(64, 256)
				case "fifo-short":
					w.useFIFO(64, 64)
				default:
					w.useUnlimited()
				}
				w.run(all, length)
				return w.p95Of(small), w.goodput(60, int(length/time.Second))
			}
			alone, _ := measure(false)
			shared, goodput := measure(true)
			t.Logf("load %.1f %-10s p95 alone %5.2fs shared %5.2fs (%+.1f%%), goodput %.3f",
				load, policy, alone.Seconds(), shared.Seconds(), 100*(shared.Seconds()/alone.Seconds()-1), goodput)
			if policy == "fair" {
				require.LessOrEqual(t, shared.Seconds(), 1.1*alone.Seconds())
				require.GreaterOrEqual(t, goodput, 0.9)
			}
		}
	}
}

// burst returns a rate that is overload from second 60 to 90 and otherwise normal.
func burst(normal, overload float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= time.Minute && at < 90*time.Second {
			return overload
		}
		return normal
	}
}

func TestRecoveryAfterOverload(t *testing.T) {
	const knee = 200
	retrying := []int{0, 10}
	if *baselines {
		retrying = []int{0, 5, 50}
	}
	for _, retries := range retrying {
		for _, policy := range policies() {
			w := newSimulation(knee)
			capacity := w.capacity() / meanCost
			var ts []*tenant
			for i := range 10 {
				ts = append(ts, &tenant{
					name: fmt.Sprint("w", i), share: 1, deadline: 4 * time.Second, retries: retries, waitsRetryAfter: i%2 == 0,
					rate: burst(0.8*capacity/10, 3*capacity/10),
				})
			}
			switch policy {
			case "fair":
				w.useFairScheduler(ts, breaker.NewLimit(64), defaultReserve)
			case "fifo":
				w.useFIFO(knee, 10*knee)
			case "fifo-short":
				w.useFIFO(knee, knee)
			default:
				w.useUnlimited()
			}
			w.run(ts, 150*time.Second)
			recovered := recoverySeconds(w, 90)
			t.Logf("retries %2d %-10s goodput in overload %.3f, after it %.3f (offered %.3f before), recovered after %ds, wasted %.0f, refused %d",
				retries, policy, w.goodput(62, 90), w.goodput(95, 125), w.goodput(30, 60), recovered, w.wastedCost, w.refused)
			if policy == "fair" {
				require.GreaterOrEqual(t, w.goodput(62, 90), 0.9)
				require.LessOrEqual(t, recovered, 5)
			}
		}
	}
}

// recoverySeconds returns the number of seconds after from until the goodput of every 5 seconds is at least 0.9 of the
// load offered a second earlier.
func recoverySeconds(w *simulation, from int) int {
	const window, delay = 5, 1
	last := from
	for s := from; s < from+50; s++ {
		offered := min(1, mean(w.offeredCost, s-delay, s+window-delay)/w.capacity())
		if w.goodput(s, s+window) < 0.9*offered {
			last = s + 1
		}
	}
	return last - from
}
