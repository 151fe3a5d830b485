package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattantray/rattantray/internal/assessor"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/matcher"
	"github.com/rattantray/rattantray/internal/rationer"
	"github.com/rattantray/rattantray/internal/repairer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// script defines the answer to one send.
type script struct {
	status int
	notRun bool
	blamed string
	// unsigned answers carry no signature.
	unsigned bool
	body     string
	// mediaType is the answer's Content-Type, and unframed bodies end with their connection.
	mediaType string
	unframed  bool
	// err ends the body in place of its end; before the head where there is no status.
	err error
	// notice is what the target announces about itself beside its answer.
	notice Notice
	// endless follows the body in place of its end.
	endless *endlessBody
	// hang leaves the send without an answer until it is canceled.
	hang bool
}

// fakeBackend answers the sends in order.
type fakeBackend struct {
	mu      sync.Mutex
	scripts []script
	calls   []Call
	repaths [][]cataloger.Stage
	// heed receives the notices.
	heed func(cataloger.Target, Notice)
	// stalled is what reports contain.
	stalled []StalledRequest
	// down holds the targets that refuse connections.
	down map[string]bool
}

func (f *fakeBackend) send(ctx context.Context, call Call) (*Reply, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, call)
	s := f.scripts[min(n, len(f.scripts)-1)]
	f.mu.Unlock()
	if s.hang {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	if s.notice != (Notice{}) {
		f.heed(call.Target, s.notice)
	}
	if s.status == 0 {
		return nil, s.err
	}
	var body io.Reader = strings.NewReader(s.body)
	if s.err != nil {
		body = io.MultiReader(body, failingReader{s.err})
	}
	var closer io.Closer = io.NopCloser(nil)
	if s.endless != nil {
		body, closer = io.MultiReader(body, s.endless), s.endless
		context.AfterFunc(ctx, func() { _ = closer.Close() })
	}
	header := http.Header{"Signature": {call.Target.Name}}
	if s.mediaType != "" {
		header.Set("Content-Type", s.mediaType)
	}
	return &Reply{
		Status: s.status, Header: header, Unframed: s.unframed, Body: struct {
			io.Reader
			io.Closer
		}{body, closer},
		NotRun: s.notRun, Blamed: s.blamed, Signed: !s.unsigned,
	}, nil
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

func (f *fakeBackend) backend() Backend {
	return Backend{
		Send: f.send,
		Repath: func(_ context.Context, _ cataloger.Target, _ string, path []cataloger.Stage) (RepathResult, string, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.repaths = append(f.repaths, path)
			return RepathDone, "", nil
		},
		Refuses: func(_ context.Context, t cataloger.Target) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.down[t.Name]
		},
		Report: func(context.Context, cataloger.Target) (Report, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return Report{Stalled: f.stalled}, nil
		},
	}
}

// fleet lists two pipelines of two stages in one data centre, and two instances of a plain service.
func fleet() *assessor.Assessor {
	a := assessor.New(time.Now)
	add := func(name, service string, first, end uint32) {
		t := cataloger.Target{Name: name, Service: service, Address: name + ":80", DataCentre: "a", State: cataloger.StateLive, Incarnation: 1}
		if end > 0 {
			t.Kind = "l4"
			t.Holdings = []cataloger.Holding{{Version: "1", FirstLayer: first, EndLayer: end, Ready: true}}
		}
		a.Put(t)
	}
	add("a1", "llm", 0, 5)
	add("a2", "llm", 5, 10)
	add("b1", "llm", 0, 5)
	add("b2", "llm", 5, 10)
	add("p1", "app", 0, 0)
	add("p2", "app", 0, 0)
	return a
}

