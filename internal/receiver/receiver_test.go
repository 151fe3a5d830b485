package receiver

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/admitter"
	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/documenter"
	"github.com/rattantray/rattantray/internal/forwarder"
	"github.com/rattantray/rattantray/internal/journaler"
	"github.com/rattantray/rattantray/internal/meter"
	"github.com/rattantray/rattantray/internal/sequencer"
	"github.com/rattantray/rattantray/internal/timer"
	"github.com/rattantray/rattantray/internal/tokener"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

// testBench is a receiver with fake dependencies that records their calls.
type testBench struct {
	*Receiver
	runs        int
	generations []Generation
	places      []sequencer.Place
	admissions  []admitter.Request
	emitted     []*v1.SendResponse
}

func newTestBench(t *testing.T) *testBench {
	t.Helper()
	clock := timer.System{}
	tokens, err := tokener.New(clock, time.Minute, []byte("0123456789abcdef"))
	require.NoError(t, err)
	b := &testBench{}
	model := &documenter.Document{
		Name:       "assistant",
		Type:       documenter.TypeModel,
		Workspaces: []documenter.Workspace{{Name: "counter"}},
		Model:      &documenter.Model{Name: "m", Version: "v1", Layers: 4},
		Limits:     documenter.Limits{PayloadBytes: 64, MaxTokens: 16, Deadline: documenter.Duration(time.Second), MaxDeadline: documenter.Duration(time.Minute)},
	}
	plain := &documenter.Document{
		Name:       "bookings",
		Type:       documenter.TypePlain,
		Workspaces: []documenter.Workspace{{Name: "counter"}},
		Plain:      &documenter.Plain{Methods: []documenter.Method{{Name: "POST /bookings"}, {Name: "GET /status", Idempotent: true}}},
	}
	documents := map[string]*documenter.Document{"assistant": model, "bookings": plain}
	b.Receiver = &Receiver{
		Log:          zerolog.Nop(),
		Clock:        clock,
		Self:         "router-1",
		Tokens:       tokens,
		Meter:        meter.New(),
		BeginRequest: func() (func(), error) { return func() {}, nil },
		Authorize:    func(http.Header, *documenter.Document, documenter.Workspace) error { return nil },
		Lookup: func(name string) (*documenter.Document, uint64, bool) {
			d, ok := documents[name]
			return d, 1, ok
		},
		Admit: func(_ context.Context, r admitter.Request) (*admitter.Grant, error) {
			b.admissions = append(b.admissions, r)
			return admitted(t, clock, model, plain, r), nil
		},
		ExpectedDuration: func(string, int, int) time.Duration { return 0 },
		Generate:         b.generate,
		Forward: func(context.Context, *documenter.Document, forwarder.Request) (forwarder.Answer, error) {
			b.runs++
			return forwarder.Answer{Status: http.StatusCreated, Body: []byte("booked")}, nil
		},
		RunOnce: b.once,
		Enter: func(_ context.Context, p sequencer.Place) (sequencer.Turn, error) {
			b.places = append(b.places, p)
			return sequencer.Turn{Wait: func(context.Context, int) error { return nil }, Done: func() {}, Cut: func() {}}, nil
		},
	}
	return b
}

func admitted(t *testing.T, clock timer.Clock, model, plain *documenter.Document, r admitter.Request) *admitter.Grant {
	a := admitter.New(clock)
	a.Configure([]*documenter.Document{model.WithDefaults(), plain.WithDefaults()})
	g, err := a.Admit(t.Context(), r)
	require.NoError(t, err)
	return g
}

var testRoute = []tokener.Stage{{Target: "engine-1", EndLayer: 4}}

func (b *testBench) generate(_ context.Context, g Generation, emit func(Token) error) error {
	b.runs++
	b.generations = append(b.generations, g)
	start := uint64(len(g.Delivered))
	for p := start; p < 3; p++ {
		if err := emit(Token{Attempt: g.FirstAttempt, Position: p, Data: []byte{byte('a' + p)}, Last: p == 2, Route: testRoute}); err != nil {
			return err
		}
	}
	return nil
}

