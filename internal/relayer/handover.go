package relayer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/internal/pacer"
)

const (
	// handoverTimeout is how long the next target of a stream may take to begin: targets without room refuse at once, or only after
	// a request has waited there. What the current send delivers meanwhile is repeated, so that the stream pauses about as long, and
	// clients leave after two seconds.
	handoverTimeout = time.Second
	// handoverRetryInterval is the minimum time between two attempts to hand a stream over, within which targets without room may get
	// some.
	handoverRetryInterval = 500 * time.Millisecond
)

// leg is one send of a generation over one path.
type leg struct {
	// parent is the context of the request.
	parent context.Context
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
	// pacing is the wait for a first event at targets that are paced; nil if there are none.
	pacing *pacer.Sending
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
	l := &leg{parent: ctx, first: first.Target, path: path, sentAt: now, number: number, pacing: r.Pacer.Send(pathTargets(path), time.Duration(r.typicalFirstWait.Load())), done: make(chan struct{})}
	release := r.Targets.Reserve(path, demand.Tokens)
	l.release = func() {
		release()
		l.pacing.Close()
	}
	l.ctx, l.cancel = context.WithCancelCause(ctx)
	l.call = Call{Request: g.request, Content: g.content, Target: first.Target, Path: path, Remaining: g.request.Deadline.Sub(now), ResumeAfter: after}
	l.call.Repeated = g.recordFirst(first.Name)
	if r.servesWholeModel(g.request) {
		l.call.Path = nil
	}
	r.Chooser.RecordCrossings(demand, nil, path)
	return l
}

// pathTargets returns the names of the targets of a path.
func pathTargets(path []cataloger.Stage) []string {
	out := make([]string, len(path))
	for i, s := range path {
		out[i] = s.Target
	}
	return out
}

// recordFirst records the first target of a send, and reports whether an earlier send went there.
func (g *generation) recordFirst(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() { g.sentTo = append(g.sentTo, name) }()
	return slices.Contains(g.sentTo, name)
}

// exchange sends the request over a leg and waits for the head of its answer.
func (r *Relayer) exchange(l *leg) {
	defer close(l.done)
	r.logSent(l.call, l.number)
	l.reply, l.err = r.Backend.Send(l.ctx, l.call)
}

// refused reports whether it is known that no target continues the stream over the leg.
func (g *generation) refused(l *leg) bool {
	return l.isDone() && (l.err != nil || l.reply.NotRun || !g.continues(l.reply))
}

// isDone reports whether a leg is answered or refused.
func (l *leg) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// hasBegun reports whether the head of an answer has arrived.
func (l *leg) hasBegun() bool {
	return l.isDone() && l.reply != nil
}

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
	if l := g.takeSuccessor(); l != nil {
		l.drop()
	}
}

// drop ends a leg that was sent.
func (l *leg) drop() {
	l.abort()
	go func() {
		<-l.done
		if l.reply != nil {
			_ = l.reply.Body.Close()
		}
	}()
}

// move moves the rest of a stream from its current send to another pipeline. The generation must be marked as repairing, and the new
// send be taken out of the budget.
func (r *Relayer) move(g *generation, current *leg, why string) {
	cause := errors.Wrap(errMoved, why)
	g.mu.Lock()
	_, isNumber := parseNumber(g.lastEvent)
	// Of events without numbers, those that both sends deliver could not be told apart.
	mayOverlap := isNumber || g.lastEvent == ""
	g.mu.Unlock()
	if !mayOverlap {
		current.cancel(cause)
		return
	}
	go r.handOver(g, current, cause)
}

