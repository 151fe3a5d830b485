package enginefaker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, cfg Config) (*Engine, *engineer.Engine, string) {
	client := engineer.HTTPClient()
	cfg.Client = client
	e := New(cfg)
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(e.Handler())
	server.Start()
	t.Cleanup(func() {
		e.Close()
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	address := strings.TrimPrefix(server.URL, "http://")
	return e, engineer.New(client, address), address
}

func holding(first, end uint32) []cataloger.Holding {
	return []cataloger.Holding{{Model: "m", Version: "v1", FirstLayer: first, EndLayer: end, Ready: true}}
}

func generate(attempt uint32, tokens uint32, route ...*v1.Stage) *v1.GenerateRequest {
	return &v1.GenerateRequest{
		Workspace: "w", RequestId: "r", Attempt: attempt, Model: "m", Version: "v1",
		Prompt: []byte(strings.Repeat("സംഗ്രഹം ", 60)), MaxTokens: tokens, Route: route,
	}
}

func receiveAll(t *testing.T, s *engineer.Stream, err error) ([]string, error) {
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	var tokens []string
	for {
		m, err := s.Receive()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, string(m.Data))
		if m.Last {
			return tokens, nil
		}
	}
}

func TestGenerateReturnsTheExpectedTokens(t *testing.T) {
	fake, e, address := start(t, Config{Name: "a", Holdings: holding(0, 8)})
	req := generate(1, 6, &v1.Stage{Target: "a", Address: address, EndLayer: 8})
	s, err := e.Generate(t.Context(), req)
	tokens, err := receiveAll(t, s, err)
	require.NoError(t, err)
	for i, want := range Answer("m", "v1", "", req.Prompt, 0, 6) {
		require.Equal(t, string(want), tokens[i])
	}
	runs := fake.Ledger().Runs
	require.Len(t, runs, 1)
	require.Equal(t, Run{Workspace: "w", RequestID: "r", Attempt: 1, EndLayer: 8, EndPosition: 6}, runs[0])
}

func TestEngineRefusesInvalidStages(t *testing.T) {
	fake, e, address := start(t, Config{Name: "a", Holdings: holding(0, 8)})
	cases := []struct {
		name  string
		stage *v1.Stage
		code  connect.Code
	}{
		{"other target", &v1.Stage{Target: "b", Address: address, EndLayer: 8}, connect.CodeInvalidArgument},
		{"layers not held", &v1.Stage{Target: "a", Address: address, EndLayer: 9}, connect.CodeFailedPrecondition},
		{"not the first stage", &v1.Stage{Target: "a", Address: address, FirstLayer: 2, EndLayer: 8}, connect.CodeInvalidArgument},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := e.Generate(t.Context(), generate(1, 2, c.stage))
			_, err = receiveAll(t, s, err)
			require.Equal(t, c.code, connect.CodeOf(err))
			require.Equal(t, "a", engineer.FailedTarget(err))
		})
	}
	for _, run := range fake.Ledger().Runs {
		require.Equal(t, run.FirstPosition, run.EndPosition, "nothing ran")
	}
}

func TestForwardChecksEveryActivation(t *testing.T) {
	fake, e, address := start(t, Config{Name: "b", Holdings: holding(4, 8)})
	req := generate(3, 4, &v1.Stage{Target: "a", EndLayer: 4}, &v1.Stage{Target: "b", Address: address, FirstLayer: 4, EndLayer: 8})
	validRequest := func() *v1.ForwardRequest {
		return &v1.ForwardRequest{Start: req, Stage: 1, NextLayer: 4, Activation: activation(req, 0, 4)}
	}
	cases := []struct {
		name   string
		change func(*v1.ForwardRequest)
		reason string
	}{
		{"right", func(*v1.ForwardRequest) {}, ""},
		{"position", func(m *v1.ForwardRequest) { m.Position = 1 }, "wrong-position"},
		{"layer", func(m *v1.ForwardRequest) { m.NextLayer = 5 }, "wrong-layer"},
		{"activation of another request", func(m *v1.ForwardRequest) { m.Activation = []byte("other") }, "foreign-activation"},
		{"no start", func(m *v1.ForwardRequest) { m.Start = nil }, "no-start"},
		{"no such stage", func(m *v1.ForwardRequest) { m.Stage = 2 }, "no-such-stage"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a := e.Forward(ctx)
			m := validRequest()
			c.change(m)
			require.NoError(t, a.Send(m))
			res, err := a.Receive()
			require.Equal(t, c.reason == "", err == nil, "%v", err)
			if err != nil {
				require.Equal(t, 1, fake.Ledger().Refused[c.reason])
				return
			}
			require.Equal(t, Token("m", "v1", "", req.Prompt, 0), res.Data)
		})
	}
}

