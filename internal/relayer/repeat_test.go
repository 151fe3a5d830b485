package relayer

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/quarantiner"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// repeat sends the request with deadlyBody under another ID.
func (f *crashFleet) repeat(id int, parts []string) *refuser.Refusal {
	req := stream(true)
	req.ID, req.PromptParts, req.Body = fmt.Sprint("repeat-", id), parts, []byte(deadlyBody)
	_, refusal, _ := serve(f.relayer, req)
	return refusal
}

// TestRequestThatComesAgainIsQuarantined guards against a request that crashes one target after the other as it comes again with
// another ID, while sound requests that share the parts of its prompt are answered.
func TestRequestThatComesAgainIsQuarantined(t *testing.T) {
	for name, parts := range map[string][]string{"prompt with a shared part": {"shared-0", "own"}, "prompt without parts": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleet(5)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = f.relayer.Watch(ctx) }()
				failed, quarantined := f.play(40, 8, func(i int) {
					if i > 40 && i%20 == 10 {
						go func() { f.repeat(i, parts) }()
					}
				})
				require.LessOrEqual(t, f.crashes, 4, "crashes for one request")
				require.LessOrEqual(t, f.deadly, 3+3, "sends of the request")
				require.Less(t, failed, 16, "of 800 sound requests, 2%% may fail")
				require.Zero(t, quarantined, "of the sound requests")
				refusal := f.repeat(1000, parts)
				require.Equal(t, refuser.Quarantined, refusal.Code)
				require.Equal(t, refuser.FactNotRun, refusal.Fact)
				require.Positive(t, refusal.RetryAfter)
			})
		})
	}
}

// TestRepeatsOfSuspectsAreApart guards against requests that were on a target which crashed and are sent again together, so that the
// one to blame takes the same others with it and none can be told apart.
func TestRepeatsOfSuspectsAreApart(t *testing.T) {
	const targets, requests = 8, 40
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleet(targets)
		var mu sync.Mutex
		var refused atomic.Int64
		sent := map[string]map[string]bool{}
		send := f.relayer.Backend.Send
		f.relayer.Backend.Send = func(ctx context.Context, call Call) (*Reply, error) {
			mu.Lock()
			defer mu.Unlock()
			body := string(call.Request.Body)
			if sent[body] == nil {
				sent[body] = map[string]bool{}
			}
			sent[body][call.Target.Name] = true
			return send(ctx, call)
		}
		var wg sync.WaitGroup
		for id := range 2 * requests {
			req := stream(true)
			req.ID, req.Body = fmt.Sprint("r", id), fmt.Append(nil, "body ", id%requests)
			f.relayer.Quarantiner.RecordContentCrash(req.keys(), 1, req.content(), true)
			wg.Go(func() {
				if _, refusal, _ := serve(f.relayer, req); refusal != nil {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		require.Zero(t, refused.Load())
		require.Len(t, sent, requests)
		together := map[string]int{}
		for body, names := range sent {
			require.Len(t, names, 1, "attempts of one request, %s, share a target", body)
			for name := range names {
				together[name]++
			}
		}
		for name, n := range together {
			require.LessOrEqual(t, n, 2*requests/targets, name)
		}
	})
}

// TestStreamsOfACrashedTargetAreNotMovedUnchecked guards against a request that crashed its target and is moved to another one by
// the watchdog, before its own connection breaks, as another daemon has reported the target lost.
func TestStreamsOfACrashedTargetAreNotMovedUnchecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{hang: true}}}
		r := newTestRelayer(f)
		r.Backend.Refuses = func(context.Context, cataloger.Target) bool { return true }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Watch(ctx) }()
		req := stream(true)
		req.PromptParts = []string{"shared", "own"}
		r.Quarantiner.RecordAnswered(req.keys()[:1])
		go func() {
			defer func() { _ = recover() }()
			r.Serve(ctx, httptest.NewRecorder(), req)
		}()
		time.Sleep(maxFirstEventTimeout)
		synctest.Wait()
		first := f.calls[0].Target
		r.Targets.Suspect(first.Name, first.Incarnation, time.Now())
		time.Sleep(10 * watchInterval)
		synctest.Wait()
		require.Len(t, f.calls, 1)
		require.Equal(t, quarantiner.Suspect, r.Quarantiner.Check(req.keys()).Verdict)
	})
}

// TestSuspectLeavesASilentTarget guards against sound requests that wait until their deadline on a target that is silent, as they were at
// the crash of another one.
func TestSuspectLeavesASilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{hang: true}, {status: 200, body: eventRange(1, 3)}}}
		r := newTestRelayer(f)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Watch(ctx) }()
		req := stream(true)
		req.PromptParts = []string{"shared", "own"}
		r.Quarantiner.RecordContentCrash(req.keys(), 99, req.content(), false)
		time.Sleep(time.Second)
		r.Quarantiner.RecordAnswered(req.keys()[:1])
		req.Arrived, req.Deadline = time.Now(), time.Now().Add(20*time.Second)
		time.AfterFunc(maxFirstEventTimeout, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			r.Targets.Suspect(f.calls[0].Target.Name, 1, time.Now())
		})
		began := time.Now()
		_, refusal, aborted := serve(r, req)
		require.Nil(t, refusal)
		require.False(t, aborted)
		require.Less(t, time.Since(began), 2*maxFirstEventTimeout)
		require.Len(t, f.calls, 2)
	})
}

// TestAnswersThatProveNothing guards against a request that crashes its targets and is taken for harmless, as a target crashed after its
// first event of an answer that ends with its connection, or answered with a failure.
func TestAnswersThatProveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelayer(&fakeBackend{scripts: []script{{status: 200, unframed: true, body: eventRange(1, 1)}}})
		req := stream(true)
		r.Quarantiner.RecordContentCrash(req.keys(), 99, req.content(), false)
		_, _, _ = serve(r, req)
		require.Equal(t, quarantiner.Suspect, r.Quarantiner.Check(req.keys()).Verdict)
	})
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelayer(&fakeBackend{scripts: []script{{status: 500, body: "in trouble"}}})
		req := plain(matcher.KindNonIdempotent)
		keys := []quarantiner.Key{quarantiner.RequestKey(req.Service.Name, req.Method, req.URI, req.Body)}
		r.Quarantiner.RecordCrash(keys, 1, 1)
		_, _, _ = serve(r, req)
		require.Equal(t, quarantiner.Suspect, r.Quarantiner.Check(keys).Verdict)
	})
}

// TestEvidenceOfOneCrashIsToldAtOnce guards against a message to other daemons for each of the streams that a crash ends.
func TestEvidenceOfOneCrashIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelayer(&fakeBackend{})
		reports := 0
		r.OnEvidence = func() { reports++ }
		first, _ := r.Targets.Get("a1")
		for i := range 65 {
			r.recordCrash(first.Target, func(target uint32) bool {
				return r.Quarantiner.RecordContentCrash([]quarantiner.Key{quarantiner.Key(i)}, target, uint32(i), false)
			})
		}
		time.Sleep(evidenceDelay)
		synctest.Wait()
		require.Equal(t, 1, reports)
	})
}
