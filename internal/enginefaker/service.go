package enginefaker

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

func errorf(format string, args ...any) error { return errors.Newf(format, args...) }

// service adapts an Engine to the generated handler interface.
type service struct{ e *Engine }

// Generate implements the engine API.
func (s service) Generate(ctx context.Context, req *connect.Request[v1.GenerateRequest], out *connect.ServerStream[v1.GenerateResponse]) error {
	if _, ok := s.e.faults.trigger(FaultRefuse, "Generate", 0); ok {
		return s.e.refusalError(connect.CodeResourceExhausted, "fault", "refused by fault")
	}
	if s.e.isLeaving() && !req.Msg.KvImported {
		return s.e.refusalError(connect.CodeResourceExhausted, "leaving", "the engine is leaving")
	}
	n, err := s.e.startSession(req.Msg)
	if err != nil {
		return err
	}
	if err := s.e.abortIfDropped("Generate"); err != nil {
		return err
	}
	return n.follow(ctx, req.Msg.StartPosition, out.Send)
}

// Resume implements the engine API.
func (s service) Resume(ctx context.Context, req *connect.Request[v1.ResumeRequest], out *connect.ServerStream[v1.GenerateResponse]) error {
	key := requestKey{req.Msg.Workspace, req.Msg.RequestId}
	s.e.mu.Lock()
	n := s.e.sessions[key]
	s.e.mu.Unlock()
	if n == nil || n.attempt != req.Msg.Attempt || req.Msg.FromPosition < n.start {
		return s.e.failureError(connect.CodeNotFound, "the stream is not held")
	}
	return n.follow(ctx, req.Msg.FromPosition, out.Send)
}

// Cancel implements the engine API.
func (s service) Cancel(_ context.Context, req *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelResponse], error) {
	key := requestKey{req.Msg.Workspace, req.Msg.RequestId}
	s.e.mu.Lock()
	s.e.raiseFence(key, req.Msg.Attempt+1)
	n := s.e.sessions[key]
	if n != nil && n.attempt <= req.Msg.Attempt {
		n.cancel()
		delete(s.e.sessions, key)
	}
	s.e.mu.Unlock()
	s.e.ledger.recordCancel(Run{Workspace: key.workspace, RequestID: key.request, Attempt: req.Msg.Attempt})
	return connect.NewResponse(&v1.CancelResponse{Found: n != nil}), s.e.abortIfDropped("Cancel")
}

// ExportKV implements the engine API.
func (s service) ExportKV(_ context.Context, req *connect.Request[v1.ExportKVRequest]) (*connect.Response[v1.ExportKVResponse], error) {
	res, err := s.e.exportKV(req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), s.e.abortIfDropped("ExportKV")
}

// ImportKV implements the engine API.
func (s service) ImportKV(ctx context.Context, req *connect.Request[v1.ImportKVRequest]) (*connect.Response[v1.ImportKVResponse], error) {
	res, err := s.e.importKV(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(res), s.e.abortIfDropped("ImportKV")
}

// Load implements the engine API.
func (s service) Load(context.Context, *connect.Request[v1.LoadRequest]) (*connect.Response[v1.LoadResponse], error) {
	return connect.NewResponse(s.e.loadReport()), s.e.abortIfDropped("Load")
}

// CacheEvents implements the engine API.
func (s service) CacheEvents(ctx context.Context, req *connect.Request[v1.CacheEventsRequest], out *connect.ServerStream[v1.CacheEventsResponse]) error {
	return s.e.cache.stream(ctx, req.Msg.FromSequence, out.Send)
}

// Order implements the engine API.
func (s service) Order(_ context.Context, req *connect.Request[v1.OrderRequest]) (*connect.Response[v1.OrderResponse], error) {
	if _, ok := s.e.faults.trigger(FaultRefuse, "Order", 0); ok {
		return nil, s.e.refusalError(connect.CodeResourceExhausted, "fault", "refused by fault")
	}
	res := s.e.applyOrder(req.Msg)
	return connect.NewResponse(res), s.e.abortIfDropped("Order")
}

// Describe implements the engine API.
func (s service) Describe(context.Context, *connect.Request[v1.DescribeRequest]) (*connect.Response[v1.DescribeResponse], error) {
	e := s.e
	e.mu.Lock()
	defer e.mu.Unlock()
	res := &v1.DescribeResponse{
		Target: e.cfg.Name, Kind: e.cfg.Kind, MemoryBytes: e.cfg.MemoryBytes, Role: e.role,
		ChecksFencing: e.cfg.ChecksFencing, Fencing: e.fencing,
		PrefillRate: e.cfg.PrefillRate, DecodeRate: e.cfg.DecodeRate, Leaving: e.leaving,
	}
	for _, h := range e.holdings {
		res.Holdings = append(res.Holdings, &v1.Holding{
			Model: h.Model, Version: h.Version, FirstLayer: h.FirstLayer, EndLayer: h.EndLayer,
			Adapters: h.Adapters, Ready: h.Ready,
		})
	}
	return connect.NewResponse(res), nil
}

// Forward implements the engine API.
func (s service) Forward(ctx context.Context, bidi *connect.BidiStream[v1.ForwardRequest, v1.ForwardResponse]) error {
	if err := s.e.forward(ctx, bidi); err != nil {
		return s.e.nameFailure(ctx, err)
	}
	return nil
}

// abortIfDropped aborts a call after its effect while FaultDropAnswer is active.
func (e *Engine) abortIfDropped(rpc string) error {
	if _, ok := e.faults.trigger(FaultDropAnswer, rpc, 0); ok {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// nameFailure returns err with this target as the failed one, for the previous stage. A caller that disconnected is not a
// failure of this stage.
func (e *Engine) nameFailure(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return connect.NewError(connect.CodeCanceled, err)
	}
	return engineer.WithFailedTarget(err, e.cfg.Name)
}

func (e *Engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.running += n
}

// loadReport returns a load report that is at most LoadLag old.
func (e *Engine) loadReport() *v1.LoadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.cfg.Clock.Now()
	age := now.Sub(e.load.reportedAt)
	if e.load.report == nil || age >= e.cfg.LoadLag {
		e.refreshLoad(now, age)
		age = 0
	}
	r := e.load.report
	return &v1.LoadResponse{
		Age: durationpb.New(age), Running: r.Running, Waiting: r.Waiting,
		KvUsedBytes: r.KvUsedBytes, KvTotalBytes: r.KvTotalBytes, TokenRate: r.TokenRate, Leaving: e.leaving,
	}
}

// refreshLoad renews the load report. The caller holds e.mu.
func (e *Engine) refreshLoad(now time.Time, age time.Duration) {
	r := &v1.LoadResponse{Running: uint32(max(e.load.running, 0)), Waiting: uint32(max(e.load.waiting, 0))}
	if e.load.report != nil && age > 0 {
		r.TokenRate = float64(e.load.tokens-e.load.reportedTokens) / age.Seconds()
	}
	for _, k := range e.kv {
		r.KvUsedBytes += k.size(e.cfg)
	}
	if held := e.heldBytes(); e.cfg.MemoryBytes > held {
		r.KvTotalBytes = e.cfg.MemoryBytes - held
	}
	e.load.report, e.load.reportedAt, e.load.reportedTokens = r, now, e.load.tokens
}