func TestCancelFencesOlderAttempts(t *testing.T) {
	_, e, address := start(t, Config{Name: "a", Holdings: holding(0, 8)})
	stage := &v1.Stage{Target: "a", Address: address, EndLayer: 8}
	_, err := e.Cancel(t.Context(), &v1.CancelRequest{Workspace: "w", RequestId: "r", Attempt: 4})
	require.NoError(t, err)
	s, err := e.Generate(t.Context(), generate(4, 2, stage))
	_, err = receiveAll(t, s, err)
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))
	s, err = e.Generate(t.Context(), generate(5, 2, stage))
	tokens, err := receiveAll(t, s, err)
	require.NoError(t, err)
	require.Len(t, tokens, 2)
}

func TestResumeAndImport(t *testing.T) {
	_, a, addressA := start(t, Config{Name: "a", Holdings: holding(0, 8)})
	_, b, addressB := start(t, Config{Name: "b", Holdings: holding(0, 8)})
	req := generate(1, 10, &v1.Stage{Target: "a", Address: addressA, EndLayer: 8})
	s, err := a.Generate(t.Context(), req)
	require.NoError(t, err)
	_, err = s.Receive()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s, err = a.Resume(t.Context(), &v1.ResumeRequest{Workspace: "w", RequestId: "r", Attempt: 1, FromPosition: 1})
	tokens, err := receiveAll(t, s, err)
	require.NoError(t, err)
	require.Len(t, tokens, 9)
	s, err = a.Resume(t.Context(), &v1.ResumeRequest{Workspace: "w", RequestId: "r", Attempt: 2})
	_, err = receiveAll(t, s, err)
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(err))

	moved := generate(2, 6, &v1.Stage{Target: "b", Address: addressB, EndLayer: 8})
	moved.StartPosition, moved.KvImported = 4, true
	s, err = b.Generate(t.Context(), moved)
	_, err = receiveAll(t, s, err)
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err), "no cache yet")
	export, err := a.ExportKV(t.Context(), &v1.ExportKVRequest{Workspace: "w", RequestId: "r", Attempt: 1, Position: 4})
	require.NoError(t, err)
	require.Positive(t, export.SizeBytes)
	_, err = b.ImportKV(t.Context(), &v1.ImportKVRequest{
		Workspace: "w", RequestId: "r", Attempt: 2, SourceAddress: addressA, Handle: export.Handle, EndLayer: 8, Position: 4,
	})
	require.NoError(t, err)
	s, err = b.Generate(t.Context(), moved)
	tokens, err = receiveAll(t, s, err)
	require.NoError(t, err)
	require.Len(t, tokens, 6)
}

func TestOrders(t *testing.T) {
	load := func(id string, fencing uint64, first, end uint32) *v1.OrderRequest {
		return &v1.OrderRequest{OrderId: id, Fencing: fencing, Action: v1.Action_ACTION_LOAD, Model: "m", Version: "v2", FirstLayer: first, EndLayer: end}
	}
	cases := []struct {
		name     string
		checks   bool
		order    *v1.OrderRequest
		accepted bool
	}{
		{"newer number", true, load("2", 8, 0, 2), true},
		{"same number", true, load("2", 7, 0, 2), true},
		{"older number, checked", true, load("2", 6, 0, 2), false},
		{"older number, ignored", false, load("2", 6, 0, 2), true},
		{"the same order again", true, load("1", 7, 0, 4), true},
		{"too large", true, load("2", 7, 0, 9), false},
		{"empty range", true, load("2", 7, 3, 3), false},
		{"no action", true, &v1.OrderRequest{OrderId: "2", Fencing: 7}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake, e, _ := start(t, Config{Name: "a", ChecksFencing: c.checks, LayerBytes: 10, MemoryBytes: 100})
			first, err := e.Order(t.Context(), load("1", 7, 0, 4))
			require.NoError(t, err)
			require.True(t, first.Accepted)
			res, err := e.Order(t.Context(), c.order)
			require.NoError(t, err)
			require.Equal(t, c.accepted, res.Accepted, res.Reason)
			require.Equal(t, c.accepted, res.Reason == "")
			require.Equal(t, uint64(7), fake.Ledger().Orders[0].Fencing)
		})
	}
}

