package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/limiter"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

func newAssistantAdmitter(limit int, clock timer.Clock, workspaces ...documenter.Workspace) *Admitter {
	a := New(clock)
	a.InitialLimit = limit
	a.Rand = rand.New(rand.NewPCG(3, 4))
	a.Configure([]*documenter.Document{{Name: "assistant", Workspaces: workspaces}})
	a.SetCapacity("assistant", Capacity{Requests: limit})
	return a
}

func counterRequest() Request { return Request{Service: "assistant", Workspace: "counter", Cost: 10} }

func TestRefusals(t *testing.T) {
	clock := timer.NewManual(epoch)
	a := newAssistantAdmitter(1, clock, documenter.Workspace{Name: "counter"}, documenter.Workspace{Name: "kiosk", Rate: 1})
	for _, c := range []struct {
		name   string
		change func(*Request)
		code   refuser.Code
	}{
		{"unknown service", func(r *Request) { r.Service = "none" }, refuser.UnknownService},
		{"foreign workspace", func(r *Request) { r.Workspace = "other" }, refuser.UnknownWorkspace},
		{"deadline passed", func(r *Request) { r.Deadline = epoch }, refuser.DeadlineExceeded},
		{"deadline too short", func(r *Request) {
			r.Deadline = epoch.Add(time.Second)
			r.Expected = time.Minute
		}, refuser.DeadlineTooShort},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := counterRequest()
			c.change(&r)
			_, err := a.Admit(t.Context(), r)
			require.Equal(t, c.code, refuser.From(err).Code)
			require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
		})
	}
	r := counterRequest()
	r.Workspace = "kiosk"
	g, err := a.Admit(t.Context(), r)
	require.NoError(t, err)
	g.Done(Result{OK: true})
	g.Done(Result{OK: true})
	_, err = a.Admit(t.Context(), r)
	require.Equal(t, refuser.RateLimited, refuser.From(err).Code)
	require.GreaterOrEqual(t, refuser.From(err).RetryAfter, time.Second)
	clock.Advance(refuser.From(err).RetryAfter)
	_, err = a.Admit(t.Context(), r)
	require.NoError(t, err, "a retry after the retry-after time")
}

func TestWaitersAreAnsweredInTime(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		a := newAssistantAdmitter(1, timer.System{}, documenter.Workspace{Name: "counter", Concurrency: 1})
		start := time.Now()
		running, err := a.Admit(t.Context(), counterRequest())
		require.NoError(t, err)

		var group sync.WaitGroup
		wait := func(ctx context.Context, r Request, code refuser.Code, after time.Duration) {
			group.Add(1)
			go func() {
				defer group.Done()
				g, err := a.Admit(ctx, r)
				require.Equal(t, after, time.Since(start))
				if code == refuser.OK {
					require.NoError(t, err)
					g.Done(Result{OK: true})
					return
				}
				require.Equal(t, code, refuser.From(err).Code)
				require.Equal(t, refuser.FactNotRun, refuser.From(err).Fact)
			}()
			synctest.Wait()
		}
		short := counterRequest()
		short.Deadline, short.Expected = start.Add(3*time.Second), time.Second
		wait(t.Context(), short, refuser.DeadlineTooShort, 2*time.Second)
		expiring, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		wait(expiring, counterRequest(), refuser.DeadlineExceeded, time.Second)
		canceled, abort := context.WithCancel(t.Context())
		wait(canceled, counterRequest(), refuser.Canceled, 4*time.Second)
		wait(t.Context(), counterRequest(), refuser.OK, 5*time.Second)
		time.Sleep(4 * time.Second)
		abort()
		time.Sleep(time.Second)
		running.Done(Result{OK: true})
		group.Wait()

		ctx, stop := context.WithCancel(t.Context())
		last, err := a.Admit(t.Context(), counterRequest())
		require.NoError(t, err)
		start = time.Now()
		wait(t.Context(), counterRequest(), refuser.Draining, 0)
		stop()
		require.NoError(t, a.Run(ctx))
		group.Wait()
		_, err = a.Admit(t.Context(), counterRequest())
		require.Equal(t, refuser.Draining, refuser.From(err).Code)
		last.Done(Result{OK: true})
		status, _ := a.Status("assistant")
		require.Zero(t, status.InProgress+status.Waiting)
	})
}

