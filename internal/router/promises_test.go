package router

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/api/rattantray/v1/rattantrayv1connect"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// Objectives.
const (
	lossDetectedWithin   = 2 * time.Second
	leavingIdleWithin    = 3 * time.Second
	inForceWithin        = 2 * time.Second
	inForceWithinOnFault = 7 * time.Second
)

func TestOrderedAnswersKeepTheirOrderAcrossEntries(t *testing.T) {
	inWorld(t, 4, fourChains(), func(w *world) {
		const reports = 24
		var mu sync.Mutex
		var order []uint64
		var wg sync.WaitGroup
		for n := range reports {
			client := w.newClient(fmt.Sprintf("10.0.7.%d", n+2))
			wg.Go(func() {
				sequence := uint64(n + 1)
				err := client.Send(context.Background(), &v1.Request{
					Workspace: "counter", Service: "assistant", RequestId: fmt.Sprintf("report-%d", n),
					Payload: []byte("chapter"), MaxTokens: uint32(1 + (reports-n)*2), Timeout: durationpb.New(25 * time.Second),
					OrderingKey: "agent-7", Sequence: sequence,
				}, func(p *v1.SendResponse) error {
					if p.Last {
						mu.Lock()
						order = append(order, sequence)
						mu.Unlock()
					}
					return nil
				})
				require.NoError(t, err, "report %d", n)
			})
			// Requests are made in order; their lengths make later ones finish first.
			time.Sleep(2 * time.Millisecond)
		}
		wg.Wait()
		require.Len(t, order, reports)
		require.True(t, slices.IsSorted(order), "%v", order)
	})
}

func TestRollingRestartLosesNoRequest(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, fourChains(), func(w *world) {
		l := w.newLoad(16, 20*time.Second)
		l.start(24, 4)
		time.Sleep(3 * time.Second)
		for _, d := range w.routers {
			begun := time.Now()
			_, err := w.operator(d).Drain(w.t.Context(), connect.NewRequest(&v1.DrainRequest{}))
			require.NoError(t, err)
			require.NoError(t, <-d.done)
			t.Logf("%s drained in %s", d.settings.Name, time.Since(begun))
			w.net.Kill(d.ip)
			w.restart(d)
			time.Sleep(2 * time.Second)
		}
		time.Sleep(3 * time.Second)
		l.finish()
		a := l.audit()
		t.Logf("answered %d, refusals %v", a.answered, a.codes)
		a.check(w)
		require.Empty(t, a.codes, "a planned restart made a request fail")
	})
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	inWorld(t, 4, fourChains(), func(w *world) {
		l := w.newLoad(16, 20*time.Second)
		l.start(24, 2)
		time.Sleep(3 * time.Second)
		w.markLeaving(0)
		markedAt := time.Now()
		time.Sleep(leavingIdleWithin)
		begun := map[string]bool{}
		for _, r := range w.engines[0].Ledger().Runs {
			begun[r.RequestID] = true
		}
		time.Sleep(5 * time.Second)
		for _, r := range w.engines[0].Ledger().Runs {
			require.True(t, begun[r.RequestID], "%s began %s or more after the VM was marked", r.RequestID, leavingIdleWithin)
		}
		l.finish()
		a := l.audit()
		t.Logf("%s after the VM was marked: answered %d, refusals %v", time.Since(markedAt), a.answered, a.codes)
		a.check(w)
		require.Empty(t, a.codes, "a leaving target made a request fail")
	})
}

func TestResolveOmitsLostDaemons(t *testing.T) {
	skipUnderRace(t)
	tests := []struct {
		name        string
		injectFault func(w *world, d *daemon)
		within      time.Duration
	}{
		{"VM lost", func(w *world, d *daemon) { w.kill(d) }, lossDetectedWithin},
		{"frozen", func(w *world, d *daemon) { w.pause(d) }, lossDetectedWithin},
		{"drained", func(w *world, d *daemon) { d.router.Drain(0) }, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, 4, fourChains(), func(w *world) {
				time.Sleep(5 * time.Second)
				lost := w.routers[2]
				tt.injectFault(w, lost)
				begun := time.Now()
				for _, d := range []*daemon{w.routers[0], w.routers[1], w.routers[3]} {
					for w.resolves(d, lost) {
						require.Less(t, time.Since(begun), 30*time.Second, "%s still returns %s", d.settings.Name, lost.settings.Name)
						time.Sleep(20 * time.Millisecond)
					}
				}
				t.Logf("no answer contains it after %s", time.Since(begun))
				require.LessOrEqual(t, time.Since(begun), tt.within)
			})
		})
	}
}

