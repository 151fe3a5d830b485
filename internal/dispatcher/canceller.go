package dispatcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattantray/rattantray/internal/engineer"
	"github.com/rattantray/rattantray/internal/spawner"
	"github.com/rattantray/rattantray/internal/timer"
	enginev1 "github.com/rattantray/rattantray/pkg/api/rattantray/engine/v1"
)

const (
	// cancelRetryTime is how long a Cancel is retried; by then an engine has dropped the streams that nobody reads.
	cancelRetryTime = 30 * time.Second
	// maxPendingCancels limits the pending Cancels of one engine; the oldest are dropped.
	maxPendingCancels = 1024
	// initialCancelBackoff doubles with each failed call up to maxCancelBackoff.
	initialCancelBackoff = 100 * time.Millisecond
	maxCancelBackoff     = 800 * time.Millisecond
)

// canceller sends Cancels to engines and repeats them until they are answered.
//
// Requests sent to an engine that is cut off arrive once the network has recovered, and the engine then runs attempts
// that nobody waits for. Each engine with pending Cancels has one goroutine that sends them in order, so that an engine
// that does not answer gets one call at a time.
type canceller struct {
	clock  timer.Clock
	send   func(ctx context.Context, address string, req *enginev1.CancelRequest) error
	onDrop func()
	ctx    context.Context
	stop   context.CancelFunc

	mu      sync.Mutex
	queues  map[string][]pendingCancel
	workers spawner.Group
}

type pendingCancel struct {
	req      *enginev1.CancelRequest
	deadline time.Time
}

func newCanceller(clock timer.Clock) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	return &canceller{clock: clock, ctx: ctx, stop: stop, queues: make(map[string][]pendingCancel)}
}

// enqueue queues a Cancel for the engine at an address; a closed canceller drops it.
func (c *canceller) enqueue(address string, req *enginev1.CancelRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, running := c.queues[address]
	if len(queue) >= maxPendingCancels {
		queue = queue[1:]
		c.onDrop()
	}
	c.queues[address] = append(queue, pendingCancel{req: req, deadline: c.clock.Now().Add(cancelRetryTime)})
	if running || c.workers.Go(func() { c.sendAll(address) }) {
		return
	}
	c.onDrop()
	delete(c.queues, address)
}

// sendAll sends the Cancels of one engine until none is left.
func (c *canceller) sendAll(address string) {
	backoff := initialCancelBackoff
	for {
		next, ok := c.oldest(address)
		if !ok {
			return
		}
		if c.send(context.Background(), address, next.req) == nil {
			backoff = initialCancelBackoff
			c.remove(address, next)
			continue
		}
		if c.ctx.Err() != nil {
			c.dropAll(address)
			return
		}
		if !c.clock.Now().Before(next.deadline) {
			c.onDrop()
			c.remove(address, next)
			continue
		}
		_ = c.clock.Sleep(c.ctx, backoff)
		backoff = min(2*backoff, maxCancelBackoff)
	}
}

// oldest returns the oldest Cancel of an engine. If there is none, it removes the queue, and the engine's worker must end.
func (c *canceller) oldest(address string) (pendingCancel, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[address]
	if len(queue) == 0 {
		delete(c.queues, address)
		return pendingCancel{}, false
	}
	return queue[0], true
}

// remove removes a Cancel from the front of the queue, unless an overflow has already dropped it.
func (c *canceller) remove(address string, p pendingCancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if queue := c.queues[address]; len(queue) > 0 && queue[0].req == p.req {
		c.queues[address] = queue[1:]
	}
}

// dropAll drops the pending Cancels of an engine that does not answer.
func (c *canceller) dropAll(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.queues[address] {
		c.onDrop()
	}
	delete(c.queues, address)
}

// close sends the pending Cancels to the engines that answer, drops the others and returns when all workers have ended.
func (c *canceller) close() {
	c.stop()
	c.workers.Close()
}

// sendCancel sends a Cancel and returns nil if the engine has answered, even with an error.
func sendCancel(ctx context.Context, engine *engineer.Engine, wait time.Duration, req *enginev1.CancelRequest) error {
	ctx, stop := context.WithTimeout(ctx, wait)
	defer stop()
	_, err := engine.Cancel(ctx, req)
	if err == nil {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled, connect.CodeUnknown, connect.CodeInternal:
		return err
	}
	return nil
}
