package relayer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattantray/rattantray/internal/cataloger"
	"github.com/rattantray/rattantray/internal/exchanger"
	"github.com/rattantray/rattantray/pkg/refuser"
)

const (
	// maxSends bounds the sendings of one generation. Those that did not run, and those to targets that are gone, do not
	// count toward the attempts that its route allows.
	maxSends = 4
	// pathPause is the time between two looks for a path for a stream that has begun.
	pathPause = 50 * time.Millisecond
	// pathWait is how long a stream that has begun waits for a path; clients give up on silence soon after.
	pathWait = 1500 * time.Millisecond
	// noPathRetry is when to come back where layers are held by nobody: about the time of a load.
	noPathRetry = time.Second
	readBuffer  = 16 << 10
)

// errSwallowed ends a sending that its first target seems to have lost.
var errSwallowed = errors.New("the target does not begin")

// errMoved ends a sending whose first target was lost, so that the stream goes on elsewhere.
var errMoved = errors.New("stream is moved to another pipeline")

// generation is a request to model engines, over all its sendings.
type generation struct {
	relayer *Relayer
	request *Request
	w       http.ResponseWriter
	events  events
	// begun is true once the head of the answer was written.
	begun bool
	// mayHaveRun is true once a sending did not prove that it did not run.
	mayHaveRun bool
	// sends counts all sendings, and runs those that may have run on a target that is still there.
	sends int
	runs  int
	avoid map[string]bool

	// mu guards what the watchdog reads and changes.
	mu   sync.Mutex
	path []cataloger.Stage
	last time.Time
	// delivered is when the last event was delivered.
	delivered time.Time
	gap       time.Duration
	started   bool
	// sentAt is when the present sending began.
	sentAt time.Time
	// prepaid is true where the budget was asked for the next sending already.
	prepaid bool
	// first is the time to the first event, longest the longest gap after it.
	first   time.Duration
	longest time.Duration
	repaths int
	moving  bool
	// repairAt is when the next repair may be tried.
	repairAt time.Time
	cancel   context.CancelCauseFunc
	release  func()
}

// sendResult says how a sending ended.
type sendResult int

const (
	// sendDone: the answer is complete, or the refusal is final.
	sendDone sendResult = iota
	// sendAgain: another sending may serve the request.
	sendAgain
)

// generate relays a request over pipelines until its answer is complete.
func (r *Relayer) generate(ctx context.Context, w http.ResponseWriter, req *Request) *refuser.Refusal {
	req.Standing.Draw, req.Standing.Returning = rand.Float64(), r.returns.returning(req.Route.Name, req.Deadline.Sub(req.Arrived))
	g := &generation{relayer: r, request: req, w: w, avoid: map[string]bool{}}
	g.events.last = req.ResumeAfter
	g.events.resumed = req.ResumeAfter != ""
	refusal := spread(g.run(ctx))
	first := g.first
	if first == 0 {
		first = notMeasured
	}
	r.logEnd(req, refusal, first, g.describe)
	if refusal != nil && g.begun {
		// The answer has begun and must not look complete.
		panic(http.ErrAbortHandler)
	}
	return refusal
}

// describe adds what became of the generation to its last line.
func (g *generation) describe(e *zerolog.Event) {
	e.Int("sends", g.sends).Int("runs", g.runs).Int("repaths", g.repaths).Str("last", g.events.last).Dur("first", g.first).
		Dur("longest-gap", g.longest).Int("stages", len(g.path))
}

// run sends the request until its answer is complete or its refusal final.
func (g *generation) run(ctx context.Context) *refuser.Refusal {
	r, req := g.relayer, g.request
	for repeat := false; ; repeat = true {
		path, ok := g.findPath(ctx)
		if !ok {
			return g.end(ctx, refuser.New(refuser.NoPipeline, "%s", r.Chooser.Shortage(req.demand())).WithRetryAfter(max(r.Chooser.Back(req.demand()), noPathRetry)))
		}
		// The budget counts sendings, so nothing is taken out before there is somewhere to send.
		if repeat && !g.prepay() {
			return g.end(ctx, refuser.New(refuser.RetryBudgetSpent, "no repeat is left").WithRetryAfter(noPathRetry))
		}
		g.usePrepaid()
		result, refusal := g.send(ctx, path)
		if result == sendDone {
			return refusal
		}
		if !g.maySend(g.runs) {
			return g.end(ctx, refusal)
		}
	}
}

// findPath returns a path, for which a stream that has begun waits a while.
func (g *generation) findPath(ctx context.Context) ([]cataloger.Stage, bool) {
	r, demand := g.relayer, g.request.demand()
	demand.Standing.Begun = g.begun
	for waited := time.Duration(0); ; waited += pathPause {
		if path, ok := r.Chooser.Path(demand, g.avoid); ok {
			return path, true
		}
		if !g.begun || waited >= pathWait || r.Clock.Sleep(ctx, pathPause) != nil {
			return nil, false
		}
		clear(g.avoid)
	}
}

