package relayer

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
)

// handoverRetryInterval is the minimum time between two attempts to hand a stream over, within which targets without room may get some.
const handoverRetryInterval = 500 * time.Millisecond

// leg is one send of a generation over one path.
type leg struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	first  cataloger.Target
	path   []cataloger.Stage
	sentAt time.Time
	call   Call
	// number counts the sends of the generation.
	number int
	// release returns the memory that is reserved on the stages.
	release func()
	// done is closed once reply or err is set.
	done  chan struct{}
	reply *Reply
	err   error
}

// open prepares a send over a path, or returns nil if its first target is gone. It continues after the event with the given id.
func (g *generation) open(ctx context.Context, path []cataloger.Stage, after string, number int) *leg {
	r := g.relayer
	first, ok := r.Targets.Get(path[0].Target)
	if !ok {
		return nil
	}
	now, demand := r.Clock.Now(), g.request.demand()
	l := &leg{first: first.Target, path: path, sentAt: now, number: number, release: r.Targets.Reserve(path, demand.Tokens), done: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.call = Call{Request: g.request, Target: first.Target, Path: path, Remaining: g.request.Deadline.Sub(now), ResumeAfter: after}
	if r.servesWholeModel(g.request) {
		l.call.Path = nil
	}
	r.Chooser.RecordCrossings(demand, nil, path)
	return l
}

// exchange sends the request over a leg and waits for the head of its answer.
func (r *Relayer) exchange(l *leg) {
	defer close(l.done)
	r.logSent(l.call, l.number)
	l.reply, l.err = r.Backend.Send(l.ctx, l.call)
}

// accepted reports whether a target has begun to answer.
func (l *leg) accepted() bool { return l.err == nil && !l.reply.NotRun && l.reply.IsSignedSuccess() }

// abort ends a leg that was not sent, or whose answer is not needed.
func (l *leg) abort() {
	l.cancel(nil)
	l.release()
}

// takeSuccessor returns the send that takes over from the one that has ended, or nil.
func (g *generation) takeSuccessor() *leg {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.successor
	g.successor = nil
	return l
}

// dropSuccessor ends the send that was to take over, as the answer is complete or has failed.
func (g *generation) dropSuccessor() {
	l := g.takeSuccessor()
	if l == nil {
		return
	}
	l.abort()
	go func() {
		<-l.done
		if l.reply != nil {
			_ = l.reply.Body.Close()
		}
	}()
}

// mayHandOver reports whether the stream may be handed over now, and takes the send out of the budget.
func (g *generation) mayHandOver() bool {
	g.mu.Lock()
	early := g.relayer.Clock.Now().Before(g.handOverAt)
	g.mu.Unlock()
	return !early && g.movable() && g.prepayRetry()
}

// move hands a stream over if it may be sent again. The generation must be marked as repairing.
func (r *Relayer) move(g *generation, why string) {
	if !g.mayHandOver() {
		g.endRepair(nil)
		return
	}
	go r.handOver(g, why)
}

// handOver sends the request over another pipeline and ends the current send once a target there has begun to answer: until then, the
// stream may still be served where it is. The send must be taken out of the budget, and the generation be marked as repairing.
func (r *Relayer) handOver(g *generation, why string) {
	cause := errors.Wrap(errMoved, why)
	g.mu.Lock()
	current, after := g.current, g.lastEvent
	g.mu.Unlock()
	if current == nil {
		return
	}
	if _, ok := parseNumber(after); after != "" && !ok {
		// Events that both sends deliver could not be told apart.
		current.cancel(cause)
		return
	}
	l := g.openSuccessor(current, after)
	if l == nil {
		g.endHandOver()
		return
	}
	r.exchange(l)
	switch {
	case !g.owns(l):
		// The current send has ended, and the generation continues with l.
	case l.accepted():
		current.cancel(cause)
	default:
		g.rejectSuccessor(l)
		g.endHandOver()
	}
}

// openSuccessor prepares the send that is to take over from the current one, or returns nil if it has ended or there is no path.
func (g *generation) openSuccessor(current *leg, after string) *leg {
	r, demand := g.relayer, g.request.demand()
	g.mu.Lock()
	avoid, number := maps.Clone(g.avoid), g.sends+2
	g.mu.Unlock()
	avoid[current.first.Name] = true
	demand.Precedence.Begun = true
	path, ok := r.Chooser.Path(demand, avoid)
	if !ok {
		// Targets that refused it may have room by now.
		path, ok = r.Chooser.Path(demand, map[string]bool{current.first.Name: true})
	}
	if !ok {
		return nil
	}
	first, ok := r.Targets.Get(path[0].Target)
	if !ok || !r.permit(current.ctx, g.request, first.Target) {
		return nil
	}
	l := g.open(g.ctx, path, after, number)
	if l == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != current {
		l.abort()
		return nil
	}
	g.successor, g.retryPrepaid = l, false
	return l
}

// owns reports whether a leg is still the successor of the current send.
func (g *generation) owns(l *leg) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.successor == l
}

// rejectSuccessor records a send that did not take over, unless the generation has continued with it meanwhile.
func (g *generation) rejectSuccessor(l *leg) {
	if g.takeSuccessor() == nil {
		return
	}
	defer l.abort()
	if l.reply != nil {
		defer func() { _ = l.reply.Body.Close() }()
	}
	if g.handleNoAnswer(l) == nil {
		g.relayer.Targets.RecordAnswer(l.first.Name, false)
		g.avoidTarget(l.first.Name)
		g.countSend(l.first, true)
	}
}

// endHandOver ends an attempt to hand the stream over that failed.
func (g *generation) endHandOver() {
	g.mu.Lock()
	g.handOverAt = g.relayer.Clock.Now().Add(handoverRetryInterval)
	g.mu.Unlock()
	g.endRepair(nil)
}