func (b *testBench) once(ctx context.Context, _ journaler.Request, run journaler.RunFunc) (journaler.Outcome, error) {
	answer, err := run(ctx)
	return journaler.Outcome{Fact: refuser.FactRan, Answer: answer, Kept: true}, err
}

func (b *testBench) send(ctx context.Context, req *v1.Request) error {
	b.emitted = nil
	err := b.serve(ctx, req, http.Header{}, func(p *v1.SendResponse) error {
		b.emitted = append(b.emitted, p)
		return nil
	})
	if err != nil {
		return refuser.From(err)
	}
	return nil
}

func modelRequest() *v1.Request {
	return &v1.Request{Workspace: "counter", Service: "assistant", RequestId: "r-1", Payload: []byte("draft"), MaxTokens: 3}
}

func plainRequest(method string) *v1.Request {
	return &v1.Request{Workspace: "counter", Service: "bookings", Method: method, RequestId: "r-1"}
}

func modify(req *v1.Request, change func(*v1.Request)) *v1.Request {
	change(req)
	return req
}

func TestInvalidRequestIsRefusedAndNotRun(t *testing.T) {
	tests := []struct {
		name string
		req  *v1.Request
		code refuser.Code
	}{
		{"no request", nil, refuser.MalformedRequest},
		{"no workspace", modify(modelRequest(), func(r *v1.Request) { r.Workspace = "" }), refuser.MalformedRequest},
		{"no request id", modify(modelRequest(), func(r *v1.Request) { r.RequestId = "" }), refuser.MalformedRequest},
		{"long request id", modify(modelRequest(), func(r *v1.Request) { r.RequestId = strings.Repeat("x", 201) }), refuser.MalformedRequest},
		{"control character", modify(modelRequest(), func(r *v1.Request) { r.RequestId = "a\nb" }), refuser.MalformedRequest},
		{"invalid UTF-8", modify(modelRequest(), func(r *v1.Request) { r.Workspace = "\xff" }), refuser.MalformedRequest},
		{"sequence without a key", modify(modelRequest(), func(r *v1.Request) { r.Sequence = 1 }), refuser.MalformedRequest},
		{"key without a sequence", modify(modelRequest(), func(r *v1.Request) { r.OrderingKey = "k" }), refuser.MalformedRequest},
		{"priority", modify(modelRequest(), func(r *v1.Request) { r.Priority = 10 }), refuser.MalformedRequest},
		{"negative timeout", modify(modelRequest(), func(r *v1.Request) { r.Timeout = durationpb.New(-1) }), refuser.MalformedRequest},
		{"empty prompt", modify(modelRequest(), func(r *v1.Request) { r.Payload = nil }), refuser.MalformedRequest},
		{"method of a model service", modify(modelRequest(), func(r *v1.Request) { r.Method = "GET /" }), refuser.MalformedRequest},
		{"too many tokens", modify(modelRequest(), func(r *v1.Request) { r.MaxTokens = 17 }), refuser.MalformedRequest},
		{"delivered without a token", modify(modelRequest(), func(r *v1.Request) { r.Delivered = [][]byte{{1}} }), refuser.MalformedRequest},
		{"oversize", modify(modelRequest(), func(r *v1.Request) { r.Payload = make([]byte, 65) }), refuser.PayloadTooLarge},
		{"unknown service", modify(modelRequest(), func(r *v1.Request) { r.Service = "none" }), refuser.UnknownService},
		{"foreign workspace", modify(modelRequest(), func(r *v1.Request) { r.Workspace = "other" }), refuser.UnknownWorkspace},
		{"unknown method", plainRequest("DELETE /bookings"), refuser.UnknownMethod},
		{"hand-overs without a token", modify(modelRequest(), func(r *v1.Request) { r.HandOvers = 1 }), refuser.MalformedRequest},
		{"too many hand-overs", modify(modelRequest(), func(r *v1.Request) {
			r.ResumeToken, r.HandOvers = []byte("t"), maxHandOvers+1
		}), refuser.MalformedRequest},
		{"forged token", modify(modelRequest(), func(r *v1.Request) { r.ResumeToken = []byte("forged") }), refuser.ResumeTokenInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(t)
			requireRefused := func(fact refuser.Fact) {
				r := refuser.From(b.send(t.Context(), tt.req))
				require.Equal(t, tt.code, r.Code, r.Error())
				require.Equal(t, fact, r.Fact)
				require.Zero(t, b.runs)
				require.Empty(t, b.admissions)
			}
			if tt.req.GetRequestId() != "r-1" {
				requireRefused(refuser.FactNotRun)
				return
			}
			requireRefused(refuser.FactMayHaveRun)
			tt.req.RequestId, tt.req.NotRunBefore = newID(), true
			if len(tt.req.ResumeToken) > 0 || len(tt.req.Delivered) > 0 {
				requireRefused(refuser.FactMayHaveRun)
				return
			}
			requireRefused(refuser.FactNotRun)
		})
	}
}