// handOver sends a request over another pipeline while its stream continues, and ends the current send once a target there has begun to
// answer: a refusal, however late, leaves the stream where it is still served.
func (r *Relayer) handOver(g *generation, current *leg, cause error) {
	// Targets are to have room for the stream once, not for both of its sends.
	g.yieldMemory(current)
	l := g.openSuccessor(current)
	if l == nil {
		g.reclaimMemory(current)
		g.endHandOver(current)
		return
	}
	go r.exchange(l)
	r.awaitAnswer(l, handoverTimeout)
	for !l.isDone() && g.isSilent() && g.isSound(current) {
		// Targets pause. The stream goes on where it is, or over the next send, whichever has an event first.
		r.awaitAnswer(l, watchInterval)
	}
	if l.isDone() && !g.refused(l) || !l.isDone() && g.isSilent() {
		// A stream that has lost its targets has nothing to lose.
		current.cancel(cause)
		return
	}
	if g.rejectSuccessor(l) {
		g.reclaimMemory(current)
		g.endHandOver(current)
	}
}

// awaitAnswer waits until a leg is answered or refused, up to a time.
func (r *Relayer) awaitAnswer(l *leg, d time.Duration) {
	expired := make(chan struct{})
	stop := r.Clock.AfterFunc(d, func() { close(expired) })
	defer stop()
	select {
	case <-l.done:
	case <-expired:
	}
}

// isSilent reports whether the current send has delivered nothing for half of its patience.
func (g *generation) isSilent() bool {
	s := g.stream()
	return g.relayer.Clock.Now().Sub(s.Last) > s.Patience/2
}

// isSound reports whether a send is still the current one, and no stage of it is lost.
func (g *generation) isSound(current *leg) bool {
	g.mu.Lock()
	isCurrent, path := g.current == current, g.path
	g.mu.Unlock()
	return isCurrent && !slices.ContainsFunc(path, func(s cataloger.Stage) bool {
		v, ok := g.relayer.Targets.Get(s.Target)
		return !ok || v.Unreachable
	})
}

// yieldMemory returns the memory that is reserved for a send.
func (g *generation) yieldMemory(current *leg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == current {
		g.release()
	}
}

// reclaimMemory reserves memory for a send again, if it is still the current one.
func (g *generation) reclaimMemory(current *leg) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == current {
		g.release = g.relayer.Targets.Reserve(g.path, g.request.demand().Tokens)
	}
}

// openSuccessor prepares the send that is to take over from the current one, or returns nil if that has ended or there is no path.
func (g *generation) openSuccessor(current *leg) *leg {
	r, demand := g.relayer, g.request.demand()
	g.mu.Lock()
	avoid, after, number := maps.Clone(g.avoid), g.lastEvent, g.sends+2
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
	l := g.open(current.parent, path, after, number)
	if l == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != current || !g.retryPrepaid {
		l.abort()
		return nil
	}
	g.successor, g.retryPrepaid = l, false
	return l
}

// rejectSuccessor records a successor that was refused or does not begin, and returns false if the generation has continued with it
// meanwhile. One that did not run does not use up a send of the stream, which may need them once its target has ended.
func (g *generation) rejectSuccessor(l *leg) bool {
	g.mu.Lock()
	if g.successor != l {
		g.mu.Unlock()
		return false
	}
	g.successor = nil
	isDone := l.isDone()
	ran := !isDone || !errors.Is(l.err, exchanger.ErrNotSent) && (l.reply == nil || !l.reply.NotRun)
	g.avoid[l.first.Name] = true
	if ran {
		g.mayHaveRun = true
		g.sends++
		g.runs++
	}
	g.mu.Unlock()
	if !isDone {
		l.drop()
		return true
	}
	defer l.abort()
	switch {
	case l.err != nil:
		_ = g.handleSendError(l.ctx, l.first, l.err)
	case l.reply.NotRun:
		_ = g.handleRefusal(l)
	default:
		g.relayer.Targets.RecordAnswer(l.first.Name, false)
	}
	if l.reply != nil {
		_ = l.reply.Body.Close()
	}
	return true
}

// endHandOver ends an attempt to hand the stream over that failed. The next one waits, unless the stream is silent and few have failed.
func (g *generation) endHandOver(current *leg) {
	now, silent := g.relayer.Clock.Now(), g.isSilent()
	g.endRepair(current, nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handOverAt = now.Add(handoverRetryInterval)
	if g.failedHandovers++; g.failedHandovers < maxSends && silent {
		g.handOverAt, g.repairAt = now, now
	}
}