func newTestRelayer(f *fakeBackend) *Relayer {
	r := New(fleet(), timer.System{})
	r.Backend = f.backend()
	f.heed = r.HandleNotice
	r.Budget = rationer.Budget{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
	return r
}

func stream(resumable bool) *Request {
	return &Request{
		ID: "r1", Method: "POST", URI: "/x", Header: http.Header{}, Arrived: time.Now(), Deadline: time.Now().Add(20 * time.Second),
		Route: &matcher.Route{Name: "letters", Kind: matcher.KindStreaming, MaxAttempts: 2, Resumable: resumable},
		Service: &matcher.Service{Name: "llm", Engine: &matcher.Engine{
			Layers: 10, LayerBytes: 1e9, TokenBytes: 1e5, StepTime: time.Millisecond, UsualPrompt: 100, UsualAnswer: 100,
			Kinds: map[string]matcher.Accelerator{"l4": {MemoryBytes: 22e9, Pace: 1}},
		}},
	}
}

func plain(kind matcher.Kind) *Request {
	return &Request{
		ID: "r2", Method: "GET", URI: "/y", Header: http.Header{}, Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second),
		Route:   &matcher.Route{Name: "status", Kind: kind, MaxAttempts: 2},
		Service: &matcher.Service{Name: "app"},
	}
}

func eventRange(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

var errCut = errors.New("connection reset")

// serve relays a request; aborted reports whether the answer was broken off.
func serve(r *Relayer, req *Request) (w *httptest.ResponseRecorder, refusal *refuser.Refusal, aborted bool) {
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			err, ok := p.(error)
			aborted = ok && errors.Is(err, http.ErrAbortHandler)
		}
	}()
	refusal = r.Serve(context.Background(), w, req)
	return w, refusal, false
}

func TestStreams(t *testing.T) {
	cases := []struct {
		name      string
		scripts   []script
		resumable bool
		body      string
		aborted   bool
		code      refuser.Code
		fact      refuser.Fact
		sends     int
	}{
		{"whole", []script{{status: 200, body: eventRange(1, 3)}}, true, eventRange(1, 3), false, 0, 0, 1},
		{"continues elsewhere within one answer", []script{
			{status: 200, body: eventRange(1, 2) + "id: 3\nda", err: errCut}, {status: 200, body: eventRange(3, 4)},
		}, true, eventRange(1, 4), false, 0, 0, 2},
		{"delivered events are not delivered again", []script{
			{status: 200, body: eventRange(1, 2), err: errCut}, {status: 200, body: eventRange(1, 4)},
		}, true, eventRange(1, 4), false, 0, 0, 2},
		{"an event is missing after the move", []script{
			{status: 200, body: eventRange(1, 2), err: errCut}, {status: 200, body: eventRange(4, 5)},
		}, true, eventRange(1, 2), true, 0, 0, 2},
		{"continues after a field that each stream begins with", []script{
			{status: 200, body: "retry: 500\n\n" + eventRange(1, 2), err: errCut}, {status: 200, body: "retry: 500\n\n: again\n\n" + eventRange(3, 4)},
		}, true, "retry: 500\n\n" + eventRange(1, 2) + ": again\n\n" + eventRange(3, 4), false, 0, 0, 2},
		{"ends with its connection", []script{{status: 200, unframed: true, body: eventRange(1, 3)}}, false, eventRange(1, 3), false, 0, 0, 1},
		{"continues to the end of a connection", []script{
			{status: 200, body: eventRange(1, 2), err: errCut}, {status: 200, unframed: true, body: eventRange(3, 4)},
		}, true, eventRange(1, 4), false, 0, 0, 2},
		{"ends in the middle of an event", []script{{status: 200, body: eventRange(1, 1) + "id: 2\n"}}, false, eventRange(1, 1), true, 0, 0, 1},
		{"may not be resumed", []script{{status: 200, body: eventRange(1, 2), err: errCut}}, false, eventRange(1, 2), true, 0, 0, 1},
		{"may not be resumed and has not begun", []script{{err: errCut}}, false, "", false, refuser.StreamLost, refuser.FactMayHaveRun, 1},
		{"breaks twice", []script{{status: 200, body: eventRange(1, 2), err: errCut}, {status: 200, body: eventRange(3, 3), err: errCut}},
			true, eventRange(1, 3), true, 0, 0, 2},
		{"refused once", []script{{status: 503, notRun: true}, {status: 200, body: eventRange(1, 2)}}, false, eventRange(1, 2), false, 0, 0, 2},
		{"never sent", []script{{err: fmt.Errorf("%w: refused", exchanger.ErrNotSent)}}, false, "", false, refuser.NoPipeline, refuser.FactNotRun, 2},
		{"a promise without proof", []script{{status: 503, body: "busy"}}, false, "", false, refuser.TargetFailed, refuser.FactMayHaveRun, 1},
		{"success without signature", []script{{status: 200, unsigned: true, body: eventRange(1, 2)}}, false, "", false, refuser.TargetFailed, refuser.FactMayHaveRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{scripts: c.scripts}
				w, refusal, aborted := serve(newTestRelayer(f), stream(c.resumable))
				require.Equal(t, c.aborted, aborted)
				require.Equal(t, c.body, w.Body.String())
				require.Len(t, f.calls, c.sends)
				if c.code != 0 {
					require.Equal(t, c.code, refusal.Code)
					require.Equal(t, c.fact, refusal.Fact)
					require.Empty(t, w.Header(), "a refusal carries nothing of a target's answer")
				}
				if c.body != "" {
					ran := 0
					for c.scripts[ran].notRun {
						ran++
					}
					require.Equal(t, f.calls[ran].Target.Name, w.Header().Get("Signature"), "the head is that of the first target that ran it")
				}
			})
		})
	}
}