func TestResumeTokenOfAnotherRequestIsRefused(t *testing.T) {
	b := newTestBench(t)
	require.NoError(t, b.send(t.Context(), modelRequest()))
	token := b.emitted[0].ResumeToken
	require.NotEmpty(t, token)
	for name, change := range map[string]func(*v1.Request){
		"request id": func(r *v1.Request) { r.RequestId = "r-2" },
		"payload":    func(r *v1.Request) { r.Payload = []byte("other") },
	} {
		t.Run(name, func(t *testing.T) {
			req := modify(modelRequest(), change)
			req.ResumeToken = token
			require.Equal(t, refuser.ResumeTokenInvalid, refuser.From(b.send(t.Context(), req)).Code)
			require.Equal(t, 1, b.runs)
		})
	}
}

func TestResumeContinuesTheExecutionWithHigherAttempts(t *testing.T) {
	b := newTestBench(t)
	require.NoError(t, b.send(t.Context(), modelRequest()))
	req := modelRequest()
	req.ResumeToken = b.emitted[0].ResumeToken
	req.Delivered = [][]byte{[]byte("a")}
	require.NoError(t, b.send(t.Context(), req))
	require.Equal(t, b.generations[0].Execution, b.generations[1].Execution)
	require.Greater(t, b.generations[1].FirstAttempt, b.generations[0].FirstAttempt+attemptStride-2)
	require.Empty(t, b.generations[0].Held)
	require.Equal(t, HeldStream{Attempt: b.generations[0].FirstAttempt, Route: testRoute}, b.generations[1].Held)
	require.Equal(t, uint64(1), b.emitted[0].Position)
	require.Len(t, b.emitted, 2)
}

// TestStreamsHaveDistinctAttemptNumbers guards against two streams of one answer with the same attempt numbers: entries
// resume it and fail before a token, or continue the stream that the engines hold.
func TestStreamsHaveDistinctAttemptNumbers(t *testing.T) {
	b := newTestBench(t)
	require.NoError(t, b.send(t.Context(), modelRequest()))
	first := b.emitted[0].ResumeToken
	continuedToken := b.Tokens.Sign(tokener.Claims{
		Workspace: "counter", Service: "assistant", RequestID: modelRequest().RequestId, PayloadDigest: payloadDigest(modelRequest()),
		Execution: b.generations[0].Execution, Version: "v1", Attempt: b.generations[0].FirstAttempt, Position: 2,
	})
	for i, token := range [][]byte{first, first, continuedToken, continuedToken} {
		req := modify(modelRequest(), func(r *v1.Request) {
			r.ResumeToken, r.Delivered, r.HandOvers = token, [][]byte{[]byte("a")}, uint32(i+1)
		})
		require.NoError(t, b.send(t.Context(), req))
	}
	for i, job := range b.generations[1:] {
		require.GreaterOrEqual(t, job.FirstAttempt, b.generations[i].EndAttempt)
		require.Greater(t, job.EndAttempt, job.FirstAttempt)
	}
}

func TestExecutionsOfOneRequestIDDiffer(t *testing.T) {
	b := newTestBench(t)
	require.NoError(t, b.send(t.Context(), modelRequest()))
	require.NoError(t, b.send(t.Context(), modelRequest()))
	require.NotEqual(t, b.generations[0].Execution, b.generations[1].Execution)
}