// sent counts a sending to a first stage that has ended, and whether it may have run there.
func (g *generation) sent(first cataloger.Target, ran bool) {
	v, ok := g.relayer.Targets.Get(first.Name)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sends++
	if ran && ok && v.Incarnation == first.Incarnation {
		g.runs++
	}
}

// maySend tells whether the request may be sent again after so many sendings that may have run.
func (g *generation) maySend(runs int) bool {
	return g.sends < maxSends && runs < max(g.request.Route.MaxAttempts, 1) && (!g.mayHaveRun || g.request.Route.Resumable)
}

// end returns the final refusal, or breaks an answer off that has begun.
func (g *generation) end(ctx context.Context, refusal *refuser.Refusal) *refuser.Refusal {
	fact := refuser.FactNotRun
	if g.mayHaveRun {
		fact = refuser.FactMayHaveRun
	}
	if g.relayer.over(ctx, g.request) {
		refusal = g.relayer.ended(g.request, fact)
	}
	return refusal.WithFact(fact)
}

// send sends the request over a path and relays the answer.
func (g *generation) send(ctx context.Context, path []cataloger.Stage) (sendResult, *refuser.Refusal) {
	r := g.relayer
	first, ok := r.Targets.Get(path[0].Target)
	if !ok {
		return sendAgain, refuser.New(refuser.NoTarget, "%s has just left", path[0].Target).WithRetryAfter(noPathRetry)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.enter(path, cancel)
	defer g.leave()
	call := Call{Request: g.request, Target: first.Target, Path: path, Left: g.request.Deadline.Sub(r.Clock.Now()), ResumeAfter: g.events.last}
	if r.pathless(g.request) {
		call.Path = nil
	}
	r.logSent(call, g.sends+1)
	reply, err := r.Backend.Send(ctx, call)
	if err != nil {
		g.sent(first.Target, !errors.Is(err, exchanger.ErrNotSent))
		return g.sendFailed(ctx, first.Target, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		g.sent(first.Target, false)
		return sendAgain, g.refused(first.Target, reply)
	}
	g.mayHaveRun = true
	result, refusal := g.answer(ctx, reply)
	g.sent(first.Target, true)
	return result, refusal
}

// answer takes the answer of a target that ran the request.
func (g *generation) answer(ctx context.Context, reply *Reply) (sendResult, *refuser.Refusal) {
	if reply.Sound() {
		return g.relay(ctx, reply)
	}
	return g.failed(reply)
}

// pathless tells whether targets hold the whole model, so that no path is named.
func (r *Relayer) pathless(req *Request) bool { return req.Service.Engine.Layers == 0 }

// sendFailed takes a sending that brought no answer.
func (g *generation) sendFailed(ctx context.Context, first cataloger.Target, err error) (sendResult, *refuser.Refusal) {
	if errors.Is(err, exchanger.ErrNotSent) {
		if ctx.Err() == nil {
			g.relayer.doubt(first, err.Error())
			g.avoid[first.Name] = true
		}
		return sendAgain, refuser.New(refuser.NoPipeline, "%s: %s", first.Name, err).WithRetryAfter(noPathRetry)
	}
	g.mayHaveRun = true
	g.avoid[first.Name] = true
	if !errors.Is(err, context.Canceled) && !errors.Is(err, errMoved) && !errors.Is(err, errSwallowed) {
		g.relayer.Targets.Answer(first.Name, false)
	}
	g.relayer.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Err(err).Msg("no answer")
	return sendAgain, refuser.New(refuser.StreamLost, "no answer from %s: %s", first.Name, err)
}

// refused takes a target's proof that it did not run the request.
func (g *generation) refused(first cataloger.Target, reply *Reply) *refuser.Refusal {
	r := g.relayer
	name := first.Name
	if at, ok := r.Targets.At(reply.Blamed); ok {
		name = at.Name
	}
	if reply.Misdirected {
		r.Targets.Misplace(name)
	} else {
		r.Targets.Refuse(name)
	}
	r.Targets.Answer(name, name != first.Name)
	g.avoid[name] = true
	r.Log.Info().Str("request", g.request.ID).Str("target", first.Name).Str("at", name).Int("status", reply.Status).Msg("refused by target")
	return refuser.New(refuser.TargetRefused, "%s refused with %d", name, reply.Status).WithRetryAfter(noPathRetry)
}

// failed takes a target's answer that is no success.
func (g *generation) failed(reply *Reply) (sendResult, *refuser.Refusal) {
	g.blame()
	if reply.Status < http.StatusMultipleChoices || g.begun {
		return sendAgain, mayHaveRun("answer %d is not signed", reply.Status)
	}
	whole, err := readWhole(reply)
	switch {
	case err != nil:
		return sendAgain, mayHaveRun("answer broke off: %s", err)
	case whole.more:
		return sendAgain, mayHaveRun("failure is over %d bytes", wholeBytes)
	}
	if refusal := whole.write(g.w); refusal != nil {
		return sendAgain, refusal
	}
	return sendDone, nil
}

// blame notes that the first target failed the request by itself.
func (g *generation) blame() {
	name := g.firstTarget()
	g.relayer.Targets.Answer(name, false)
	g.avoid[name] = true
}

func (g *generation) firstTarget() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.path[0].Target
}

// relay passes the events of an answer on as they come.
func (g *generation) relay(ctx context.Context, reply *Reply) (sendResult, *refuser.Refusal) {
	flusher := http.NewResponseController(g.w)
	buffer := make([]byte, readBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		before := g.events.taken
		out, whole := g.events.take(buffer[:n])
		if len(out) > 0 {
			// What has no id is no progress of a stream whose events have: one that stalls may still send a comment now and then.
			if g.events.taken > before || g.events.taken == 0 {
				g.progress()
			}
			g.begin(reply)
			if _, err := g.w.Write(out); err != nil {
				return sendDone, nil
			}
			if err := flusher.Flush(); err != nil {
				return sendDone, nil
			}
		}
		switch {
		case !whole:
			return g.broken(ctx, errors.New("events are missing, or too long"))
		case errors.Is(err, io.EOF) && !g.events.half():
			g.begin(reply)
			return sendDone, nil
		case err != nil:
			return g.broken(ctx, err)
		}
	}
}

// begin writes the head of the answer, unless an earlier sending did. It waits for the first event, as a sending that breaks
// before may end in a refusal, which must not bear the head of an answer.
func (g *generation) begin(reply *Reply) {
	if g.begun {
		return
	}
	g.begun = true
	copyHeader(g.w, reply.Header)
	g.w.Header().Del("Content-Length")
	g.w.WriteHeader(reply.Status)
}

// broken takes a stream that ended before its end.
func (g *generation) broken(ctx context.Context, err error) (sendResult, *refuser.Refusal) {
	g.events.cut()
	g.relayer.Log.Info().Str("request", g.request.ID).Str("last", g.events.last).Err(err).AnErr("cause", context.Cause(ctx)).Msg("stream broke")
	g.avoid[g.firstTarget()] = true
	return sendAgain, refuser.New(refuser.StreamLost, "stream broke after %q: %s", g.events.last, err)
}

// prepay takes the next sending out of the budget, once; a sending is given up only where that holds.
func (g *generation) prepay() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepaid = g.prepaid || g.relayer.spend(g.request)
	return g.prepaid
}

