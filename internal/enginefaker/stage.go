package enginefaker

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
	commonv1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

// minSleep is the shortest wait that is slept; shorter ones only add to the accelerator's or link's busy time.
const minSleep = 200 * time.Microsecond

// stage runs this engine's layers of one attempt, token by token.
type stage struct {
	e          *Engine
	req        *v1.GenerateRequest
	index      int
	key        requestKey
	run        *Run
	downstream *engineer.Activations
	started    bool
	tokens     int
}

// newStage checks that the engine may run the stage at an index of the route and returns it.
func (e *Engine) newStage(req *v1.GenerateRequest, index int) (*stage, error) {
	if index < 0 || index >= len(req.Route) {
		return nil, e.refusalError(connect.CodeInvalidArgument, "no-such-stage", "stage %d of %d", index, len(req.Route))
	}
	s := req.Route[index]
	if s.Target != e.cfg.Name {
		return nil, e.refusalError(connect.CodeInvalidArgument, "wrong-target", "the stage is for %s, this is %s", s.Target, e.cfg.Name)
	}
	if !e.holds(req, s.FirstLayer, s.EndLayer) {
		return nil, e.refusalError(connect.CodeFailedPrecondition, "not-held", "%s does not hold [%d,%d) of %s %s %s",
			e.cfg.Name, s.FirstLayer, s.EndLayer, req.Model, req.Version, req.Adapter)
	}
	key := requestKey{req.Workspace, req.RequestId}
	if !e.admitAttempt(key, req.Attempt) {
		return nil, e.refusalError(connect.CodeAborted, "fenced", "attempt %d is fenced", req.Attempt)
	}
	if req.KvImported && !e.hasKV(key, s.FirstLayer, s.EndLayer, req.StartPosition) {
		return nil, e.refusalError(connect.CodeFailedPrecondition, "no-kv", "no KV cache of [%d,%d) at position %d",
			s.FirstLayer, s.EndLayer, req.StartPosition)
	}
	run := Run{
		Workspace: req.Workspace, RequestID: req.RequestId, Attempt: req.Attempt,
		FirstLayer: s.FirstLayer, EndLayer: s.EndLayer,
		FirstPosition: req.StartPosition, EndPosition: req.StartPosition,
	}
	return &stage{e: e, req: req, index: index, key: key, run: e.ledger.beginRun(run)}, nil
}

func (s *stage) last() bool { return s.index == len(s.req.Route)-1 }

// step runs one token through this stage and those after it.
func (s *stage) step(ctx context.Context, position uint64, previous *commonv1.Receipt, transfer *durationpb.Duration) (*v1.ForwardResponse, error) {
	if s.e.isFenced(s.key, s.req.Attempt) {
		return nil, s.e.refusalError(connect.CodeAborted, "fenced", "attempt %d is fenced", s.req.Attempt)
	}
	if s.e.cfg.CutOnUnload && !s.e.holds(s.req, s.run.FirstLayer, s.run.EndLayer) {
		return nil, s.e.failureError(connect.CodeUnavailable, "the layers were unloaded")
	}
	begin := s.e.cfg.Clock.Now()
	if err := s.applyFaults(ctx); err != nil {
		return nil, err
	}
	if err := s.compute(ctx); err != nil {
		return nil, err
	}
	if s.tokens == 0 {
		s.e.cache.insert(s.req)
	}
	s.tokens++
	s.e.ledger.extendRun(s.run, position)
	s.e.keepKV(s, position+1)
	receipt := s.extendReceipt(previous, s.e.cfg.Clock.Now().Sub(begin), transfer)
	if s.last() {
		return &v1.ForwardResponse{
			Position: position,
			Data:     Token(s.req.Model, s.req.Version, s.req.Adapter, s.req.Prompt, position),
			Last:     position+1 >= s.req.StartPosition+uint64(s.req.MaxTokens),
			Receipt:  receipt,
		}, nil
	}
	return s.forwardToNext(ctx, position, receipt)
}

