package admitter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rattantray/rattantray/internal/breaker"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4201"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_000_000, 0)

func newScheduler(limit int, settings Settings, workspaces ...documenter.Workspace) *Scheduler {
	l := breaker.NewLimit(limit)
	l.Max = float64(limit)
	s := NewScheduler(settings, l, rand.New(rand.NewPCG(1, 2)))
	s.Configure(epoch, settings, workspaces, fullShare)
	return s
}

func workspaceNames(n int) []documenter.Workspace {
	ws := make([]documenter.Workspace, n)
	for i := range ws {
		ws[i] = documenter.Workspace{Name: fmt.Sprint("w", i), Share: 1}
	}
	return ws
}

// oracle records every request and checks the guarantees of admission.
type oracle struct {
	s                 *Scheduler
	queue             int
	now               time.Time
	open              map[*Ticket]bool // waiting or in progress
	answered          map[*Ticket]bool
	running           map[cataloger.Workspace]int
	waiting           map[cataloger.Workspace]int
	concurrencyLimits map[cataloger.Workspace]int
}

func (o *oracle) recordDecision(t require.TestingT, k *Ticket) {
	require.False(t, o.answered[k], "answered twice")
	o.answered[k] = true
	switch k.State {
	case TicketGranted:
		if !k.Request.Deadline.IsZero() {
			require.False(t, o.now.After(k.Request.Deadline.Add(-k.Request.Expected/2)), "granted too late")
		}
		o.open[k] = true
		o.running[k.Request.Workspace]++
	case TicketRefused:
		require.Equal(t, refuser.FactNotRun, k.Refusal.Fact)
		require.NotEmpty(t, k.Refusal.Code.String())
		delete(o.open, k)
	default:
		require.Fail(t, "answered without a decision")
	}
}

func (o *oracle) collect(t require.TestingT) {
	for _, k := range o.s.Decided() {
		o.waiting[k.Request.Workspace]--
		o.recordDecision(t, k)
	}
}

func (o *oracle) check(t require.TestingT) {
	running, waiting := 0, 0
	for w, n := range o.running {
		require.GreaterOrEqual(t, n, 0)
		if c := o.concurrencyLimits[w]; c > 0 {
			require.LessOrEqual(t, n, c)
		}
		running += n
	}
	for _, n := range o.waiting {
		require.GreaterOrEqual(t, n, 0)
		require.LessOrEqual(t, n, o.queue)
		waiting += n
	}
	require.Equal(t, running, o.s.InProgress())
	require.Equal(t, waiting, o.s.Waiting())
	require.LessOrEqual(t, running, o.s.Limit())
	require.GreaterOrEqual(t, o.s.busyWeight, -1e-9)
	for k := range o.open {
		if k.State == TicketWaiting && !k.latestGrant.IsZero() {
			require.True(t, k.latestGrant.After(o.now), "kept waiting past its latest grant")
		}
	}
	o.checkNoIdleSlot(t)
}

// checkNoIdleSlot fails if a slot outside the reserve is free while a workspace below its limit waits.
func (o *oracle) checkNoIdleSlot(t require.TestingT) {
	if float64(o.s.Limit()-o.s.InProgress()) <= o.s.settings.Reserve*float64(o.s.Limit()) {
		return
	}
	for w, n := range o.waiting {
		c := o.concurrencyLimits[w]
		require.False(t, n > 0 && (c == 0 || o.running[w] < c), "workspace %s waits although a slot is free", w)
	}
}

func (o *oracle) pick(t *rapid.T, state TicketState) *Ticket {
	var first *Ticket
	for k := range o.open {
		if k.State == state && (first == nil || k.sequence < first.sequence) {
			first = k
		}
	}
	return first
}

func TestSchedulerFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			queue: rapid.IntRange(1, 6).Draw(t, "queue"), now: epoch,
			open: map[*Ticket]bool{}, answered: map[*Ticket]bool{},
			running: map[cataloger.Workspace]int{}, waiting: map[cataloger.Workspace]int{},
			concurrencyLimits: map[cataloger.Workspace]int{"w1": 2},
		}
		ws := workspaceNames(4)
		ws[1].Concurrency = 2
		ws[2].Rate = 3
		ws[3].Share = 7
		o.s = newScheduler(rapid.IntRange(1, 8).Draw(t, "limit"), Settings{
			Queue: o.queue, TotalQueue: 9, Ageing: time.Second, Reserve: rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "reserve"),
		}, ws...)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				r := Request{
					Workspace: cataloger.Workspace(rapid.SampledFrom([]string{"w0", "w1", "w2", "w3", "none"}).Draw(t, "w")),
					Cost:      float64(rapid.IntRange(-1, 1000).Draw(t, "cost")),
					Priority:  uint32(rapid.IntRange(0, 9).Draw(t, "priority")),
					Expected:  time.Duration(rapid.IntRange(0, 900).Draw(t, "expected")) * time.Millisecond,
				}
				if rapid.Bool().Draw(t, "has deadline") {
					r.Deadline = o.now.Add(time.Duration(rapid.IntRange(-100, 3000).Draw(t, "deadline")) * time.Millisecond)
				}
				k := o.s.Offer(o.now, r)
				if k.State == TicketWaiting {
					o.open[k] = true
					o.waiting[r.Workspace]++
				} else {
					o.recordDecision(t, k)
				}
			},
			"finish": func(t *rapid.T) {
				if k := o.pick(t, TicketGranted); k != nil {
					o.running[k.Request.Workspace]--
					delete(o.open, k)
					r := Result{Tokens: float64(rapid.IntRange(0, 2000).Draw(t, "tokens")), OK: rapid.Bool().Draw(t, "ok")}
					o.s.Finish(o.now, k, r)
					o.s.Finish(o.now, k, r)
				}
			},
			"return": func(t *rapid.T) {
				if k := o.pick(t, TicketGranted); k != nil {
					o.running[k.Request.Workspace]--
					delete(o.open, k)
					o.s.Return(o.now, k)
				}
			},
			"cancel": func(t *rapid.T) {
				if k := o.pick(t, TicketWaiting); k != nil {
					o.waiting[k.Request.Workspace]--
					o.s.Cancel(o.now, k)
					o.recordDecision(t, k)
				}
			},
			"wait": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				o.s.Advance(o.now)
			},
			"reweigh": func(t *rapid.T) {
				ws[0].Share = float64(rapid.IntRange(1, 20).Draw(t, "share"))
				o.s.Configure(o.now, o.s.settings, ws, fullShare)
			},
			"share": func(t *rapid.T) {
				rate := float64(rapid.IntRange(0, 5).Draw(t, "rate"))
				o.s.SetShare(o.now, "w2", limiter.Share{Rate: rate, Concurrency: limiter.Unlimited})
			},
			"": func(t *rapid.T) {
				o.collect(t)
				o.check(t)
			},
		})
		o.s.Close(refuser.New(refuser.Draining, "stop"))
		o.collect(t)
		require.Zero(t, o.s.Waiting())
	})
}