func (g *generation) usePrepaid() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.prepaid = false
}

// movable tells whether the generation may leave its present sending for another one.
func (g *generation) movable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.request.Route.Resumable && g.sends+1 < maxSends && g.runs+1 < max(g.request.Route.MaxAttempts, 1)
}

// enter registers the generation with the watchdog.
func (g *generation) enter(path []cataloger.Stage, cancel context.CancelCauseFunc) {
	r := g.relayer
	g.mu.Lock()
	g.path, g.last, g.started, g.moving, g.cancel = path, r.Clock.Now(), false, false, cancel
	g.sentAt = g.last
	g.release = r.Targets.Reserve(path, g.request.demand().Tokens)
	g.mu.Unlock()
	r.Chooser.Cross(g.request.demand(), nil, path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[g] = struct{}{}
}

func (g *generation) leave() {
	r := g.relayer
	r.mu.Lock()
	delete(r.streams, g)
	r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release()
}

// progress notes that events have come.
func (g *generation) progress() {
	now := g.relayer.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started {
		g.gap += (now.Sub(g.last) - g.gap) / 8
		g.relayer.noteGap(now.Sub(g.last))
	}
	workspace, service := string(g.request.Workspace), g.request.Service.Name
	if g.first == 0 {
		g.first = now.Sub(g.request.Arrived)
	} else {
		gap := now.Sub(g.delivered)
		g.longest = max(g.longest, gap)
		g.relayer.Meter.ObserveTokenGap(workspace, service, gap)
	}
	g.delivered = now
	if !g.started {
		g.relayer.noteFirst(now.Sub(g.last))
		g.relayer.Targets.Trust(g.path)
		g.relayer.Targets.Answer(g.path[0].Target, true)
	}
	g.started = true
	g.last = now
}
