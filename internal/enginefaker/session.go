package enginefaker

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattantray/rattantray/internal/engineer"
	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

// session is an attempt whose first stage is this engine. It outlives its last follower by KeepFor.
type session struct {
	e       *Engine
	key     requestKey
	attempt uint32
	start   uint64
	cancel  context.CancelFunc

	mu         sync.Mutex
	tokens     []*v1.GenerateResponse
	err        error
	done       bool
	changed    chan struct{}
	followers  int
	stopExpiry func() bool
}

func (e *Engine) startSession(req *v1.GenerateRequest) (*session, error) {
	s, err := e.newStage(req, 0)
	if err != nil {
		return nil, err
	}
	if req.Route[0].FirstLayer != 0 {
		return nil, e.refusalError(connect.CodeInvalidArgument, "not-head", "the route starts at layer %d", req.Route[0].FirstLayer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lifetime.Err() != nil {
		return nil, e.failureError(connect.CodeUnavailable, "the engine is stopping")
	}
	ctx, cancel := context.WithCancel(e.lifetime)
	if req.Timeout != nil {
		ctx, cancel = context.WithTimeout(e.lifetime, req.Timeout.AsDuration())
	}
	n := &session{e: e, key: s.key, attempt: req.Attempt, start: req.StartPosition, cancel: cancel, changed: make(chan struct{})}
	if old := e.sessions[s.key]; old != nil {
		old.cancel()
	}
	e.sessions[s.key] = n
	e.goroutines.Go(func() { n.run(ctx, s) })
	return n, nil
}

func (n *session) run(ctx context.Context, s *stage) {
	defer n.cancel()
	defer s.close()
	n.e.addRunning(1)
	defer n.e.addRunning(-1)
	end := n.start + uint64(s.req.MaxTokens)
	for p := n.start; p < end; p++ {
		res, err := s.step(ctx, p, nil, nil)
		if err != nil {
			n.finish(err)
			return
		}
		n.appendToken(&v1.GenerateResponse{
			RequestId: s.req.RequestId, Attempt: s.req.Attempt, Position: res.Position,
			Data: res.Data, Last: res.Last, Receipt: res.Receipt,
		})
		if res.Last {
			break
		}
	}
	n.finish(nil)
}

func (n *session) appendToken(r *v1.GenerateResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tokens = append(n.tokens, r)
	n.wakeFollowers()
}

func (n *session) finish(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.done = true
	n.err = err
	n.wakeFollowers()
}

func (n *session) wakeFollowers() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// next waits for the token at a position. It returns true and the error, if any, when the session or ctx has ended.
func (n *session) next(ctx context.Context, position uint64) (*v1.GenerateResponse, bool, error) {
	for {
		n.mu.Lock()
		i := position - n.start
		if i < uint64(len(n.tokens)) {
			r := n.tokens[i]
			n.mu.Unlock()
			return r, false, nil
		}
		done, err, changed := n.done, n.err, n.changed
		n.mu.Unlock()
		if done {
			return nil, true, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}
}

// follow sends the tokens from a position on to the caller and applies the faults of the stream.
func (n *session) follow(ctx context.Context, from uint64, send func(*v1.GenerateResponse) error) error {
	n.addFollower()
	defer n.removeFollower()
	sent := 0
	for p := from; ; p++ {
		r, done, err := n.next(ctx, p)
		if err != nil {
			return engineer.WithFailedTarget(err, n.e.cfg.Name)
		}
		if done {
			return nil
		}
		for _, m := range n.e.applyStreamFaults(r, sent) {
			if err := send(m); err != nil {
				return err
			}
		}
		sent++
		if r.Last {
			return nil
		}
	}
}

func (n *session) addFollower() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followers++
	if n.stopExpiry != nil {
		n.stopExpiry()
		n.stopExpiry = nil
	}
}

// removeFollower drops the session KeepFor after its last follower has left.
func (n *session) removeFollower() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followers--
	if n.followers > 0 {
		return
	}
	n.stopExpiry = n.e.cfg.Clock.AfterFunc(n.e.cfg.KeepFor, func() { n.e.dropSession(n) })
}

func (e *Engine) dropSession(n *session) {
	n.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[n.key] == n {
		delete(e.sessions, n.key)
		delete(e.kv, n.key)
	}
}

// applyStreamFaults returns the responses to send for r; they differ from r only while a fault is active.
func (e *Engine) applyStreamFaults(r *v1.GenerateResponse, sent int) []*v1.GenerateResponse {
	if _, ok := e.faults.trigger(FaultSkipPosition, "", sent); ok {
		return nil
	}
	if _, ok := e.faults.trigger(FaultRepeatPosition, "", sent); ok {
		return []*v1.GenerateResponse{r, r}
	}
	if _, ok := e.faults.trigger(FaultForeignRequest, "", sent); ok {
		return []*v1.GenerateResponse{{
			RequestId: r.RequestId + "-other", Attempt: r.Attempt, Position: r.Position,
			Data: []byte("foreign "), Receipt: r.Receipt,
		}, r}
	}
	if _, ok := e.faults.trigger(FaultOldAttempt, "", sent); ok {
		return []*v1.GenerateResponse{{
			RequestId: r.RequestId, Attempt: r.Attempt - 1, Position: r.Position,
			Data: []byte("old "), Receipt: r.Receipt,
		}, r}
	}
	return []*v1.GenerateResponse{r}
}

func (e *Engine) failureError(code connect.Code, format string, args ...any) error {
	return engineer.WithFailedTarget(connect.NewError(code, errorf(format, args...)), e.cfg.Name)
}

// loadState holds the current load and the last load report.
type loadState struct {
	running int
	// waiting counts the tokens that wait for the accelerator.
	waiting        int
	tokens         uint64
	report         *v1.LoadResponse
	reportedAt     time.Time
	reportedTokens uint64
}