// TestSharesWhileBacklogged checks that every backlogged workspace gets its share of the cost within one request per slot
// and workspace.
func TestSharesWhileBacklogged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "workspaces")
		limit := rapid.IntRange(1, 16).Draw(t, "limit")
		ws := workspaceNames(n)
		total := 0.0
		for i := range ws {
			ws[i].Share = float64(rapid.IntRange(1, 9).Draw(t, "share"))
			total += ws[i].Share
		}
		s := newScheduler(limit, Settings{Queue: 1000}, ws...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const largest = 100
		served := map[cataloger.Workspace]float64{}
		costs := map[*Ticket]float64{}
		var running []*Ticket
		offer := func(w string) {
			cost := float64(1 + random.IntN(largest))
			// Some workspaces state a quarter of the cost, others up to twice as much; Finish corrects it.
			stated := cost * (1 + random.Float64())
			if w[len(w)-1]%2 == 0 {
				stated = cost / 4
			}
			k := s.Offer(epoch, Request{Workspace: cataloger.Workspace(w), Cost: stated})
			costs[k] = cost
			if k.State == TicketGranted {
				running = append(running, k)
			}
		}
		for _, w := range ws {
			for range 30 {
				offer(w.Name)
			}
		}
		all := 0.0
		for range 3000 {
			i := random.IntN(len(running))
			k := running[i]
			running[i] = running[len(running)-1]
			running = running[:len(running)-1]
			s.Finish(epoch, k, Result{OK: true, Tokens: costs[k]})
			served[k.Request.Workspace] += costs[k]
			all += costs[k]
			running = append(running, s.Decided()...)
			offer(string(k.Request.Workspace))
		}
		slack := float64(2 * largest * (limit + n))
		for _, w := range ws {
			want := all * w.Share / total
			require.InDelta(t, want, served[cataloger.Workspace(w.Name)], slack, "share of %s", w.Name)
		}
	})
}

func TestCostIsCorrectedAtTheEnd(t *testing.T) {
	s := newScheduler(2, Settings{}, workspaceNames(2)...)
	low := s.Offer(epoch, Request{Workspace: "w0", Cost: 1})
	s.Finish(epoch, low, Result{OK: true, Tokens: 100})
	require.InDelta(t, 100, s.flows["w0"].finish, 1e-9, "charged even if nothing waits")
	unused := s.Offer(epoch, Request{Workspace: "w1", Cost: 50})
	s.Return(epoch, unused)
	require.InDelta(t, 0, s.flows["w1"].finish, 1e-9, "a returned grant costs nothing")
}

func TestAgeingGrantsTheLowestPriority(t *testing.T) {
	s := newScheduler(1, Settings{Queue: 1000, Ageing: time.Second}, workspaceNames(1)...)
	now := epoch
	running := s.Offer(now, Request{Workspace: "w0", Cost: 1, Priority: 9})
	old := s.Offer(now, Request{Workspace: "w0", Cost: 1, Priority: 0})
	for range 300 {
		s.Offer(now, Request{Workspace: "w0", Cost: 1, Priority: 9})
		s.Offer(now, Request{Workspace: "w0", Cost: 1, Priority: 9})
		now = now.Add(100 * time.Millisecond)
		s.Finish(now, running, Result{OK: true})
		running = s.Decided()[0]
		if running == old {
			break
		}
	}
	require.Equal(t, TicketGranted, old.State)
	// The 180 urgent requests that arrive within 9 ageing times are granted first, at 10 a second.
	require.InDelta(t, 18.0, now.Sub(epoch).Seconds(), 0.5)
}

func TestFullQueues(t *testing.T) {
	s := newScheduler(1, Settings{Queue: 2, TotalQueue: 3}, workspaceNames(2)...)
	offer := func(w cataloger.Workspace, priority uint32) *Ticket {
		return s.Offer(epoch, Request{Workspace: w, Cost: 10, Priority: priority})
	}
	require.Equal(t, TicketGranted, offer("w0", 0).State)
	first, second := offer("w0", 0), offer("w0", 0)
	require.Equal(t, refuser.QueueFull, offer("w0", 0).Refusal.Code)
	urgent := offer("w0", 5)
	require.Equal(t, TicketWaiting, urgent.State, "an urgent request displaces the last ordinary one")
	require.Equal(t, refuser.QueueFull, second.Refusal.Code)
	require.Positive(t, second.Refusal.RetryAfter)
	require.Equal(t, TicketWaiting, offer("w1", 0).State)
	require.Equal(t, TicketWaiting, offer("w1", 0).State, "at the total limit the longest backlog is displaced")
	require.Equal(t, refuser.QueueFull, first.Refusal.Code)
	require.Equal(t, 3, s.Waiting())
}
