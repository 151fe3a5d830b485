package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/relayer"
	"github.com/rattantray/rattantray/internal/throttler"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// limitContact is how long after a target first named a limit the fleet must keep it, and limitWindow the span of time in
	// which requests are counted.
	limitContact = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitAnswerTime is how long a target of a limitFleet works on a request.
	limitAnswerTime = 30 * time.Millisecond
)

// allowedRequests returns how many requests the deployments allow in a limitWindow.
func allowedRequests(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// limitFleet is a fleet whose targets name limits.
type limitFleet struct {
	*spreadFleet
	names []string

	mu sync.Mutex
	// limits are the limits that targets name, arrivals the times of the requests that reached them.
	limits   map[string]throttler.Limit
	arrivals map[string][]time.Time
	refusals []*refuser.Refusal
	served   int
	// longestRefusal is the longest time that a request took to be refused.
	longestRefusal time.Duration
}

// newLimitFleet returns a fleet of n gateways in front of a number of targets.
func newLimitFleet(t *testing.T, n, targets int) *limitFleet {
	f := &limitFleet{spreadFleet: newSpreadFleet(t, n), limits: map[string]throttler.Limit{}, arrivals: map[string][]time.Time{}}
	f.writeConfig(1)
	for i := range targets {
		name := fmt.Sprint("target-", i)
		f.names = append(f.names, name)
		_, err := f.platform.Store().Put(t.Context(), "servers/"+name, []byte(name+":80"), 0)
		require.NoError(t, err)
	}
	for _, g := range f.all {
		f.connect(g)
	}
	time.Sleep(fleetStartTime)
	return f
}

// connect lets a gateway send to the targets.
func (f *limitFleet) connect(g *Gateway) {
	g.relayer.Backend.Send = func(ctx context.Context, call relayer.Call) (*relayer.Reply, error) {
		f.mu.Lock()
		f.arrivals[call.Target.Name] = append(f.arrivals[call.Target.Name], time.Now())
		limit := f.limits[call.Target.Name]
		f.mu.Unlock()
		time.Sleep(limitAnswerTime)
		g.relayer.HandleNotice(call.Target, relayer.Notice{Limit: limit})
		return &relayer.Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok")), Signed: true}, nil
	}
	g.relayer.Backend.Report = func(_ context.Context, target cataloger.Target) (relayer.Report, error) {
		f.mu.Lock()
		limit := f.limits[target.Name]
		f.mu.Unlock()
		g.relayer.HandleNotice(target, relayer.Notice{Limit: limit})
		return relayer.Report{}, nil
	}
}

// setLimits changes the limits that targets name.
func (f *limitFleet) setLimits(limits map[string]throttler.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits = limits
}

// load sends requests for a time through gateways, to each the given number a second, spread unevenly over time.
func (f *limitFleet) load(gateways []*Gateway, perSecond float64, duration time.Duration) {
	var wg sync.WaitGroup
	for i, g := range gateways {
		wg.Go(func() {
			interval := time.Duration(float64(time.Second) / perSecond)
			time.Sleep(interval * time.Duration(i) / time.Duration(len(gateways)))
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
				wg.Go(func() { f.request(g) })
			}
		})
	}
	wg.Wait()
}

func (f *limitFleet) request(g *Gateway) {
	began := time.Now()
	refusal := g.relayer.Serve(f.t.Context(), httptest.NewRecorder(), &relayer.Request{
		ID: "r", Method: http.MethodGet, URI: "/", Header: http.Header{}, Arrived: began, Deadline: began.Add(2 * time.Second),
		Route: &matcher.Route{Name: "status", Kind: matcher.KindIdempotent, MaxAttempts: 2}, Service: &matcher.Service{Name: "llm"},
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	if refusal == nil {
		f.served++
		return
	}
	f.refusals = append(f.refusals, refusal)
	f.longestRefusal = max(f.longestRefusal, time.Since(began))
}

// busiest returns the most requests that reached a target within limitWindow from a time on.
func (f *limitFleet) busiest(target string, since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := slices.DeleteFunc(slices.Clone(f.arrivals[target]), func(t time.Time) bool { return t.Before(since) })
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i, t := range at {
		for t.Sub(at[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTargetsGetNoMoreRequestsThanTheyAccept guards against a fleet whose gateways each send a target as much as they like, although it
// names the rate that it accepts from all of them together.
func TestTargetsGetNoMoreRequestsThanTheyAccept(t *testing.T) {
	for _, n := range []int{4, 31, 118} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			if n > 4 && raced {
				t.Skip("CI plays larger fleets without the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, n, 8)
				perGateway := 120 / float64(n)
				f.load(f.all, perGateway, 2*time.Second)
				f.setLimits(map[string]throttler.Limit{
					"target-0": {Rate: 2, Set: true}, "target-1": {Rate: 7.5, Set: true}, "target-2": {Rate: 0.4, Set: true}, "target-3": {Set: true},
				})
				named := time.Now()
				f.load(f.all, perGateway, 12*time.Second)
				for name, limit := range f.limits {
					require.LessOrEqual(t, f.busiest(name, named.Add(limitContact)), allowedRequests(limit.Rate), "%s, %v a second", name, limit.Rate)
				}
				require.Empty(t, f.refusals, "the other targets have room")
			})
		})
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce: when all targets are at their limits, what they accept is used, whichever gateways the
// requests come to, and the rest is refused without waiting, with a time to come back.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	for _, n := range []int{4, 31} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			if n > 4 && raced {
				t.Skip("CI plays larger fleets without the race detector")
			}
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(t, n, 3)
				limits := map[string]throttler.Limit{}
				total := 0.0
				for i, name := range f.names {
					limits[name] = throttler.Limit{Rate: float64(4 * (i + 1)), Set: true}
					total += limits[name].Rate
				}
				f.setLimits(limits)
				busy := f.all[:n/3]
				f.load(busy, 100/float64(len(busy)), 4*time.Second)
				f.served, f.refusals, f.longestRefusal = 0, nil, 0
				began := time.Now()
				f.load(busy, 100/float64(len(busy)), 10*time.Second)
				for name, limit := range limits {
					require.LessOrEqual(t, f.busiest(name, began), allowedRequests(limit.Rate), name)
				}
				require.GreaterOrEqual(t, float64(f.served), 0.8*10*total, "what targets accept is used by the third of the gateways that has requests")
				require.NotEmpty(t, f.refusals)
				require.Less(t, f.longestRefusal, 300*time.Millisecond)
				for _, refusal := range f.refusals {
					require.Equal(t, refuser.FactNotRun, refusal.Fact)
					require.Positive(t, refusal.RetryAfter)
				}
			})
		})
	}
}