// resolves reports whether a daemon's answer to Resolve contains another one.
func (w *world) resolves(d, other *daemon) bool {
	client := rattantrayv1connect.NewRouterServiceClient(w.httpClient, "http://"+d.ip+":7070")
	resp, err := client.Resolve(w.t.Context(), connect.NewRequest(&v1.ResolveRequest{Workspace: "counter", Service: "assistant"}))
	require.NoError(w.t, err)
	return slices.ContainsFunc(resp.Msg.Entries, func(e *v1.Entry) bool { return e.Address == other.ip+":7070" })
}

func TestAppliedDocumentIsInForceEverywhere(t *testing.T) {
	skipUnderRace(t)
	tests := []struct {
		name        string
		injectFault func(w *world)
		within      time.Duration
	}{
		{"ordinary", func(*world) {}, inForceWithin},
		{"a daemon is killed", func(w *world) { w.kill(w.routers[3]) }, inForceWithinOnFault},
		{"a watch gap", func(w *world) { w.injectStoreFault("watch-gap", "") }, inForceWithinOnFault},
		{"store answers are lost", func(w *world) { w.injectStoreFault("answer-lost", "") }, inForceWithinOnFault},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, 4, fourChains(), func(w *world) {
				tt.injectFault(w)
				version := w.apply(assistantDocument + "priorities: {ageing: 9s}\n")
				begun := time.Now()
				for _, d := range w.routers {
					for !d.dead && w.versionInForce(d) < version {
						require.Less(t, time.Since(begun), 30*time.Second, "%s lags", d.settings.Name)
						time.Sleep(10 * time.Millisecond)
					}
				}
				t.Logf("in force after %s", time.Since(begun))
				require.LessOrEqual(t, time.Since(begun), tt.within)
			})
		})
	}
}

func (w *world) versionInForce(d *daemon) uint64 {
	_, version, _ := d.router.config.Lookup("assistant")
	return version
}

func TestStoreOutageRefusesBookings(t *testing.T) {
	skipUnderRace(t)
	inWorld(t, 4, fourChains(), func(w *world) {
		l := w.newLoad(8, 20*time.Second)
		heal := outage(w)
		time.Sleep(10 * time.Minute)
		r := l.book(w.client, "b-out")
		require.Equal(t, refuser.StoreUnavailable, r.Code)
		require.Equal(t, refuser.FactMayHaveRun, r.Fact, "no durable record shows that no other entry ran it")
		require.Positive(t, r.RetryAfter)
		fresh := w.client.NewRequestID()
		r = l.book(w.client, fresh)
		require.Equal(t, refuser.StoreUnavailable, r.Code)
		require.Equal(t, refuser.FactNotRun, r.Fact, "a new id cannot have run before")
		require.Positive(t, r.RetryAfter)
		require.Nil(t, l.generate(w.client, "g-out"), "idempotent requests keep running")
		heal()
		healedAt := time.Now()
		for l.book(w.client, fmt.Sprintf("b-%d", time.Since(healedAt))) != nil {
			require.Less(t, time.Since(healedAt), 30*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("bookings run again %s after the store recovered", time.Since(healedAt))
		require.LessOrEqual(t, time.Since(healedAt), recoveryLimit)
		require.Empty(t, runsOf(w, "b-out"))
		require.Empty(t, runsOf(w, fresh))
	})
}

func runsOf(w *world, id string) []string {
	var found []string
	for _, r := range w.service.Ledger().Runs {
		if r.RequestID == id {
			found = append(found, r.RequestID)
		}
	}
	return found
}