func TestOnlyNonIdempotentRequestsUseTheJournal(t *testing.T) {
	nonIdempotent, idempotent := false, true
	tests := []struct {
		name string
		req  *v1.Request
		want bool
	}{
		{"model", modelRequest(), false},
		{"model made non-idempotent", modify(modelRequest(), func(r *v1.Request) { r.Idempotent = &nonIdempotent }), true},
		{"booking", plainRequest("POST /bookings"), true},
		{"booking cannot be made idempotent", modify(plainRequest("POST /bookings"), func(r *v1.Request) { r.Idempotent = &idempotent }), true},
		{"status", plainRequest("GET /status"), false},
		{"status made non-idempotent", modify(plainRequest("GET /status"), func(r *v1.Request) { r.Idempotent = &nonIdempotent }), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(t)
			journaled := false
			b.RunOnce = func(ctx context.Context, r journaler.Request, run journaler.RunFunc) (journaler.Outcome, error) {
				journaled = true
				return b.once(ctx, r, run)
			}
			require.NoError(t, b.send(t.Context(), tt.req))
			require.Equal(t, tt.want, journaled)
			require.True(t, b.emitted[len(b.emitted)-1].Last)
		})
	}
}

func TestJournalOutcomes(t *testing.T) {
	kept := journaler.Outcome{Fact: refuser.FactRan, Kept: true, Replayed: true, Answer: journaler.Answer{Status: 201, Body: []byte("booked")}}
	tests := []struct {
		name    string
		outcome journaler.Outcome
		want    string
		code    refuser.Code
		fact    refuser.Fact
	}{
		{"kept", kept, "booked", 0, 0},
		{"running", journaler.Outcome{Running: true}, "", refuser.AlreadyRunning, refuser.FactMayHaveRun},
		{"ran, not kept", journaler.Outcome{Fact: refuser.FactRan}, "", refuser.AlreadyRan, refuser.FactRan},
		{"may have run", journaler.Outcome{Fact: refuser.FactMayHaveRun}, "", refuser.OutcomeUncertain, refuser.FactMayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBench(t)
			b.RunOnce = func(context.Context, journaler.Request, journaler.RunFunc) (journaler.Outcome, error) {
				return tt.outcome, nil
			}
			err := b.send(t.Context(), plainRequest("POST /bookings"))
			require.Zero(t, b.runs)
			if tt.code != 0 {
				require.Equal(t, tt.code, refuser.From(err).Code)
				require.Equal(t, tt.fact, refuser.From(err).Fact)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, string(b.emitted[0].Data))
			require.Equal(t, uint32(201), b.emitted[0].HttpStatus)
		})
	}
}

func TestCallReturnsTheCompleteAnswer(t *testing.T) {
	b := newTestBench(t)
	resp, err := b.Call(t.Context(), connect.NewRequest(&v1.CallRequest{Request: modelRequest()}))
	require.NoError(t, err)
	require.Equal(t, "abc", string(resp.Msg.Data))
	require.Equal(t, uint64(3), resp.Msg.Parts)
}

func TestDeadlineRefusalStatesWhetherTheRequestRan(t *testing.T) {
	tests := []struct {
		name string
		set  func(*testBench)
		fact refuser.Fact
	}{
		{"while waiting for admission", func(b *testBench) {
			b.Admit = func(ctx context.Context, _ admitter.Request) (*admitter.Grant, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, refuser.FactNotRun},
		{"while running", func(b *testBench) {
			b.Generate = func(ctx context.Context, _ Generation, _ func(Token) error) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, refuser.FactMayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestBench(t)
				tt.set(b)
				begin := time.Now()
				r := refuser.From(b.send(t.Context(), withPromise(modelRequest())))
				require.Equal(t, refuser.DeadlineExceeded, r.Code)
				require.Equal(t, tt.fact, r.Fact)
				require.Equal(t, time.Second, time.Since(begin))
			})
		})
	}
}

