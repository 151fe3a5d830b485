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

// tenant is an open-loop source of requests, whose callers may retry.
type tenant struct {
	name     string
	share    float64
	rate     func(at time.Duration) float64 // requests a second
	deadline time.Duration
	retries  int
	patient  bool // waits for the retry-after of a refusal
}

// call is one request on its way through the model of the servers.
type call struct {
	tenant  *tenant
	cost    float64
	first   time.Duration // first try
	due     time.Duration
	tries   int
	ticket  *Ticket
	done    float64 // virtual work at which it ends
	granted time.Duration
}

// world is an event loop: tenants, an admission policy, and servers that share their rate once knee requests run.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	running runHeap
	work    float64 // virtual work done for each running request
	knee    int
	perSlot float64 // cost a second of a request that does not wait

	offer  func(c *call) (granted bool, after time.Duration, refused bool)
	finish func(c *call)

	latency map[string][]time.Duration
	good    []float64 // cost finished in time, per second of the run
	offered []float64 // cost of first tries, per second
	refused int
	wasted  float64
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

type runHeap []*call

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].done < h[j].done }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(*call)) }
func (h *runHeap) Pop() any          { o := *h; v := o[len(o)-1]; *h = o[:len(o)-1]; return v }

func newWorld(knee int) *world {
	return &world{random: rand.New(rand.NewPCG(7, 7)), knee: knee, perSlot: 100, latency: map[string][]time.Duration{}}
}

func (w *world) capacity() float64 { return float64(w.knee) * w.perSlot }

func (w *world) at(t time.Duration, do func()) { heap.Push(&w.events, event{t, do}) }

func (w *world) speed() float64 {
	if n := len(w.running); n > w.knee {
		return w.perSlot * float64(w.knee) / float64(n)
	}
	return w.perSlot
}