func TestDeletedServiceAndWorkspaceRefuseWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAssistantAdmitter(1, timer.System{}, documenter.Workspace{Name: "counter"}, documenter.Workspace{Name: "kiosk"})
		_, err := a.Admit(t.Context(), counterRequest())
		require.NoError(t, err)
		answers := make(chan refuser.Code, 2)
		for _, w := range []cataloger.Workspace{"counter", "kiosk"} {
			r := counterRequest()
			r.Workspace = w
			go func() {
				_, err := a.Admit(t.Context(), r)
				answers <- refuser.From(err).Code
			}()
		}
		synctest.Wait()
		a.Configure([]*documenter.Document{{Name: "assistant", Workspaces: []documenter.Workspace{{Name: "kiosk"}}}})
		require.Equal(t, refuser.UnknownWorkspace, <-answers)
		a.Configure(nil)
		require.Equal(t, refuser.UnknownService, <-answers)
	})
}

func TestSharesUnblockWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(timer.System{})
		a.InitialShare = func(string, documenter.Workspace) limiter.Share { return limiter.Share{Rate: limiter.Unlimited} }
		a.Configure([]*documenter.Document{{Name: "assistant", Workspaces: []documenter.Workspace{{Name: "counter", Concurrency: 4}}}})
		starved := 0
		a.OnShareLimited = func() { starved++ }
		granted := make(chan error, 1)
		go func() {
			_, err := a.Admit(t.Context(), counterRequest())
			granted <- err
		}()
		synctest.Wait()
		require.Empty(t, granted)
		require.Equal(t, 1, starved)
		key := limiter.Key{Service: "assistant", Workspace: "counter"}
		time.Sleep(time.Second)
		require.Equal(t, []limiter.Demand{{Key: key, Rate: 1, Wanted: 1}}, a.Usage())
		a.SetShares(map[limiter.Key]limiter.Share{key: {Rate: limiter.Unlimited, Concurrency: 1}})
		require.NoError(t, <-granted)
	})
}

func TestConcurrentAdmissionStaysWithinLimit(t *testing.T) {
	a := newAssistantAdmitter(4, timer.System{}, documenter.Workspace{Name: "counter"})
	var running, maxRunning atomic.Int64
	var group sync.WaitGroup
	for range 32 {
		group.Go(func() {
			for range 50 {
				g, err := a.Admit(t.Context(), counterRequest())
				if err != nil {
					continue
				}
				n := running.Add(1)
				for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
					runtime.Gosched()
				}
				running.Add(-1)
				g.Done(Result{OK: true})
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, maxRunning.Load(), int64(4))
	status, _ := a.Status("assistant")
	require.Equal(t, 0, status.InProgress+status.Waiting)
}

func benchmarkWorkspaces(b *testing.B, run func(b *testing.B, a *Admitter, requests []Request)) {
	for _, n := range []int{10, 100, 1300, 10000} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			a := newAssistantAdmitter(256, timer.System{}, workspaceNames(n)...)
			requests := make([]Request, n)
			for i := range requests {
				requests[i] = Request{
					Service: "assistant", Workspace: cataloger.Workspace(fmt.Sprint("w", i)), Cost: 100,
					Deadline: time.Now().Add(time.Hour), Expected: time.Second,
				}
			}
			run(b, a, requests)
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	benchmarkWorkspaces(b, func(b *testing.B, a *Admitter, requests []Request) {
		b.ReportAllocs()
		for i := range b.N {
			g, err := a.Admit(b.Context(), requests[i%len(requests)])
			if err != nil {
				b.Fatal(err)
			}
			g.Done(Result{Tokens: 90, OK: true})
		}
	})
}

// BenchmarkBacklogged keeps every slot in use and a request of each workspace waiting, up to the limit of the queues.
func BenchmarkBacklogged(b *testing.B) {
	benchmarkWorkspaces(b, func(b *testing.B, a *Admitter, requests []Request) {
		s := a.service("assistant").scheduler
		now := time.Now()
		var running []*Ticket
		for i := range 256 + min(len(requests), defaultTotalQueue-256) {
			if t := s.Offer(now, requests[i%len(requests)]); t.State == TicketGranted {
				running = append(running, t)
			}
		}
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			t := running[0]
			running = running[1:]
			s.Finish(now, t, Result{Tokens: 90, OK: true})
			running = append(running, s.Decided()...)
			if t = s.Offer(now, t.Request); t.State == TicketGranted {
				running = append(running, t)
			}
		}
	})
}

func BenchmarkMemory(b *testing.B) {
	benchmarkWorkspaces(b, func(b *testing.B, a *Admitter, requests []Request) {
		for range b.N {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			more := newAssistantAdmitter(256, timer.System{}, workspaceNames(len(requests))...)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(requests)), "B/workspace")
			runtime.KeepAlive(more)
			runtime.KeepAlive(a)
		}
	})
}
