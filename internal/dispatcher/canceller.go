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
	// cancelLife is how long a Cancel is tried; an engine has dropped what nobody follows by then.
	cancelLife = 30 * time.Second
	// maxCancels bounds the Cancels that wait for one engine; the oldest give way.
	maxCancels = 1024
	// firstCancelPause doubles with each failed try up to maxCancelPause.
	firstCancelPause = 100 * time.Millisecond
	maxCancelPause   = 800 * time.Millisecond
)

// canceller sends Cancels to engines and repeats them until they are answered.
//
// What was sent to an engine that is cut off arrives once the network is back, and the engine then runs attempts that
// nobody waits for. One goroutine per engine with Cancels waiting tries them in order, so that an engine which does not
// answer is asked one at a time.
type canceller struct {
	clock   timer.Clock
	send    func(ctx context.Context, address string, req *enginev1.CancelRequest) error
	dropped func()
	life    context.Context
	end     context.CancelFunc

	mu     sync.Mutex
	queues map[string][]pendingCancel
	work   spawner.Group
}

type pendingCancel struct {
	req   *enginev1.CancelRequest
	until time.Time
}

func newCanceller(clock timer.Clock) *canceller {
	life, end := context.WithCancel(context.Background())
	return &canceller{clock: clock, life: life, end: end, queues: make(map[string][]pendingCancel)}
}

// cancel queues a Cancel for the engine at an address; a closed canceller drops it.
func (c *canceller) cancel(address string, req *enginev1.CancelRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, running := c.queues[address]
	if len(queue) >= maxCancels {
		queue = queue[1:]
		c.dropped()
	}
	c.queues[address] = append(queue, pendingCancel{req: req, until: c.clock.Now().Add(cancelLife)})
	if running || c.work.Go(func() { c.sendAll(address) }) {
		return
	}
	c.dropped()
	delete(c.queues, address)
}

// sendAll sends the Cancels of one engine until none is left.
func (c *canceller) sendAll(address string) {
	pause := firstCancelPause
	for {
		next, ok := c.first(address)
		if !ok {
			return
		}
		if c.send(context.Background(), address, next.req) == nil {
			pause = firstCancelPause
			c.remove(address, next)
			continue
		}
		if c.life.Err() != nil {
			c.abandon(address)
			return
		}
		if !c.clock.Now().Before(next.until) {
			c.dropped()
			c.remove(address, next)
			continue
		}
		_ = c.clock.Sleep(c.life, pause)
		pause = min(2*pause, maxCancelPause)
	}
}

// first returns the oldest Cancel of an engine; where there is none, the engine's worker ends.
func (c *canceller) first(address string) (pendingCancel, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[address]
	if len(queue) == 0 {
		delete(c.queues, address)
		return pendingCancel{}, false
	}
	return queue[0], true
}

// remove takes a Cancel off the queue, unless an overflow has done so.
func (c *canceller) remove(address string, p pendingCancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if queue := c.queues[address]; len(queue) > 0 && queue[0].req == p.req {
		c.queues[address] = queue[1:]
	}
}

// abandon drops the Cancels of an engine that does not answer.
func (c *canceller) abandon(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.queues[address] {
		c.dropped()
	}
	delete(c.queues, address)
}

// close sends what waits to the engines that answer and returns when no worker is left.
func (c *canceller) close() {
	c.end()
	c.work.Close()
}

// sendCancel returns nil where the engine has answered, whatever it said.
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