// TestHeadIsNotForwardedBeforeTheFirstEvent: the head of an answer arrives, but its stream breaks before the first
// event.
func TestHeadIsNotForwardedBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{status: 200, err: errCut}}}
		w, refusal, aborted := serve(newTestRelayer(f), stream(true))
		require.False(t, aborted)
		require.Equal(t, refuser.FactMayHaveRun, refusal.Fact)
		require.Empty(t, w.Header())
	})
}

// TestStageLostUnderLoad: the first target reports that a request waits for a silent stage, which must be replaced, unless the
// request may have crashed it.
func TestStageLostUnderLoad(t *testing.T) {
	t.Run("sound request", func(t *testing.T) { testStageLost(t, false) })
	t.Run("suspect", func(t *testing.T) { testStageLost(t, true) })
}

func testStageLost(t *testing.T, suspect bool) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{hang: true}}}
		r := newTestRelayer(f)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Watch(ctx) }()
		req := stream(false)
		req.PromptParts = []string{"shared", "own"}
		if suspect {
			r.Quarantiner.RecordCrash(req.keys(), 1, 1)
		}
		go func() {
			defer func() { _ = recover() }()
			r.Serve(ctx, httptest.NewRecorder(), req)
		}()
		synctest.Wait()
		second := f.calls[0].Path[1]
		f.mu.Lock()
		f.stalled = []StalledRequest{{RequestID: req.ID, Address: second.Address}}
		f.mu.Unlock()
		time.Sleep(maxFirstEventTimeout + repairer.MinQueryInterval + 2*watchInterval)
		f.mu.Lock()
		defer f.mu.Unlock()
		if suspect {
			require.Empty(t, f.repaths)
			return
		}
		require.NotEmpty(t, f.repaths)
		path := f.repaths[0]
		require.Equal(t, f.calls[0].Path[0], path[0], "the first stage stays")
		require.True(t, cataloger.Route{Stages: path}.Covers(10))
		require.NotEqual(t, second.Target, path[1].Target)
	})
}

// TestStreamThatStallsWithComments: bytes without an event are not progress, so the watchdog queries the stream; events
// are progress, however slow.
func TestStreamThatStallsWithComments(t *testing.T) {
	for _, comments := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			f := &fakeBackend{scripts: []script{{}}}
			r := newTestRelayer(f)
			r.Backend.Send = func(_ context.Context, call Call) (*Reply, error) {
				return &Reply{Status: 200, Header: http.Header{}, Body: reader, Signed: true}, nil
			}
			done := make(chan struct{})
			go func() {
				_, _, _ = serve(r, stream(true))
				close(done)
			}()
			_, _ = io.WriteString(writer, eventRange(1, 3))
			for i := range 30 {
				time.Sleep(150 * time.Millisecond)
				if comments {
					_, _ = io.WriteString(writer, ": waiting\n\n")
				} else {
					_, _ = io.WriteString(writer, eventRange(4+i, 4+i))
				}
			}
			synctest.Wait()
			streams := []repairer.Stream{r.inProgress()[0].stream()}
			_ = writer.Close()
			<-done
			if comments {
				require.Len(t, repairer.StagesToQuery(time.Now(), streams), 1)
			} else {
				require.Empty(t, repairer.StagesToQuery(time.Now(), streams))
			}
		})
	}
}