// TestLimitsThatRiseOrEndAreForgotten guards against capacity that stays unused after a target has recovered, also one that accepted no
// requests at all and so could not say it in an answer to one.
func TestLimitsThatRiseOrEndAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 31, 2)
		for _, g := range f.all {
			f.wg.Go(func() { _ = g.relayer.Watch(f.ctx) })
		}
		f.setLimits(map[string]throttler.Limit{"target-0": {Set: true}, "target-1": {Rate: 2, Set: true}})
		f.load(f.all, 1, 8*time.Second)
		before := f.served
		f.load(f.all, 1, 4*time.Second)
		require.LessOrEqual(t, f.served-before, allowedRequests(2))
		f.setLimits(map[string]throttler.Limit{"target-1": {Rate: 12, Set: true}})
		f.load(f.all, 1, 12*time.Second)
		f.refusals = nil
		f.load(f.all, 1, 5*time.Second)
		require.Empty(t, f.refusals)
		require.Greater(t, f.busiest("target-0", time.Now().Add(-5*time.Second)), 2*int(limitWindow.Seconds()), "the one without a limit is used again")
	})
}

// TestLimitsHoldWhileOwnersAreLost guards against a burst at a target when the gateways that own limits are lost, cut off from the others
// or start again, as each new owner knows nothing of the requests before.
func TestLimitsHoldWhileOwnersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 13, 8)
		limits := map[string]throttler.Limit{}
		for i, name := range f.names {
			limits[name] = throttler.Limit{Rate: float64(i + 1), Set: true}
		}
		f.setLimits(limits)
		f.load(f.all, 8, 3*time.Second)
		began := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { f.load(f.all, 8, 24*time.Second) })
		for i := range 3 {
			time.Sleep(2 * time.Second)
			end := f.hub.cutOff(peerAddress(i))
			time.Sleep(3 * time.Second)
			end()
			time.Sleep(2 * time.Second)
			f.connect(f.start(13+i, false))
		}
		wg.Wait()
		for name, limit := range limits {
			require.LessOrEqual(t, f.busiest(name, began), allowedRequests(limit.Rate), name)
			require.NotZero(t, f.busiest(name, began), name)
		}
	})
}

// TestCostOfPermits: what permits cost a gateway depends on its requests, not on how many gateways or targets there are, and stays
// within the budget for control at the design size's 9.3 requests a second for each gateway, all of them to targets at their limits.
func TestCostOfPermits(t *testing.T) {
	const (
		budget   = 9_000
		duration = 10 * time.Second
	)
	if raced {
		t.Skip("CI plays larger fleets without the race detector")
	}
	for _, n := range []int{13, 31} {
		synctest.Test(t, func(t *testing.T) {
			// As at the design size, 3,300 targets before 400 gateways, which accept half of the requests.
			const targetsPerGateway, rate = 8, 0.58
			f := newLimitFleet(t, n, targetsPerGateway*n)
			limits := map[string]throttler.Limit{}
			for _, name := range f.names {
				limits[name] = throttler.Limit{Rate: rate, Set: true}
			}
			bytes := func() map[string]int {
				f.hub.mu.Lock()
				defer f.hub.mu.Unlock()
				out := f.hub.bytes
				f.hub.bytes = map[string]int{}
				return out
			}
			bytes()
			f.load(f.all, 9.3, duration)
			before := 0
			for _, b := range bytes() {
				before += b
			}
			f.setLimits(limits)
			f.load(f.all, 9.3, 3*time.Second)
			bytes()
			f.load(f.all, 9.3, duration)
			sum, busiest := 0, 0
			for _, b := range bytes() {
				sum, busiest = sum+b, max(busiest, b)
			}
			seconds := duration.Seconds()
			t.Logf("%d gateways: %.0f bytes/s sent on the mean without limits, %.0f with, the busiest %.0f", n,
				float64(before)/float64(n)/seconds, float64(sum)/float64(n)/seconds, float64(busiest)/seconds)
			require.Less(t, float64(busiest)/seconds, float64(budget))
		})
	}
}