func TestNotRunIsNotReportedAfterAPart(t *testing.T) {
	b := newTestBench(t)
	b.Generate = func(_ context.Context, g Generation, emit func(Token) error) error {
		if err := emit(Token{Attempt: 1, Data: []byte("a")}); err != nil {
			return err
		}
		return refuser.New(refuser.NoPipeline, "every chain is gone")
	}
	r := refuser.From(b.send(t.Context(), modelRequest()))
	require.Equal(t, refuser.NoPipeline, r.Code)
	require.Equal(t, refuser.FactMayHaveRun, r.Fact)
}

func TestOrderedAnswerIsHeldBackUntilItsTurn(t *testing.T) {
	b := newTestBench(t)
	var sizes []int
	ended := false
	b.Enter = func(_ context.Context, p sequencer.Place) (sequencer.Turn, error) {
		b.places = append(b.places, p)
		return sequencer.Turn{
			Wait: func(_ context.Context, size int) error {
				sizes = append(sizes, size)
				require.Empty(t, b.emitted)
				return nil
			},
			Done: func() { ended = true },
		}, nil
	}
	req := modelRequest()
	req.OrderingKey = "reports"
	req.Sequence = 2
	require.NoError(t, b.send(t.Context(), req))
	require.Len(t, b.emitted, 3)
	require.Equal(t, []int{3}, sizes)
	require.True(t, ended)
	require.Equal(t, uint64(2), b.places[0].Sequence)
	require.Equal(t, cataloger.Workspace("counter"), b.places[0].Workspace)
}

func TestInterruptedOrderedDeliveryKeepsItsPlace(t *testing.T) {
	b := newTestBench(t)
	cuts := 0
	b.Enter = func(context.Context, sequencer.Place) (sequencer.Turn, error) {
		return sequencer.Turn{
			Wait: func(context.Context, int) error { return nil },
			Done: func() {},
			Cut:  func() { cuts++ },
		}, nil
	}
	req := modelRequest()
	req.OrderingKey = "reports"
	req.Sequence = 1
	err := b.serve(t.Context(), req, http.Header{}, func(*v1.SendResponse) error { return errors.New("connection reset") })
	require.Error(t, err)
	require.Equal(t, 1, cuts)
}

func TestRequestIsRefusedWhileDraining(t *testing.T) {
	b := newTestBench(t)
	b.BeginRequest = func() (func(), error) { return nil, refuser.New(refuser.Draining, "shutting down") }
	r := refuser.From(b.send(t.Context(), withPromise(modelRequest())))
	require.Equal(t, refuser.Draining, r.Code)
	require.Equal(t, refuser.FactNotRun, r.Fact)
	require.Zero(t, b.runs)
}

func TestClientStreamErrorEndsTheRun(t *testing.T) {
	b := newTestBench(t)
	streamErr := errors.New("connection reset")
	err := b.serve(t.Context(), modelRequest(), http.Header{}, func(*v1.SendResponse) error { return streamErr })
	require.ErrorContains(t, err, "connection reset")
}

func FuzzCheckShape(f *testing.F) {
	f.Add("counter", "assistant", "r-1", "key", uint64(1), uint32(3), int64(1), []byte("token"))
	f.Add("", "\xff", strings.Repeat("x", 300), "", uint64(1), uint32(99), int64(-1), []byte(nil))
	f.Fuzz(func(t *testing.T, workspace, service, id, key string, sequence uint64, priority uint32, timeout int64, token []byte) {
		req := &v1.Request{
			Workspace: workspace, Service: service, RequestId: id, OrderingKey: key, Sequence: sequence,
			Priority: priority, Timeout: durationpb.New(time.Duration(timeout)), ResumeToken: token,
		}
		if checkShape(req) != nil {
			return
		}
		require.NotEmpty(t, req.Workspace)
		require.NotEmpty(t, req.Service)
		require.NotEmpty(t, req.RequestId)
		require.LessOrEqual(t, req.Priority, uint32(maxPriority))
		require.Equal(t, req.OrderingKey == "", req.Sequence == 0)
		require.True(t, deadlineOf(req, documenter.Limits{}, time.Unix(0, 0)).After(time.Unix(0, 0)))
	})
}