// step moves to the next event or end of a request, whichever comes first.
func (w *world) step(until time.Duration) bool {
	next := until
	if len(w.events) > 0 {
		next = min(next, w.events[0].at)
	}
	if len(w.running) > 0 {
		left := (w.running[0].done - w.work) / w.speed()
		end := w.now + time.Duration(max(0, left)*float64(time.Second))
		if end <= next {
			w.advance(end)
			w.work = max(w.work, w.running[0].done)
			w.end(heap.Pop(&w.running).(*call))
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

func (w *world) advance(to time.Duration) {
	if len(w.running) > 0 {
		w.work += w.speed() * (to - w.now).Seconds()
	}
	w.now = to
}

func (w *world) start(c *call) {
	c.granted = w.now
	c.done = w.work + c.cost
	heap.Push(&w.running, c)
}

func (w *world) end(c *call) {
	w.finish(c)
	if w.now > c.due {
		w.wasted += c.cost
		w.retry(c, 100*time.Millisecond)
		return
	}
	w.latency[c.tenant.name] = append(w.latency[c.tenant.name], w.now-c.first)
	w.count(&w.good, c.cost)
}

func (w *world) try(c *call) {
	c.due = w.now + c.tenant.deadline
	granted, after, refused := w.offer(c)
	if granted {
		w.start(c)
	}
	if refused {
		w.giveUp(c, after)
	}
}

func (w *world) giveUp(c *call, after time.Duration) {
	w.refused++
	if !c.tenant.patient {
		after = 100 * time.Millisecond
	}
	w.retry(c, after)
}

func (w *world) retry(c *call, after time.Duration) {
	if c.tries >= c.tenant.retries {
		return
	}
	again := &call{tenant: c.tenant, cost: c.cost, first: c.first, tries: c.tries + 1}
	w.at(w.now+after, func() { w.try(again) })
}

func (w *world) arrivals(t *tenant) {
	const idle = 100 * time.Millisecond
	rate := t.rate(w.now)
	if rate <= 0 {
		w.at(w.now+idle, func() { w.arrivals(t) })
		return
	}
	gap := time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
	w.at(w.now+gap, func() {
		w.arrivals(t)
		c := &call{tenant: t, cost: 20 + 160*w.random.Float64(), first: w.now}
		w.count(&w.offered, c.cost)
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

// fair is the policy under test.
func (w *world) fair(tenants []*tenant, limit *breaker.Limit, reserve float64) *Scheduler {
	var ws []documenter.Workspace
	for _, t := range tenants {
		ws = append(ws, documenter.Workspace{Name: t.name, Share: t.share})
	}
	settings := Settings{Reserve: reserve}
	s := NewScheduler(settings, limit, w.random)
	s.Configure(epoch, settings, ws, wholeShare)
	calls := map[*Ticket]*call{}
	settle := func() {
		for _, t := range slices.Clone(s.Decided()) {
			c := calls[t]
			delete(calls, t)
			if t.State == TicketGranted {
				w.start(c)
				continue
			}
			w.giveUp(c, t.Refusal.RetryAfter)
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
	w.offer = func(c *call) (bool, time.Duration, bool) {
		t := s.Offer(epoch.Add(w.now), Request{
			Workspace: cataloger.Workspace(c.tenant.name), Cost: meanCost, Deadline: epoch.Add(c.due),
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
	w.finish = func(c *call) {
		s.Finish(epoch.Add(w.now), c.ticket, Result{Tokens: c.cost, OK: true})
		settle()
		arm()
	}
	return s
}

// fifo is the baseline: one bounded queue in order of arrival, a fixed limit, no look at deadlines or shares.
func (w *world) fifo(limit, bound int) {
	var queue []*call
	busy := 0
	w.offer = func(c *call) (bool, time.Duration, bool) {
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
	w.finish = func(*call) {
		busy--
		if len(queue) > 0 {
			busy++
			w.start(queue[0])
			queue = queue[1:]
		}
	}
}

// unlimited is the baseline without admission.
func (w *world) unlimited() {
	w.offer = func(*call) (bool, time.Duration, bool) { return true, 0, false }
	w.finish = func(*call) {}
}

func (w *world) run(tenants []*tenant, length time.Duration) {
	for _, t := range tenants {
		w.arrivals(t)
	}
	for w.step(length) {
	}
}

// goodput is the mean share of capacity finished in time between two seconds of the run.
func (w *world) goodput(from, to int) float64 { return mean(w.good, from, to) / w.capacity() }

func mean(perSecond []float64, from, to int) float64 {
	sum := 0.0
	for i := from; i < to && i < len(perSecond); i++ {
		sum += perSecond[i]
	}
	return sum / float64(to-from)
}

// count adds cost to the second of now.
func (w *world) count(perSecond *[]float64, cost float64) {
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

// others are ten workspaces that use load of the capacity together.
func others(w *world, load float64) []*tenant {
	var ts []*tenant
	for i := range 10 {
		rate := load * w.capacity() / meanCost / 10
		ts = append(ts, &tenant{name: fmt.Sprint("small", i), share: 1, rate: steady(rate), deadline: 8 * time.Second})
	}
	return ts
}

func (w *world) p95Of(tenants []*tenant) time.Duration {
	var all []time.Duration
	for _, t := range tenants {
		all = append(all, w.latency[t.name]...)
	}
	return percentile(all, 0.95)
}

func TestLargeWorkspaceLeavesTheOthersAlone(t *testing.T) {
	length := 4 * time.Minute
	if *baselines {
		length = 10 * time.Minute
	}
	for _, load := range []float64{0.5, 0.8} {
		for _, policy := range policies() {
			measure := func(hog bool) (time.Duration, float64) {
				w := newWorld(64)
				small := others(w, load)
				// The hog's share is that of one of 11 workspaces; it offers 20 times that.
				large := &tenant{name: "large", share: 1, deadline: 8 * time.Second, rate: steady(20 * w.capacity() / meanCost / 11)}
				all := small
				if hog {
					all = append(slices.Clone(small), large)
				}
				switch policy {
				case "fair":
					w.fair(append(slices.Clone(small), large), breaker.NewLimit(64), defaultReserve)
				case "fifo":
					w.fifo(64, 256)
				case "fifo-short":
					w.fifo(64, 64)
				default:
					w.unlimited()
				}
				w.run(all, length)
				return w.p95Of(small), w.goodput(60, int(length/time.Second))
			}
			alone, _ := measure(false)
			beside, goodput := measure(true)
			t.Logf("load %.1f %-10s p95 alone %5.2fs beside %5.2fs (%+.1f%%), goodput %.3f",
				load, policy, alone.Seconds(), beside.Seconds(), 100*(beside.Seconds()/alone.Seconds()-1), goodput)
			if policy == "fair" {
				require.LessOrEqual(t, beside.Seconds(), 1.1*alone.Seconds())
				require.GreaterOrEqual(t, goodput, 0.9)
			}
		}
	}
}

// burst triples the load from second 60 to 90; the rest of the time it is normal.
func burst(normal, over float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= time.Minute && at < 90*time.Second {
			return over
		}
		return normal
	}
}

func TestOverloadEnds(t *testing.T) {
	const knee = 200
	retrying := []int{0, 10}
	if *baselines {
		retrying = []int{0, 5, 50}
	}
	for _, retries := range retrying {
		for _, policy := range policies() {
			w := newWorld(knee)
			capacity := w.capacity() / meanCost
			var ts []*tenant
			for i := range 10 {
				ts = append(ts, &tenant{
					name: fmt.Sprint("w", i), share: 1, deadline: 4 * time.Second, retries: retries, patient: i%2 == 0,
					rate: burst(0.8*capacity/10, 3*capacity/10),
				})
			}
			switch policy {
			case "fair":
				w.fair(ts, breaker.NewLimit(64), defaultReserve)
			case "fifo":
				w.fifo(knee, 10*knee)
			case "fifo-short":
				w.fifo(knee, knee)
			default:
				w.unlimited()
			}
			w.run(ts, 150*time.Second)
			recovered := recovery(w, 90)
			t.Logf("retries %2d %-10s goodput in overload %.3f, after it %.3f (offered %.3f before), recovered after %ds, wasted %.0f, refused %d",
				retries, policy, w.goodput(62, 90), w.goodput(95, 125), w.goodput(30, 60), recovered, w.wasted, w.refused)
			if policy == "fair" {
				require.GreaterOrEqual(t, w.goodput(62, 90), 0.9)
				require.LessOrEqual(t, recovered, 5)
			}
		}
	}
}

// recovery is how many seconds after from each following 5 seconds answer 0.9 of what was offered a second earlier.
func recovery(w *world, from int) int {
	const window, delay = 5, 1
	last := from
	for s := from; s < from+50; s++ {
		offered := min(1, mean(w.offered, s-delay, s+window-delay)/w.capacity())
		if w.goodput(s, s+window) < 0.9*offered {
			last = s + 1
		}
	}
	return last - from
}