// applyFaults applies the faults that come before a token is run.
func (s *stage) applyFaults(ctx context.Context) error {
	if f, ok := s.e.faults.trigger(FaultDelay, "", s.tokens); ok {
		if err := s.e.cfg.Clock.Sleep(ctx, time.Duration(f.Delay)); err != nil {
			return err
		}
	}
	if _, ok := s.e.faults.trigger(FaultStall, "", s.tokens); ok {
		<-ctx.Done()
		return ctx.Err()
	}
	if _, ok := s.e.faults.trigger(FaultBreak, "", s.tokens); ok {
		return s.e.failureError(connect.CodeUnavailable, "stream broken by fault")
	}
	return nil
}

// compute waits until the accelerator has run the layers of this token.
func (s *stage) compute(ctx context.Context) error {
	layers := float64(s.run.EndLayer - s.run.FirstLayer)
	cost := durationOf(layers, s.e.cfg.DecodeRate)
	if !s.started && !s.req.KvImported {
		cost += durationOf(layers*float64(s.e.prefillTokens(s.req)), s.e.cfg.PrefillRate)
	}
	s.started = true
	return s.e.useAccelerator(ctx, cost)
}

// useAccelerator waits until the accelerator has worked for d, after all the work accepted earlier.
func (e *Engine) useAccelerator(ctx context.Context, d time.Duration) error {
	e.mu.Lock()
	now := e.cfg.Clock.Now()
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(d)
	end := e.busyUntil
	e.load.tokens++
	e.mu.Unlock()
	wait := end.Sub(now)
	if wait < minSleep {
		return ctx.Err()
	}
	e.addWaiting(1)
	defer e.addWaiting(-1)
	return e.cfg.Clock.Sleep(ctx, wait)
}

func (e *Engine) addWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.waiting += n
}

func (e *Engine) prefillTokens(req *v1.GenerateRequest) int {
	cached := e.cache.lookup(req)
	return max(engineer.PromptTokens(len(req.Prompt))-cached, 0) + len(req.Delivered)
}

func durationOf(work, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(work / rate * float64(time.Second))
}

// extendReceipt returns the receipt of the previous stages with this stage added.
func (s *stage) extendReceipt(previous *commonv1.Receipt, took time.Duration, transfer *durationpb.Duration) *commonv1.Receipt {
	r := &commonv1.Receipt{Version: s.req.Version}
	if previous != nil {
		r.Stages = append(r.Stages, previous.Stages...)
		r.Version = previous.Version
	}
	if _, ok := s.e.faults.trigger(FaultWrongVersion, "", s.tokens-1); ok {
		r.Version += "-other"
	}
	run := &commonv1.StageRun{
		Target: s.e.cfg.Name, FirstLayer: s.run.FirstLayer, EndLayer: s.run.EndLayer,
		Duration: durationpb.New(took), Transfer: transfer,
	}
	if _, ok := s.e.faults.trigger(FaultSkipLayer, "", s.tokens-1); ok {
		run.FirstLayer++
	}
	if _, ok := s.e.faults.trigger(FaultDuplicateLayer, "", s.tokens-1); ok {
		first := &commonv1.StageRun{Target: s.e.cfg.Name, FirstLayer: run.FirstLayer, EndLayer: run.FirstLayer + 1}
		r.Stages = append(r.Stages, first)
	}
	r.Stages = append(r.Stages, run)
	return r
}

// forwardToNext sends the activation to the next stage and waits for the token.
func (s *stage) forwardToNext(ctx context.Context, position uint64, receipt *commonv1.Receipt) (*v1.ForwardResponse, error) {
	next := s.req.Route[s.index+1]
	transfer, err := s.e.transfer(ctx, next.Address, s.activationBytes())
	if err != nil {
		return nil, err
	}
	msg := &v1.ForwardRequest{
		Stage: uint32(s.index + 1), Position: position, NextLayer: next.FirstLayer, Receipt: receipt,
		Activation: activation(s.req, position, next.FirstLayer), Transfer: durationpb.New(transfer),
	}
	if s.downstream == nil {
		s.downstream = s.e.pool.Get(next.Address).Forward(ctx)
		msg.Start = s.req
	}
	if err := s.downstream.Send(msg); err != nil && !errors.Is(err, io.EOF) {
		return nil, engineer.WithFailedTarget(err, next.Target)
	}
	res, err := s.downstream.Receive()
	if err != nil {
		return nil, engineer.WithFailedTarget(err, next.Target)
	}
	if res.Position != position {
		return nil, s.e.refusalError(connect.CodeDataLoss, "crossed-token", "token %d instead of %d", res.Position, position)
	}
	return res, nil
}