// TestLostRequestIsSentElsewhere: a target that serves one stream does not begin another.
func TestLostRequestIsSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{hang: true}, {status: 200, body: eventRange(1, 2)}}}
		r := newTestRelayer(f)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Watch(ctx) }()
		done := make(chan *httptest.ResponseRecorder)
		go func() {
			w, _, _ := serve(r, stream(true))
			done <- w
		}()
		synctest.Wait()
		// Two other streams on the same first target continue meanwhile; the one that was sent later proves the loss.
		earlier := &generation{relayer: r, request: stream(true), path: f.calls[0].Path, sendStarted: time.Now().Add(-time.Second), started: true}
		other := &generation{relayer: r, request: stream(true), path: f.calls[0].Path, sendStarted: time.Now().Add(time.Millisecond)}
		r.mu.Lock()
		r.streams[earlier], r.streams[other] = struct{}{}, struct{}{}
		r.mu.Unlock()
		for {
			select {
			case w := <-done:
				require.Equal(t, eventRange(1, 2), w.Body.String())
				require.NotEqual(t, f.calls[0].Target.Name, f.calls[1].Target.Name)
				return
			case <-time.After(watchInterval / 2):
				other.mu.Lock()
				other.lastProgress, other.started = time.Now(), true
				other.mu.Unlock()
			}
		}
	})
}

// TestLostRequestIsNotResentWithoutBudget: a first target seems to have lost a request, and the retry budget is spent.
func TestLostRequestIsNotResentWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{hang: true}}}
		r := newTestRelayer(f)
		r.Budget = rationer.Budget{Window: 10 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Watch(ctx) }()
		go func() {
			defer func() { _ = recover() }()
			r.Serve(ctx, httptest.NewRecorder(), stream(true))
		}()
		synctest.Wait()
		later := &generation{relayer: r, request: stream(true), path: f.calls[0].Path, sendStarted: time.Now().Add(time.Millisecond), started: true}
		r.mu.Lock()
		r.streams[later] = struct{}{}
		r.mu.Unlock()
		time.Sleep(10 * maxFirstEventTimeout)
		require.Equal(t, 2, r.InProgress(), "the request still waits for its target")
	})
}

func TestPlainRequests(t *testing.T) {
	cases := []struct {
		name    string
		kind    matcher.Kind
		scripts []script
		status  int
		fact    refuser.Fact
		sends   int
	}{
		{"answered", matcher.KindNonIdempotent, []script{{status: 200, body: "ok"}}, 200, 0, 1},
		{"a failure of the target is forwarded", matcher.KindNonIdempotent, []script{{status: 500, body: "no"}}, 500, 0, 1},
		{"a failure of an idempotent request is tried again", matcher.KindIdempotent, []script{{status: 500}, {status: 200, body: "ok"}}, 200, 0, 2},
		{"two failures of an idempotent request", matcher.KindIdempotent, []script{{status: 500}, {status: 500}}, 500, 0, 2},
		{"no answer, not repeatable", matcher.KindNonIdempotent, []script{{err: errCut}}, 0, refuser.FactMayHaveRun, 1},
		{"no answer, repeatable", matcher.KindIdempotent, []script{{err: errCut}, {status: 200, body: "ok"}}, 200, 0, 2},
		{"not run, as the target proves", matcher.KindNonIdempotent, []script{{status: 503, notRun: true}, {status: 200, body: "ok"}}, 200, 0, 2},
		{"not run by any target", matcher.KindNonIdempotent, []script{{status: 503, notRun: true}}, 0, refuser.FactNotRun, 2},
		{"a promise without proof", matcher.KindNonIdempotent, []script{{status: 429}}, 0, refuser.FactMayHaveRun, 1},
		{"half an answer, not repeatable", matcher.KindNonIdempotent, []script{{status: 200, body: "o", err: errCut}}, 0, refuser.FactMayHaveRun, 1},
		{"success without signature", matcher.KindNonIdempotent, []script{{status: 200, unsigned: true}}, 0, refuser.FactMayHaveRun, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeBackend{scripts: c.scripts}
				w, refusal, aborted := serve(newTestRelayer(f), plain(c.kind))
				require.False(t, aborted)
				require.Len(t, f.calls, c.sends)
				if c.status == 0 {
					require.Equal(t, c.fact, refusal.Fact)
					require.Empty(t, w.Header())
					return
				}
				require.Nil(t, refusal)
				require.Equal(t, c.status, w.Code)
				require.NotEmpty(t, w.Header().Get("Signature"))
			})
		})
	}
}