func TestWeightsAreReadyAfterThePull(t *testing.T) {
	_, e, _ := start(t, Config{Name: "a", LayerBytes: 1000, PullRate: 20_000})
	_, err := e.Order(t.Context(), &v1.OrderRequest{OrderId: "1", Action: v1.Action_ACTION_LOAD, Model: "m", Version: "v1", EndLayer: 4})
	require.NoError(t, err)
	d, err := e.Describe(t.Context(), &v1.DescribeRequest{})
	require.NoError(t, err)
	require.False(t, d.Holdings[0].Ready)
	require.Eventually(t, func() bool {
		d, err := e.Describe(t.Context(), &v1.DescribeRequest{})
		return err == nil && d.Holdings[0].Ready
	}, 10*time.Second, 10*time.Millisecond)
}

func TestSecondOrderDoesNotShortenThePull(t *testing.T) {
	const pulled = 200 * time.Millisecond
	order := func(id string, action v1.Action) *v1.OrderRequest {
		return &v1.OrderRequest{OrderId: id, Action: action, Model: "m", Version: "v1", EndLayer: 4}
	}
	cases := []struct {
		name string
		// again are the orders given when half of the weights have arrived.
		again []*v1.OrderRequest
		ready time.Duration
	}{
		{"load again", []*v1.OrderRequest{order("2", v1.Action_ACTION_LOAD)}, pulled},
		{"unload and load", []*v1.OrderRequest{order("2", v1.Action_ACTION_UNLOAD), order("3", v1.Action_ACTION_LOAD)}, pulled * 3 / 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Config{Name: "a", LayerBytes: 1000, PullRate: 20_000})
				defer e.Close()
				require.True(t, e.applyOrder(order("1", v1.Action_ACTION_LOAD)).Accepted)
				time.Sleep(pulled / 2)
				for _, o := range c.again {
					require.True(t, e.applyOrder(o).Accepted)
				}
				time.Sleep(c.ready - pulled/2 - time.Millisecond)
				synctest.Wait()
				require.False(t, e.Ledger().Holdings[0].Ready)
				time.Sleep(time.Millisecond)
				synctest.Wait()
				require.True(t, e.Ledger().Holdings[0].Ready)
			})
		})
	}
}

func TestCacheEventsHaveGaps(t *testing.T) {
	_, e, address := start(t, Config{Name: "a", Holdings: holding(0, 8), EventLag: time.Millisecond, EventGap: 2})
	req := generate(1, 1, &v1.Stage{Target: "a", Address: address, EndLayer: 8})
	s, err := e.Generate(t.Context(), req)
	_, err = receiveAll(t, s, err)
	require.NoError(t, err)
	prefixes := engineer.Prefixes("m", "v1", "", req.Prompt)
	require.GreaterOrEqual(t, len(prefixes), 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, err := e.CacheEvents(ctx, &v1.CacheEventsRequest{})
	require.NoError(t, err)
	for _, sequence := range []uint64{1, 3} {
		ev, err := events.Receive()
		require.NoError(t, err)
		require.Equal(t, sequence, ev.Sequence)
		require.Equal(t, prefixes[sequence-1], ev.Prefix)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	fake, e, address := start(t, Config{Name: "a", Holdings: holding(0, 8)})
	post := func(body string) int {
		res, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return res.StatusCode
	}
	require.Equal(t, http.StatusBadRequest, post(`[{"kind":"explode"}]`))
	require.Equal(t, http.StatusBadRequest, post(`[{"kind":"die","times":-1}]`))
	require.Equal(t, http.StatusBadRequest, post(`[{"kind":"die","often":1}]`))
	require.Equal(t, http.StatusNoContent, post(`[{"kind":"delay","delay":"20ms"},{"kind":"die"}]`))
	_, err := e.Load(t.Context(), &v1.LoadRequest{})
	require.Error(t, err)
	require.Equal(t, http.StatusNoContent, post(`[]`))
	_, err = e.Load(t.Context(), &v1.LoadRequest{})
	require.NoError(t, err)
	res, err := http.Get("http://" + address + "/ledger")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var l Ledger
	require.NoError(t, json.NewDecoder(res.Body).Decode(&l))
	require.Equal(t, fake.Ledger().Target, l.Target)
	http.DefaultClient.CloseIdleConnections()
}

func TestOrderAnswerDropped(t *testing.T) {
	fake, e, _ := start(t, Config{Name: "a"})
	require.NoError(t, fake.SetFaults(Fault{Kind: FaultDropAnswer, RPC: "Order", Times: 1}))
	order := &v1.OrderRequest{OrderId: "1", Action: v1.Action_ACTION_LOAD, Model: "m", Version: "v1", EndLayer: 4}
	_, err := e.Order(t.Context(), order)
	require.Error(t, err)
	res, err := e.Order(t.Context(), order)
	require.NoError(t, err)
	require.True(t, res.Accepted)
	require.Len(t, fake.Ledger().Orders, 1, "the order took effect once")
}