func (s *stage) activationBytes() float64 {
	tokens := 1
	if s.tokens == 1 && !s.req.KvImported {
		tokens += engineer.PromptTokens(len(s.req.Prompt)) + len(s.req.Delivered)
	}
	return float64(tokens) * float64(s.e.cfg.ActivationBytes)
}

// transfer waits until the link to an address has carried a number of bytes and returns how long that took.
func (e *Engine) transfer(ctx context.Context, address string, bytes float64) (time.Duration, error) {
	link, limited := e.cfg.Links[address]
	slow, slowed := e.faults.trigger(FaultSlowLink, address, 0)
	if !limited && !slowed {
		return 0, ctx.Err()
	}
	e.mu.Lock()
	now := e.cfg.Clock.Now()
	start := e.linkBusyUntil[address]
	if start.Before(now) {
		start = now
	}
	end := start.Add(durationOf(bytes, link.Bandwidth) + time.Duration(slow.Delay))
	e.linkBusyUntil[address] = end
	e.mu.Unlock()
	wait := end.Add(link.Latency).Sub(now)
	if wait >= minSleep {
		return wait, e.cfg.Clock.Sleep(ctx, wait)
	}
	return wait, ctx.Err()
}

func (s *stage) close() {
	if s.downstream != nil {
		_ = s.downstream.Close()
	}
}

// activation returns a placeholder that identifies the request, attempt, position and layer of an activation.
func activation(req *v1.GenerateRequest, position uint64, layer uint32) []byte {
	d := xxhash.New()
	_, _ = d.WriteString(req.Workspace + "\x00" + req.RequestId)
	sum := d.Sum64() ^ uint64(req.Attempt)<<48 ^ position<<16 ^ uint64(layer)
	return []byte{byte(sum >> 56), byte(sum >> 48), byte(sum >> 40), byte(sum >> 32), byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}
}

func (e *Engine) forward(ctx context.Context, bidi *connect.BidiStream[v1.ForwardRequest, v1.ForwardResponse]) error {
	first, err := bidi.Receive()
	if err != nil {
		return err
	}
	if first.Start == nil {
		return e.refusalError(connect.CodeInvalidArgument, "no-start", "the first activation has no request")
	}
	s, err := e.newStage(first.Start, int(first.Stage))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.close()
	defer cancel()
	e.addRunning(1)
	defer e.addRunning(-1)
	next := s.req.StartPosition
	for msg := first; ; next++ {
		if err := s.check(msg, next); err != nil {
			return err
		}
		res, err := s.step(ctx, msg.Position, msg.Receipt, msg.Transfer)
		if err != nil {
			return err
		}
		if err := bidi.Send(res); err != nil {
			return err
		}
		msg, err = bidi.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// check returns an error unless an activation is the one that this stage must run next.
func (s *stage) check(msg *v1.ForwardRequest, next uint64) error {
	first := s.req.Route[s.index].FirstLayer
	switch {
	case msg.Position != next:
		return s.e.refusalError(connect.CodeDataLoss, "wrong-position", "position %d instead of %d", msg.Position, next)
	case msg.NextLayer != first:
		return s.e.refusalError(connect.CodeDataLoss, "wrong-layer", "layer %d instead of %d", msg.NextLayer, first)
	case string(msg.Activation) != string(activation(s.req, next, first)):
		return s.e.refusalError(connect.CodeDataLoss, "foreign-activation", "the activation is of another request")
	}
	return nil
}