// TestDeadlineEndsARequest: a target that never answers delays the client no longer than the deadline.
func TestDeadlineEndsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, req := range []*Request{plain(matcher.KindNonIdempotent), stream(false)} {
			began := time.Now()
			_, refusal, _ := serve(newTestRelayer(&fakeBackend{scripts: []script{{hang: true}}}), req)
			require.Equal(t, refuser.DeadlineExceeded, refusal.Code)
			require.Equal(t, refuser.FactMayHaveRun, refusal.Fact)
			require.Equal(t, req.Deadline.Sub(began), time.Since(began))
		}
	})
}

// TestRetryAfterIsSpread: the retry delays of clients that are refused together vary by up to half.
func TestRetryAfterIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelayer(&fakeBackend{scripts: []script{{status: 200}}})
		delays := map[time.Duration]bool{}
		for range 50 {
			req := stream(true)
			req.PromptTokens = 1e9
			_, refusal, _ := serve(r, req)
			require.GreaterOrEqual(t, refusal.RetryAfter, noPathRetry)
			require.LessOrEqual(t, refusal.RetryAfter, noPathRetry*3/2)
			delays[refusal.RetryAfter] = true
		}
		require.Greater(t, len(delays), 40)
	})
}

// TestRequestOverCapacityIsRefusedImmediately: the memory for requests is full, and the refusal carries a retry delay.
func TestRequestOverCapacityIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelayer(&fakeBackend{scripts: []script{{status: 200}}})
		began := time.Now()
		req := stream(true)
		req.PromptTokens = 1e9
		_, refusal, _ := serve(r, req)
		require.Equal(t, refuser.NoPipeline, refusal.Code)
		require.Equal(t, refuser.FactNotRun, refusal.Fact)
		require.Positive(t, refusal.RetryAfter)
		require.Contains(t, refusal.Message, "without memory")
		require.Zero(t, time.Since(began))
	})
}

// TestClosingRefusesRequestsThatOutlastIt: without a replacement daemon, requests that may outlast this one are refused
// immediately, with the time when another is back.
func TestClosingRefusesRequestsThatOutlastIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackend{scripts: []script{{status: 200, body: "ok"}}}
		r := newTestRelayer(f)
		end := time.Now().Add(3 * time.Second)
		require.True(t, r.BeginClosing(Closing{EndsAt: end, ReplacedAt: time.Now().Add(2 * time.Second)}))
		require.False(t, r.BeginClosing(Closing{EndsAt: end, ReplacedAt: time.Now().Add(2 * time.Second)}), "once")

		w, refusal, _ := serve(r, plain(matcher.KindNonIdempotent))
		require.Nil(t, refusal, "its deadline is 2 s away")
		require.Equal(t, "ok", w.Body.String())

		_, refusal, _ = serve(r, stream(true))
		require.Equal(t, refuser.Draining, refusal.Code)
		require.Equal(t, refuser.FactNotRun, refusal.Fact)
		require.GreaterOrEqual(t, refusal.RetryAfter, 2*time.Second)
		require.LessOrEqual(t, refusal.RetryAfter, 3*time.Second)
		require.Len(t, f.calls, 1)

		time.Sleep(2 * time.Second)
		_, refusal, _ = serve(r, stream(true))
		require.GreaterOrEqual(t, refusal.RetryAfter, minRetryAfter)
	})
}
